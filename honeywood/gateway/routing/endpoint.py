"""One service machine as known to a proxy: the content of its record, and this proxy's measurements."""

from __future__ import annotations

from math import inf

from honeywood.gateway.routing.endpoint_state import EndpointState

TYPE_CHECKING = False
if TYPE_CHECKING:
    from honeywood.gateway.routing.endpoint_record import EndpointRecord
    from honeywood.gateway.rpc.connection import Connection

LOAD_HALF_LIFE_S = 0.4  # seconds in which the weight of the reported load of other proxies halves
RELATIVE_LATENCY_STEP = 0.1  # weight of one response in the exponential moving average
MAX_RELATIVE_LATENCY = 8.0
EJECTION_S = 0.5  # first ejection after a failure, in seconds; it doubles with each failure in a row
MAX_EJECTION_S = 4.0
MAX_EJECTION_DOUBLINGS = 8
UNRESPONSIVE_LATENCY_MULTIPLE = 3.0  # of the typical latency, without any response


class Endpoint:
    """One incarnation of a service machine.

    Times are seconds on the caller's clock. `slots` is how many requests the machine serves at once,
    `relative_latency` its latency as a multiple of the service's typical latency, and `warm_at` when its slow
    start ends. `others_load` is the number of other proxies' requests at the machine at `load_reported_at`.
    """

    __slots__ = (
        "discovered_at",
        "ejected_until",
        "failures_in_a_row",
        "id",
        "idle_connections",
        "in_flight",
        "ip",
        "load_reported_at",
        "open_connections",
        "opening_connections",
        "others_load",
        "port",
        "relative_latency",
        "service",
        "slots",
        "state",
        "unanswered_since",
        "version",
        "warm_at",
        "zone",
    )

    def __init__(self, id: str, service: str, now: float) -> None:
        """An incarnation that is discovered at `now`; `apply` sets the rest from its record."""
        self.id = id
        self.service = service
        self.discovered_at = now
        self.state = EndpointState.GONE
        self.ip = ""
        self.port = 0
        self.zone = ""
        self.version = ""
        self.slots = 1
        self.warm_at = now
        self.in_flight = 0
        self.others_load = 0.0
        self.load_reported_at = -inf
        self.relative_latency = 1.0
        self.ejected_until = -inf
        self.failures_in_a_row = 0
        self.unanswered_since: float | None = None
        self.idle_connections: list[Connection] = []
        self.opening_connections = 0
        self.open_connections = 0

    def apply(self, now: float, record: EndpointRecord) -> None:
        """Updates the endpoint from the machine's newest record."""
        self.ip = record.ip
        self.port = record.port
        self.zone = record.zone
        self.version = record.version
        self.slots = record.slots
        self.warm_at = now + record.warm_up_s
        self.state = record.state

    def load(self, now: float) -> float:
        """The estimated number of requests at the machine; the part of other proxies decays with its age."""
        half_lives = (now - self.load_reported_at) / LOAD_HALF_LIFE_S
        discount: float = 0.5**half_lives
        return self.in_flight + self.others_load * discount

    def record_load(self, now: float, running: int, queued: int) -> None:
        """Records the machine's load report, which also counts the requests of this proxy."""
        self.others_load = max(0.0, running + queued - self.in_flight)
        self.load_reported_at = now

    def connection_changed(self, change: int) -> None:
        """Records that a connection to the machine was established (`change` is 1) or has ended (-1)."""
        self.open_connections += change

    @property
    def connection_count(self) -> int:
        """This proxy's connections, established or being opened. Machines reset those beyond `max_conns`."""
        return self.open_connections + self.opening_connections

    def attempt_started(self, now: float) -> None:
        """Records that an attempt at the machine starts."""
        if not self.in_flight:
            self.unanswered_since = now
        self.in_flight += 1

    def attempt_ended(self, now: float, answered: bool) -> None:
        """Records that an attempt has ended; `answered` if with a complete response."""
        self.in_flight -= 1
        if answered:
            self.unanswered_since = now
            self.failures_in_a_row = 0

    def eject(self, now: float) -> None:
        """Ejects the machine from load balancing after a failure, for longer with each failure in a row."""
        doublings = min(self.failures_in_a_row, MAX_EJECTION_DOUBLINGS)
        self.ejected_until = now + min(MAX_EJECTION_S, EJECTION_S * 2**doublings)
        self.failures_in_a_row += 1

    def is_unresponsive(self, now: float, typical_latency_s: float) -> bool:
        """Whether attempts are in flight and the machine has completed no response for a long time."""
        if not self.in_flight or self.unanswered_since is None:
            return False
        return now - self.unanswered_since > UNRESPONSIVE_LATENCY_MULTIPLE * typical_latency_s

    def record_latency(self, now: float, latency_s: float, typical_latency_s: float) -> None:
        """Adds a response's latency to the moving average; latencies during slow start are ignored."""
        if now >= self.warm_at and typical_latency_s > 0:
            ratio = min(MAX_RELATIVE_LATENCY, latency_s / typical_latency_s)
            self.relative_latency += (ratio - self.relative_latency) * RELATIVE_LATENCY_STEP
