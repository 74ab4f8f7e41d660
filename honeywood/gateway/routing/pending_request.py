"""A client's request while the proxy handles it, with the attempts made so far."""

from __future__ import annotations

from dataclasses import dataclass, field

from honeywood.gateway.routing.outcomes import AttemptOutcome
from honeywood.gateway.rpc.client_disconnect import ClientDisconnect

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Callable

    from honeywood.gateway.configuration.model import Route
    from honeywood.gateway.routing.endpoint import Endpoint
    from honeywood.gateway.rpc.connection import Connection

# Fraction of the route's latency target after which a request that no endpoint could take is rejected.
REJECT_AFTER_FRACTION = 0.25
# A request's first connection gets at least this time, even after `reject_at`; enough for many round trips.
MIN_CONNECT_TIMEOUT_S = 0.05


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt at one endpoint over `connection`; `outcome` is None while it is in flight."""

    endpoint: Endpoint
    outcome: AttemptOutcome | None = None
    connection: Connection | None = None


@dataclass(slots=True, eq=False)
class PendingRequest:
    """A client's request, kept until it is answered and no attempt is in flight.

    Times are seconds on the caller's clock. `try_id` is the client's X-Try-Id. `deadline` is when the client
    or the route gives up. `priority` is the tenant's, or else the route's; 0 is the highest. `unreachable`
    lists the endpoints to which no connection could be established. `on_disconnect` is the callback that is
    subscribed to `disconnect`.
    """

    route: Route
    service: str
    try_id: bytes
    received_at: float
    deadline: float
    attempts: list[Attempt] = field(default_factory=list)
    finished: bool = False
    unreachable: list[Endpoint] = field(default_factory=list)
    disconnect: ClientDisconnect = field(default_factory=ClientDisconnect)
    on_disconnect: Callable[[], None] | None = None
    priority: int = 0

    @property
    def attempted_endpoints(self) -> list[Endpoint]:
        """The endpoint of each attempt."""
        return [attempt.endpoint for attempt in self.attempts]

    def may_use(self, connection: Connection) -> bool:
        """Whether an attempt may use the connection: not if it isn't idempotent and used it before.

        All attempts carry the same id, so a second copy of the rejection of the earlier attempt would be
        taken for the response to the later one, which may be running.
        """
        return self.route.idempotent or all(attempt.connection is not connection for attempt in self.attempts)

    @property
    def may_have_run(self) -> bool:
        """Whether any attempt is in flight or has ended with an outcome other than NOT_RUN."""
        return any(attempt.outcome is not AttemptOutcome.NOT_RUN for attempt in self.attempts)

    @property
    def succeeded(self) -> bool:
        """Whether any attempt has succeeded."""
        return any(attempt.outcome is AttemptOutcome.SUCCESS for attempt in self.attempts)

    @property
    def reject_at(self) -> float:
        """When to reject it if no endpoint could take it: early enough for its client to retry elsewhere."""
        return self.received_at + REJECT_AFTER_FRACTION * self.route.latency_target_s


def connect_deadline(now: float, request: PendingRequest) -> float:
    """The time by which a connection for `request` must be established."""
    if request.attempts:
        return request.deadline
    return min(request.deadline, max(now + MIN_CONNECT_TIMEOUT_S, request.reject_at))
