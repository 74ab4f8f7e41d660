"""One service machine as a proxy sees it: what its record says, and what this proxy has measured."""

from __future__ import annotations

from math import inf

from honeywood.gateway.routing.endpoint_state import EndpointState

TYPE_CHECKING = False
if TYPE_CHECKING:
    from honeywood.gateway.routing.endpoint_record import EndpointRecord
    from honeywood.gateway.rpc.connection import Connection

LOAD_HALF_LIFE_S = 0.4  # in which half of the reported load from other proxies is discounted
RELATIVE_LATENCY_STEP = 0.1  # weight of one response in the moving average
MAX_RELATIVE_LATENCY = 8.0
EJECTION_S = 0.5  # of the first ejection after a failure; each further one lasts twice as long, up to
MAX_EJECTION_S = 4.0
MAX_EJECTION_DOUBLINGS = 8
UNRESPONSIVE_AFTER = 3.0  # multiples of the typical latency without any response


class Endpoint:
    """One incarnation of a service machine.

    Times are seconds on the caller's clock. `slots` is how many requests the machine serves at once,
    `relative_latency` its latency as a multiple of the service's typical one, `warm_at` the end of its slow
    start.
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
        """An incarnation that is first heard of at `now`; its record supplies the rest."""
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
        """Takes over what the machine's newest record says."""
        self.ip = record.ip
        self.port = record.port
        self.zone = record.zone
        self.version = record.version
        self.slots = record.slots
        self.warm_at = now + record.warm_up_s
        self.state = record.state

    def load(self, now: float) -> float:
        """The estimated requests at the machine: this proxy's own and, decaying, those of other proxies."""
        half_lives = (now - self.load_reported_at) / LOAD_HALF_LIFE_S
        discount: float = 0.5**half_lives
        return self.in_flight + self.others_load * discount

    def record_load(self, now: float, running: int, queued: int) -> None:
        """Takes a load report of the machine; the requests of this proxy are among those it counts."""
        self.others_load = max(0.0, running + queued - self.in_flight)
        self.load_reported_at = now

    def connection_changed(self, change: int) -> None:
        """A connection to the machine was established (1) or has ended (-1)."""
        self.open_connections += change

    @property
    def connection_count(self) -> int:
        """Connections of this proxy, established or being opened. Machines reset those over `max_conns`."""
        return self.open_connections + self.opening_connections

    def attempt_started(self, now: float) -> None:
        """An attempt at the machine starts."""
        if not self.in_flight:
            self.unanswered_since = now
        self.in_flight += 1

    def attempt_ended(self, now: float, answered: bool) -> None:
        """An attempt has ended, with a complete response or without."""
        self.in_flight -= 1
        if answered:
            self.unanswered_since = now
            self.failures_in_a_row = 0

    def eject(self, now: float) -> None:
        """Takes the machine out of load balancing after a failure, longer with each one in a row."""
        doublings = min(self.failures_in_a_row, MAX_EJECTION_DOUBLINGS)
        self.ejected_until = now + min(MAX_EJECTION_S, EJECTION_S * 2**doublings)
        self.failures_in_a_row += 1

    def is_unresponsive(self, now: float, typical_latency_s: float) -> bool:
        """Whether attempts are in flight and the machine has answered nothing for long."""
        if not self.in_flight or self.unanswered_since is None:
            return False
        return now - self.unanswered_since > UNRESPONSIVE_AFTER * typical_latency_s

    def record_latency(self, now: float, latency_s: float, typical_latency_s: float) -> None:
        """Takes a response's latency into the average; responses during slow start don't count."""
        if now >= self.warm_at and typical_latency_s > 0:
            ratio = min(MAX_RELATIVE_LATENCY, latency_s / typical_latency_s)
            self.relative_latency += (ratio - self.relative_latency) * RELATIVE_LATENCY_STEP
