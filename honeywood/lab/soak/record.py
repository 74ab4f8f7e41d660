"""What a soak has observed. All times are seconds on the soak's monotonic clock."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field


@dataclass(slots=True)
class ClientRequest:
    """One request of a client and its outcome.

    `disconnected_at` is None unless the client left before the response; `status` is None without one.
    """

    id: bytes
    idempotent: bool
    proxy: str
    key: str
    sent_at: float
    disconnected_at: float | None = None
    status: int | None = None
    body: bytes = b""


@dataclass(slots=True)
class Execution:
    """One execution of a request by a machine; `ended_at` is None while it lasts."""

    request_id: bytes
    tenant: str
    has_api_key: bool
    began_at: float
    ended_at: float | None = None


@dataclass(slots=True)
class Record:
    """All that a soak has observed.

    `disturbances` are the begin and end of the faults that touched a process, by its address; `owners` the
    tenants that any configuration has named for a key. `open_at_end` counts requests and attempts that a
    proxy has open after all clients have left. `errors` are log lines that report a fault of the system's
    own; `observer_lag_s` is the longest time for which the soak itself did not run.
    """

    requests: dict[bytes, ClientRequest] = field(default_factory=dict)
    executions: list[Execution] = field(default_factory=list)
    disturbances: dict[str, list[tuple[float, float]]] = field(default_factory=lambda: defaultdict(list))
    owners: dict[str, set[str]] = field(default_factory=lambda: defaultdict(set))
    acknowledged_version: int = 0
    read_back_version: int | None = None
    open_at_end: dict[str, float] = field(default_factory=dict)
    errors: list[str] = field(default_factory=list)
    observer_lag_s: float = 0.0
