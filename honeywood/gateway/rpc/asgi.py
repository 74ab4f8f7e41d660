"""Helpers for ASGI applications: reading a request body and sending a response.

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

    Scope: TypeAlias = MutableMapping[str, Any]  # the specification gives each key its own type of value
    Receive: TypeAlias = ASGIReceiveCallable
    Send: TypeAlias = ASGISendCallable

    class Application(Protocol):
        """An ASGI application that HttpServer can serve; `limits` and `begin_early` are additions to ASGI."""

        @property
        def limits(self) -> Limits:
            """The limits on clients' requests, and the time-outs, that are in force now."""

        def begin_early(self, scope: Scope) -> asyncio.Future[Any] | None:
            """Start a pipelined request before earlier ones are answered; return None if it has to wait."""

        async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
            """Handle a request and send its response."""


async def read_body(receive: Receive, max_bytes: int) -> bytes | None:
    """Return a request's complete body; None if it exceeds `max_bytes` or the client has disconnected."""
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
    """Send a complete response; a `content-length` header is added."""
    length = (b"content-length", str(len(body)).encode())
    await send({"type": "http.response.start", "status": status, "headers": [*headers, length]})
    await send({"type": "http.response.body", "body": body})


async def stream_response(
    send: Send, status: int, headers: Sequence[HeaderField], chunks: AsyncIterable[bytes]
) -> None:
    """Send a response whose body is sent chunk by chunk, as `chunks` yields it."""
    await send({"type": "http.response.start", "status": status, "headers": headers})
    async for chunk in chunks:
        await send({"type": "http.response.body", "body": chunk, "more_body": True})
    await send({"type": "http.response.body", "body": b""})
