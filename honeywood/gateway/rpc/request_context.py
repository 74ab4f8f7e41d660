"""What a listener knows of a request beside its ASGI scope."""

from __future__ import annotations

from dataclasses import dataclass, field

from honeywood.gateway.rpc.client_disconnect import ClientDisconnect

TYPE_CHECKING = False
if TYPE_CHECKING:
    import asyncio
    from collections.abc import Callable
    from typing import Any

CONTEXT = "honeywood.context"  # the key of a scope's RequestContext


@dataclass(slots=True)
class RequestContext:
    """What a listener knows of one request.

    `target` is as sent, with its escapes. `disconnect` tells of its client's disconnect. `received_at` is
    when the request was complete, in seconds on the loop's clock. `early_response` is what the application
    has begun while the request stood behind another of its connection, None if it hasn't;
    `later_requests_begun` returns whether any request behind this one has been begun.
    """

    target: bytes
    disconnect: ClientDisconnect = field(default_factory=ClientDisconnect)
    later_requests_begun: Callable[[], bool] = lambda: False
    received_at: float | None = None
    early_response: asyncio.Future[Any] | None = None  # of the application's own type
