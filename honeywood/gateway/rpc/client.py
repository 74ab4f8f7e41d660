"""Calls between our programs: a JSON body to a path, a JSON body back.

Each call carries an id that its answer repeats (server.py puts it there). An answer without it, or with
another call's, is none, and ends the connection; so does whoever gives a call up.
"""

import asyncio
import json
import os
from collections import Counter
from itertools import count

import httpcore

from honeywood.gateway.configuration.check import read_json
from honeywood.gateway.errors import CallFailed, CallRefused
from honeywood.gateway.rpc.connection import Connection, ExchangeFailed
from honeywood.gateway.rpc.server import CALL_ID

CONNECT_S = 0.3  # seconds for a connection to one of ours
IDLE_S = 5.0  # seconds after which an idle connection isn't trusted
LEAST_S = 0.001  # seconds that a connection is given, however late the call is
ANSWER_MOST = 8 << 20  # bytes of an answer


class Caller:
    """Keeps a few connections to each peer; `carried` counts bytes asked and answered by path."""

    def __init__(self):
        """A caller with a name of its own, which its calls' ids begin with."""
        self.idle, self.name, self.numbers = {}, os.urandom(6).hex(), count(1)
        self.carried = Counter()

    async def call(self, ip, port, path, body, within, again=False):
        """The answer's object, after `within` seconds at the most. Raises CallFailed, CallRefused or
        InvalidInput.

        `again` is the call's word that it may be made twice: if a kept connection ends before its answer, it
        is made once more on another. A call that doesn't say so is made again only where nothing of it left.
        """
        until, peer = asyncio.get_running_loop().time() + within, f"{ip}:{port}"
        raw = json.dumps(body, separators=(",", ":")).encode()
        id = b"%s-%d" % (self.name.encode(), next(self.numbers))
        headers = [(b"host", peer.encode()), (CALL_ID, id), (b"content-length", str(len(raw)).encode())]
        self.carried[f"{path} asked"] += len(raw)
        try:
            connection, reply = await self._exchange((ip, port), path, headers, raw, until, again)
        except (httpcore.ConnectError, httpcore.ConnectTimeout) as error:
            raise CallFailed(path, f"{type(error).__name__}: {error}", peer) from None
        if isinstance(reply, ExchangeFailed):
            raise CallFailed(path, reply.reason, peer)
        self.carried[f"{path} answered"] += len(reply.body)
        if reply.fields.get(CALL_ID) != id or reply.remainder is not None:
            connection.close()
            raise CallFailed(path, "no answer to this call, or one too long", peer)
        if connection.reusable:
            self.idle[ip, port].append(connection)
        return _object_of(reply, path, peer)

    async def _exchange(self, place, path, headers, raw, until, again):
        """(connection, Reply or ExchangeFailed), over a kept connection or a new one."""
        loop = asyncio.get_running_loop()
        while True:
            connection = self._take_idle(place, loop.time())
            kept = connection is not None
            if not kept:
                within_s = max(LEAST_S, min(CONNECT_S, until - loop.time()))
                connection = await Connection.open(*place, within_s)
            reply = await connection.exchange(b"POST", path.encode(), headers, raw, until, ANSWER_MOST)
            if not (kept and isinstance(reply, ExchangeFailed) and (again or not reply.sent)):
                return connection, reply
            if reply.timed_out or loop.time() >= until:
                return connection, reply

    def _take_idle(self, place, now):
        """A kept connection that may be used, or None."""
        idle = self.idle.setdefault(place, [])
        while idle:
            connection = idle.pop()
            if connection.reusable and now - connection.idle_since < IDLE_S:
                return connection
            connection.close()
        return None


def _object_of(reply, path, peer):
    """The JSON object that an answer to a call holds."""
    if reply.status != 200:
        raise CallRefused(path, reply.body.decode(errors="replace")[:200], peer, reply.status)
    return read_json(reply.body, path, peer)
