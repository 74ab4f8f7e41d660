"""Calls between programs: a JSON object to a path, a JSON object back.

Each call carries an id that its response repeats (protocol.py puts it there). A response without it, or with
another call's, is none, and ends the connection; so does whoever cancels a call.
"""

from __future__ import annotations

import asyncio
import json
import os
from collections import Counter
from dataclasses import dataclass
from http import HTTPStatus
from itertools import count

import httpcore

from honeywood.gateway.configuration.check import read_json
from honeywood.gateway.errors import CallFailed, CallRefused
from honeywood.gateway.rpc.connection import Connection
from honeywood.gateway.rpc.headers import CALL_ID
from honeywood.gateway.rpc.idle_connections import IdleConnections
from honeywood.gateway.rpc.reply import ExchangeFailure, Reply

TYPE_CHECKING = False
if TYPE_CHECKING:
    from typing import Any, TypeAlias

    from honeywood.gateway.rpc.headers import HeaderFields

    JsonObject: TypeAlias = dict[str, Any]  # whoever decodes a message checks each of its values

CONNECT_TIMEOUT_S = 0.3  # seconds for a connection to another program
MIN_CONNECT_TIMEOUT_S = 0.001  # seconds that a connection is given, however late the call is
MAX_RESPONSE_BYTES = 8 << 20
MAX_REASON_CHARACTERS = 200  # of a refusal's body


@dataclass(frozen=True, slots=True)
class CallRequest:
    """One call as it is sent."""

    ip: str
    port: int
    path: str
    call_id: bytes
    body: bytes
    deadline: float  # on the loop's clock
    idempotent: bool

    @property
    def peer(self) -> str:
        """The peer's address."""
        return f"{self.ip}:{self.port}"

    @property
    def headers(self) -> HeaderFields:
        """The headers, in the order in which they are sent."""
        length = str(len(self.body)).encode()
        return [(b"host", self.peer.encode()), (CALL_ID, self.call_id), (b"content-length", length)]

    def may_be_repeated(self, failure: ExchangeFailure, now: float) -> bool:
        """Return whether the call may be sent once more after it failed on a kept connection."""
        if failure.timed_out or now >= self.deadline:
            return False
        return self.idempotent or not failure.sent


class Caller:
    """Makes calls, over a few connections that it keeps to each peer.

    `bytes_by_path` counts the bytes of bodies: "PATH asked" those that were sent, "PATH answered" those that
    came back.
    """

    def __init__(self) -> None:
        """Begin without connections; the name that the calls' ids begin with is drawn."""
        self.name = os.urandom(6).hex()
        self.idle = IdleConnections()
        self.bytes_by_path: Counter[str] = Counter()
        self._numbers = count(1)

    async def call(
        self, ip: str, port: int, path: str, body: JsonObject, timeout_s: float, idempotent: bool = False
    ) -> JsonObject:
        """Return the response's object, after `timeout_s` seconds at the most.

        If a kept connection ends before the response, an `idempotent` call is made once more on another; any
        other only if nothing of it has left. Raises CallFailed without a usable response, CallRefused for one
        with another status than 200, and InvalidInput for one that is no JSON object.
        """
        deadline = asyncio.get_running_loop().time() + timeout_s
        encoded = json.dumps(body, separators=(",", ":")).encode()
        call_id = f"{self.name}-{next(self._numbers)}".encode()
        request = CallRequest(ip, port, path, call_id, encoded, deadline, idempotent)
        self.bytes_by_path[f"{path} asked"] += len(encoded)
        connection, reply = await self._send(request)
        self.bytes_by_path[f"{path} answered"] += len(reply.body)
        if reply.fields.get(CALL_ID) != call_id or reply.remainder is not None:
            connection.close()
            raise CallFailed(path, "no answer to this call, or one too long", request.peer)
        if connection.reusable:
            self.idle.put((ip, port), connection)
        return decode_response(reply, request)

    async def _send(self, request: CallRequest) -> tuple[Connection, Reply]:
        """Return the reply, and the connection it came on; raises CallFailed."""
        loop = asyncio.get_running_loop()
        while True:
            connection = self.idle.take((request.ip, request.port), loop.time())
            was_kept = connection is not None
            if connection is None:
                connection = await connect(request, loop.time())
            reply = await connection.exchange(
                b"POST",
                request.path.encode(),
                request.headers,
                request.body,
                request.deadline,
                MAX_RESPONSE_BYTES,
            )
            if isinstance(reply, Reply):
                return connection, reply
            if not (was_kept and request.may_be_repeated(reply, loop.time())):
                raise CallFailed(request.path, reply.reason, request.peer)


async def connect(request: CallRequest, now: float) -> Connection:
    """Open a connection for a call; raises CallFailed."""
    timeout_s = max(MIN_CONNECT_TIMEOUT_S, min(CONNECT_TIMEOUT_S, request.deadline - now))
    try:
        return await Connection.open(request.ip, request.port, timeout_s)
    except (httpcore.ConnectError, httpcore.ConnectTimeout) as error:
        raise CallFailed(request.path, f"{type(error).__name__}: {error}", request.peer) from None


def decode_response(reply: Reply, request: CallRequest) -> JsonObject:
    """Return the JSON object of the response to a call; raises CallRefused or InvalidInput."""
    if reply.status != HTTPStatus.OK:
        reason = reply.body.decode(errors="replace")[:MAX_REASON_CHARACTERS]
        raise CallRefused(request.path, reason, request.peer, reply.status)
    decoded: JsonObject = read_json(reply.body, request.path, request.peer)
    return decoded
