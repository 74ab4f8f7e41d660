"""Reading an ASGI request's body, and sending responses.

Source: the ASGI specification, HTTP message format 2.3.
"""

from __future__ import annotations

TYPE_CHECKING = False
if TYPE_CHECKING:
    import asyncio
    from collections.abc import AsyncIterable, MutableMapping, Sequence
    from typing import Any, Protocol, TypeAlias

    from uvicorn._types import ASGIReceiveCallable, ASGISendCallable

    from honeywood.gateway.configuration.model import Limits
    from honeywood.gateway.rpc.headers import HeaderField

    Scope: TypeAlias = MutableMapping[str, Any]  # its values differ by key, as the specification says
    Receive: TypeAlias = ASGIReceiveCallable
    Send: TypeAlias = ASGISendCallable

    class Application(Protocol):
        """What HttpServer serves: an ASGI application with two members more."""

        @property
        def limits(self) -> Limits:
            """What clients may send and how long they may take, at this moment."""

        def begin_early(self, scope: Scope) -> asyncio.Future[Any] | None:
            """Begin with a request that stands behind another of its connection, or return None."""

        async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
            """Answer a request."""


async def read_body(receive: Receive, max_bytes: int) -> bytes | None:
    """Return a request's complete body; None if it is over `max_bytes` or its sender has disconnected."""
    chunks, size = [], 0
    while True:
        message = await receive()
        if message["type"] != "http.request":
            return None
        chunk = message.get("body", b"")
        chunks.append(chunk)
        size += len(chunk)
        if size > max_bytes:
            return None
        if not message.get("more_body", False):
            return b"".join(chunks)


async def send_response(
    send: Send, status: int, headers: Sequence[HeaderField] = (), body: bytes = b""
) -> None:
    """Send a complete response; `content-length` is added to its headers."""
    length = (b"content-length", str(len(body)).encode())
    await send({"type": "http.response.start", "status": status, "headers": [*headers, length]})
    await send({"type": "http.response.body", "body": body})


async def stream_response(
    send: Send, status: int, headers: Sequence[HeaderField], chunks: AsyncIterable[bytes]
) -> None:
    """Send a response while its body arrives."""
    await send({"type": "http.response.start", "status": status, "headers": headers})
    async for chunk in chunks:
        await send({"type": "http.response.body", "body": chunk, "more_body": True})
    await send({"type": "http.response.body", "body": b""})
