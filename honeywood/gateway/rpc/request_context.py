"""What a listener passes to the application about a request, in addition to the ASGI entries of the scope."""

from __future__ import annotations

from dataclasses import dataclass, field

from honeywood.gateway.rpc.client_disconnect import ClientDisconnect

TYPE_CHECKING = False
if TYPE_CHECKING:
    import asyncio
    from collections.abc import Callable
    from typing import Any

CONTEXT = "honeywood.context"  # the key of the RequestContext in a scope


@dataclass(slots=True)
class RequestContext:
    """What the listener knows about one request.

    `target` is the request target as sent, with its percent-encoding. `disconnect` reports the disconnect of
    the client. `later_requests_begun` returns whether the application has started a later pipelined request
    of the connection. `received_at` is when the request was complete, in seconds on the event loop's clock.
    `early_response` is the response that the application started to prepare while earlier requests of the
    connection were unanswered, None if it did not.
    """

    target: bytes
    disconnect: ClientDisconnect = field(default_factory=ClientDisconnect)
    later_requests_begun: Callable[[], bool] = lambda: False
    received_at: float | None = None
    early_response: asyncio.Future[Any] | None = None  # the application chooses its type
