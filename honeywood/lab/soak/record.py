"""The observations of a soak test. All times are seconds on its monotonic clock."""

from __future__ import annotations

from collections import Counter, defaultdict
from dataclasses import dataclass, field

from honeywood.lab.soak.version_plan import Defect


@dataclass(slots=True)
class ClientRequest:
    """One request of a client and its outcome.

    `disconnected_at` is None unless the client disconnected early; `status` is None without a response.
    `is_unread` says that the request was sent behind a response that closed its connection, so that it counts
    as not read. `operation` is the id of the first request by which a client tried the same operation.
    `unanswered_at` is when its connection ended without a response.
    """

    id: bytes
    idempotent: bool
    proxy: str
    key: str
    sent_at: float
    disconnected_at: float | None = None
    status: int | None = None
    body: bytes = b""
    is_unread: bool = False
    operation: bytes = b""
    unanswered_at: float | None = None


@dataclass(slots=True)
class Execution:
    """One execution of a request by a machine; `ended_at` is None while it is in progress.

    `is_bad` says that it is slow or fails.
    """

    request_id: bytes
    tenant: str
    has_api_key: bool
    began_at: float
    ended_at: float | None = None
    machine: str = ""
    service: str = ""
    version: str = ""
    is_bad: bool = False


@dataclass(slots=True)
class RolloutObservation:
    """A rollout that was ordered at `ordered_at`, with the state that was read last."""

    service: str
    version: str
    defect: Defect
    ordered_at: float
    duration_s: float
    state: str = ""


@dataclass(frozen=True, slots=True)
class Event:
    """What a client or a machine saw of one request; `where` names the connection."""

    at: float
    where: str
    what: str


@dataclass(slots=True)
class Record:
    """All observations of a soak.

    `disturbances` holds the begin and end of each fault that affected a process or paused a machine, by the
    process's address or the machine's id; `owners` holds the tenants that owned a key in any configuration.
    `open_at_end` is the number of requests and attempts that a proxy still has open after all clients have
    left. `errors` are log lines that report an error of the system itself; `observer_lag_s` is the longest
    time by which the soak's own event loop was late. `kills` holds when each process was killed, by its
    address. `events` holds the course of each request, `counts` how often something was seen, by name.
    """

    requests: dict[bytes, ClientRequest] = field(default_factory=dict)
    executions: list[Execution] = field(default_factory=list)
    disturbances: dict[str, list[tuple[float, float]]] = field(default_factory=lambda: defaultdict(list))
    owners: dict[str, set[str]] = field(default_factory=lambda: defaultdict(set))
    acknowledged_version: int = 0
    read_back_version: int | None = None
    open_at_end: dict[str, float] = field(default_factory=dict)
    errors: list[str] = field(default_factory=list)
    kills: dict[str, list[float]] = field(default_factory=lambda: defaultdict(list))
    observer_lag_s: float = 0.0
    events: dict[bytes, list[Event]] = field(default_factory=lambda: defaultdict(list))
    counts: Counter[str] = field(default_factory=Counter)
    rollout: RolloutObservation | None = None

    def add_event(self, request_id: bytes, at: float, where: str, what: str) -> None:
        """Add an event to the course of a request, and count it."""
        self.events[request_id].append(Event(at, where, what))
        self.counts[what] += 1
