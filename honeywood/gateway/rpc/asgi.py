"""What an ASGI scope asks for, and how it is answered."""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from honeywood.gateway.rpc.client_disconnect import ClientDisconnect

CONTEXT = "honeywood.context"  # the scope's key of its RequestContext


@dataclass(slots=True)
class RequestContext:
    """What the server says of a request beside ASGI. `target` has its raw escapes; `received_at` is when the
    request was whole, on the loop's clock; `early_response` is a future where the application has begun with
    it behind another request of its connection, `others_begun` tells whether any behind it has been;
    `disconnect` tells of its client's leaving."""

    target: bytes
    disconnect: ClientDisconnect = field(default_factory=ClientDisconnect)
    others_begun: Callable = lambda: False
    received_at: float | None = None
    early_response: Any = None


async def body_of(receive, most):
    """The request's whole body, or None where it is longer than `most` bytes or its sender has left."""
    parts, size = [], 0
    while True:
        message = await receive()
        if message["type"] != "http.request":
            return None
        parts.append(message.get("body", b""))
        size += len(parts[-1])
        if size > most:
            return None
        if not message.get("more_body", False):
            return b"".join(parts)


async def answer(send, status, headers=(), body=b""):
    """A whole answer of ours."""
    length = (b"content-length", str(len(body)).encode())
    await send({"type": "http.response.start", "status": status, "headers": [*headers, length]})
    await send({"type": "http.response.body", "body": body})


async def stream(send, status, headers, chunks):
    """An answer that is passed on as it comes."""
    await send({"type": "http.response.start", "status": status, "headers": headers})
    async for chunk in chunks:
        await send({"type": "http.response.body", "body": chunk, "more_body": True})
    await send({"type": "http.response.body", "body": b""})
