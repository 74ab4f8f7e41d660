"""Calls between programs: each posts a JSON object to a path and receives a JSON object.

Each call carries an id, which the peer's listener repeats in the response (protocol.py). If a response has no
id or the id of another call, the call fails and the connection is closed. It is also closed if a call is
cancelled.
"""

from __future__ import annotations

import asyncio
import json
import os
from collections import Counter
from dataclasses import dataclass
from http import HTTPStatus
from itertools import count

from honeywood.gateway.configuration.check import read_json
from honeywood.gateway.errors import CallFailed, CallRefused
from honeywood.gateway.rpc.connection import CONNECT_ERRORS, Connection
from honeywood.gateway.rpc.headers import CALL_ID
from honeywood.gateway.rpc.idle_connections import IdleConnections
from honeywood.gateway.rpc.reply import ExchangeFailure, Reply

TYPE_CHECKING = False
if TYPE_CHECKING:
    from typing import Any, TypeAlias

    from honeywood.gateway.rpc.headers import HeaderFields

    JsonObject: TypeAlias = dict[str, Any]  # the decoder of each message checks its values

CONNECT_TIMEOUT_S = 0.3  # seconds to establish a connection to another program
MIN_CONNECT_TIMEOUT_S = 0.001  # seconds, even if the deadline of the call is nearer or has passed
MAX_RESPONSE_BYTES = 8 << 20
MAX_REASON_CHARACTERS = 200  # characters of a refusal's body that its exception quotes


@dataclass(frozen=True, slots=True)
class CallRequest:
    """One call to a peer, with its encoded body."""

    ip: str
    port: int
    path: str
    call_id: bytes
    body: bytes
    deadline: float  # in seconds on the event loop's clock
    idempotent: bool

    @property
    def peer(self) -> str:
        """The peer's address as `ip:port`."""
        return f"{self.ip}:{self.port}"

    @property
    def headers(self) -> HeaderFields:
        """The request headers, in the order in which they are sent."""
        length = str(len(self.body)).encode()
        return [(b"host", self.peer.encode()), (CALL_ID, self.call_id), (b"content-length", length)]

    def may_be_retried(self, failure: ExchangeFailure, now: float) -> bool:
        """Return whether the call may be sent again after `failure` on a reused connection."""
        if failure.timed_out or now >= self.deadline:
            return False
        return self.idempotent or not failure.sent


class Caller:
    """Makes calls, and reuses idle connections to each peer.

    `bytes_by_path` counts the bytes of message bodies by path: "PATH asked" for sent requests, "PATH
    answered" for received responses.
    """

    def __init__(self) -> None:
        """Start without connections, with a random `name` that all call ids begin with."""
        self.name = os.urandom(6).hex()
        self.idle = IdleConnections()
        self.bytes_by_path: Counter[str] = Counter()
        self._call_numbers = count(1)

    async def call(
        self, ip: str, port: int, path: str, body: JsonObject, timeout_s: float, idempotent: bool = False
    ) -> JsonObject:
        """Make a call and return the JSON object of its response, within `timeout_s` seconds.

        If a reused connection ends before the response, an `idempotent` call is sent again on another
        connection; any other call only if none of its bytes has been sent.

        Raises CallFailed if no usable response arrives, CallRefused if its status is not 200, and
        InvalidInput if its body is not a JSON object.
        """
        deadline = asyncio.get_running_loop().time() + timeout_s
        encoded = json.dumps(body, separators=(",", ":")).encode()
        call_id = f"{self.name}-{next(self._call_numbers)}".encode()
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
        """Return the reply and the connection that it was received on; raises CallFailed."""
        loop = asyncio.get_running_loop()
        while True:
            connection = self.idle.take((request.ip, request.port), loop.time())
            is_reused = connection is not None
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
            if not (is_reused and request.may_be_retried(reply, loop.time())):
                raise CallFailed(request.path, reply.reason, request.peer)


async def connect(request: CallRequest, now: float) -> Connection:
    """Open a connection to the peer of a call; raises CallFailed."""
    timeout_s = max(MIN_CONNECT_TIMEOUT_S, min(CONNECT_TIMEOUT_S, request.deadline - now))
    try:
        return await Connection.open(request.ip, request.port, timeout_s)
    except CONNECT_ERRORS as error:
        raise CallFailed(request.path, f"{type(error).__name__}: {error}", request.peer) from None


def decode_response(reply: Reply, request: CallRequest) -> JsonObject:
    """Return the JSON object of the response to a call; raises CallRefused or InvalidInput."""
    if reply.status != HTTPStatus.OK:
        reason = reply.body.decode(errors="replace")[:MAX_REASON_CHARACTERS]
        raise CallRefused(request.path, reason, request.peer, reply.status)
    decoded: JsonObject = read_json(reply.body, request.path, request.peer)
    return decoded
