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
from honeywood.gateway.configuration.outcome import Done, Failed, Wrong
from honeywood.gateway.rpc.connection import Broken, Connection
from honeywood.gateway.rpc.server import CALL_ID

CONNECT = 0.3  # seconds for a connection to one of ours
IDLE = 5.0  # seconds after which an idle connection isn't trusted
MOST = 8 << 20  # bytes of an answer


class Caller:
    """Keeps a few connections to each peer; `carried` counts bytes asked and answered by path."""

    def __init__(self):
        self.links, self.name, self.numbers = {}, os.urandom(6).hex(), count(1)
        self.carried = Counter()

    async def call(self, ip, port, path, body, within, again=False):
        """Done with the answer's object, or Failed with step and peer, after `within` seconds at the most.

        `again` is the call's word that it may be made twice: if a kept connection ends before its answer, it
        is made once more on another. A call that doesn't say so is made again only where nothing of it left.
        """
        loop, peer = asyncio.get_running_loop(), f"{ip}:{port}"
        until, kept = loop.time() + within, self.links.setdefault((ip, port), [])
        raw = json.dumps(body, separators=(",", ":")).encode()
        id = b"%s-%d" % (self.name.encode(), next(self.numbers))
        headers = [(b"host", peer.encode()), (CALL_ID, id), (b"content-length", str(len(raw)).encode())]
        self.carried[f"{path} asked"] += len(raw)
        while True:
            link = kept.pop() if kept else None
            if link is not None and not (link.fit and loop.time() - link.idle_at < IDLE):
                link.close()
                continue
            try:
                fresh = link is None
                link = link or await Connection.to(ip, port, max(0.001, min(CONNECT, until - loop.time())))
            except (httpcore.ConnectError, httpcore.ConnectTimeout) as wrong:
                return Failed(path, f"{type(wrong).__name__}: {wrong}", peer, 503)
            reply = await link.exchange(b"POST", path.encode(), headers, raw, until, MOST)
            ended = isinstance(reply, Broken) and not fresh and not reply.late and loop.time() < until
            if not (ended and (again or not reply.sent)):
                break
        if isinstance(reply, Broken):
            return Failed(path, reply.why, peer, 503)
        self.carried[f"{path} answered"] += len(reply.body)
        if reply.fields.get(CALL_ID) != id or reply.rest is not None:
            link.close()
            return Failed(path, "no answer to this call, or one too long", peer, 503)
        if link.fit:
            kept.append(link)
        if reply.status != 200:
            return Failed(path, reply.body.decode(errors="replace")[:200], peer, reply.status)
        try:
            return Done(read_json(reply.body, path, peer))
        except Wrong as wrong:
            return wrong.failed
