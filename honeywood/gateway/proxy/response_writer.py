"""Writes responses to clients, and relays long responses while they arrive from the endpoint."""

from __future__ import annotations

import httpcore

from honeywood.gateway.rpc.asgi import send_response, stream_response

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from honeywood.gateway.proxy.client_response import ClientResponse
    from honeywood.gateway.rpc.asgi import Send
    from honeywood.gateway.rpc.client_disconnect import ClientDisconnect
    from honeywood.gateway.rpc.reply import BodyRemainder

CLOSE_CONNECTION = (b"connection", b"close")


class ResponseWriter:
    """Writes responses."""

    async def write(
        self, send: Send, response: ClientResponse, disconnect: ClientDisconnect, close: bool
    ) -> None:
        """Writes a response; with `close` it announces that the connection is closed after it."""
        headers = [*response.headers, CLOSE_CONNECTION] if close else response.headers
        if response.remainder is None:
            await send_response(send, response.status, headers, response.body)
        else:
            await self._relay(send, response, headers, response.remainder, disconnect)

    async def _relay(
        self,
        send: Send,
        response: ClientResponse,
        headers: list[tuple[bytes, bytes]],
        remainder: BodyRemainder,
        disconnect: ClientDisconnect,
    ) -> None:
        try:
            await stream_response(send, response.status, headers, _chunks(response.body, remainder))
        except httpcore.ReadTimeout:  # what the iteration raises after `abandon` has closed the connection
            if not disconnect.happened:
                raise
        finally:
            disconnect.unsubscribe(remainder.abandon)


async def _chunks(start: bytes, remainder: BodyRemainder) -> AsyncIterator[bytes]:
    yield start
    async for chunk in remainder:
        yield chunk
