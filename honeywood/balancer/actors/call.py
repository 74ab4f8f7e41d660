"""A client's request that is handled as an RPC."""

from __future__ import annotations

from honeywood.balancer.model import SECOND
from honeywood.balancer.transport import clock

TYPE_CHECKING = False
if TYPE_CHECKING:
    from honeywood.balancer.actors.client import Client
    from honeywood.balancer.model import Duration, Method, Rpc
    from honeywood.balancer.protocol.http import Request

# The client's timeout also covers the network time to the balancer and back; the deadline is earlier by this.
NETWORK_RESERVE: Duration = 150
MAX_COST_DIGITS = 15
US_PER_TENTH_OF_MS = 100


class Call:
    """The client that waits for an RPC's answer, and the request that is forwarded to servers.

    Attributes:
        request: the request; None once it is answered.
        rpc: the RPC as the decisions know it; None before they take it and after the client has disconnected.
        serial: the number of the RPC in a trace.
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
        """Create the call of a request that has arrived now."""
        self.client, self.identifier, self.method = client, identifier, method
        self.request: Request | None = request
        self.arrived_at = clock.now()
        self.deadline = self.arrived_at + int(min(method.timeout, timeout_s * SECOND)) - NETWORK_RESERVE
        self.expected_work = _expected_work(request.get("x-cost") or "")
        self.is_retry = request.get("x-retried") == "1"
        self.rpc: Rpc | None = None
        self.serial = 0


def _expected_work(cost_us: str) -> Duration:
    """The work hint of a header in microseconds, as a duration; 0 if it is not a valid number."""
    if not cost_us.isdecimal() or len(cost_us) > MAX_COST_DIGITS:
        return 0
    return int(cost_us) // US_PER_TENTH_OF_MS
