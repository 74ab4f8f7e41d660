"""A client's request that became an RPC."""

from __future__ import annotations

from honeywood.balancer.model import SECOND
from honeywood.balancer.transport import clock

TYPE_CHECKING = False
if TYPE_CHECKING:
    from honeywood.balancer.actors.client import Client
    from honeywood.balancer.model import Duration, Method, Rpc
    from honeywood.balancer.protocol.http import Request

# A client's time ran from when it sent, and its answer has to reach it: so much less is used.
NETWORK_RESERVE: Duration = 150
MAX_COST_DIGITS = 15
US_PER_TENTH_OF_MS = 100


class Call:
    """Where the RPC's answer goes, and what of the request goes on to servers.

    `serial` numbers it for a trace. `request` is None once it is answered, `rpc` until the decisions have it.
    """

    __slots__ = (
        "client",
        "request",
        "identifier",
        "arrived_at",
        "deadline",
        "method",
        "expected_work",
        "is_retry",
        "rpc",
        "serial",
    )

    def __init__(
        self, client: Client, request: Request, identifier: str, timeout_s: float, method: Method
    ) -> None:
        """It has arrived now."""
        self.client, self.identifier, self.method = client, identifier, method
        self.request: Request | None = request
        self.arrived_at = clock.now()
        self.deadline = self.arrived_at + int(min(method.timeout, timeout_s * SECOND)) - NETWORK_RESERVE
        self.expected_work = _expected_work(request.get("x-cost") or "")
        self.is_retry = request.get("x-retried") == "1"
        self.rpc: Rpc | None = None
        self.serial = 0


def _expected_work(cost_us: str) -> Duration:
    """A hint in microseconds; 0 where it cannot be read."""
    if not cost_us.isdecimal() or len(cost_us) > MAX_COST_DIGITS:
        return 0
    return int(cost_us) // US_PER_TENTH_OF_MS
