"""Answers the polls of other proxies, for which this proxy is the relay."""

from __future__ import annotations

import json

from honeywood.gateway.configuration.check import read_json
from honeywood.gateway.dissemination.messages import PollRequest
from honeywood.gateway.dissemination.record import PATH
from honeywood.gateway.errors import GatewayError
from honeywood.gateway.proxy.client_response import BAD_REQUEST, BODY_TOO_LARGE, NOT_FOUND
from honeywood.gateway.rpc.asgi import read_body, send_response
from honeywood.gateway.rpc.request_context import CONTEXT

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Callable
    from typing import Any

    from honeywood.gateway.dissemination.publisher import Publisher
    from honeywood.gateway.rpc.asgi import Receive, Scope, Send

MAX_POLL_BYTES = 8 << 20
OK = 200
JSON_CONTENT = (b"content-type", b"application/json")


class PeerHandler:
    """Handles the requests on the listener for other proxies."""

    def __init__(self, publisher: Publisher) -> None:
        """Builds the handler; `publisher` supplies the records."""
        self.publisher = publisher

    async def handle(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Answers one request."""
        if scope["path"] != PATH or scope["method"] != "POST":
            await send_response(send, NOT_FOUND)
            return
        raw = await read_body(receive, MAX_POLL_BYTES)
        if raw is None:
            await send_response(send, BODY_TOO_LARGE)
            return
        disconnect = scope[CONTEXT].disconnect
        try:
            response = await self.answer_poll(raw, scope["client"][0], lambda: disconnect.happened)
        except GatewayError as error:
            await send_response(send, BAD_REQUEST, (), str(error).encode())
            return
        await send_response(send, OK, [JSON_CONTENT], json.dumps(response, separators=(",", ":")).encode())

    async def answer_poll(
        self, raw: bytes, peer: str, has_left: Callable[[], bool] = lambda: False
    ) -> dict[str, Any]:
        """Returns the encoded response to a poll.

        `peer` is the address of the proxy that polls, `has_left` returns whether it has disconnected.

        Raises:
            GatewayError: The poll can't be decoded.
        """
        request = PollRequest.decode(read_json(raw, PATH, peer), peer)
        response = await self.publisher.serve(request, has_left)
        encoded: dict[str, Any] = response.encode()
        return encoded
