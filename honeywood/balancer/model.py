"""What the decisions and their hosts talk about: methods, servers, RPCs, attempts, releases.

Times are whole tenths of a millisecond on the host's clock. Objects point to each other; identifiers stay
with the host, which keeps what it needs of a server, an RPC or an attempt in `host`.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from enum import IntEnum, StrEnum
from math import inf
from typing import Any, NamedTuple
from zlib import crc32

Time = int  # a point on the host's clock, in tenths of a millisecond
Duration = int  # tenths of a millisecond
SECOND: Duration = 10_000
UNKNOWN_START: Time = -(10**12)  # of a server whose start nobody remembers


class AttemptResult(IntEnum):
    """How an attempt ended. The figures stand in traces and on the bench's wire."""

    ERROR = 0
    OK = 1
    FULL = 2
    TIMEOUT = 3
    CONNECT_FAILED = 4
    RESET = 5
    CANCELLED = 6
    EXPIRED = 7


NEVER_RAN = (AttemptResult.FULL, AttemptResult.CONNECT_FAILED, AttemptResult.EXPIRED)


class Idempotency(StrEnum):
    """What repeating a method's RPC does. A keyed one bears a key, by which servers drop its repeats."""

    IDEMPOTENT = "idempotent"
    KEYED = "tokened"
    NON_IDEMPOTENT = "non-idempotent"


class ServerStatus(IntEnum):
    """A server's place in its life cycle as the list has it. The figures stand in traces and on the wire."""

    REMOVED = 0
    DRAINING = 1
    READY = 2


class ReleaseState(IntEnum):
    """The state of a release. The figures stand in traces and on the bench's wire."""

    ON_TRIAL = 0
    ROLLING_BACK = 1
    RELEASED = 2
    WITHDRAWN = 3


class Vote(IntEnum):
    """What a balancer votes on a step of a release. The figures stand in traces and on the bench's wire."""

    NONE = 0
    PROCEED = 1
    HOLD = 2
    ROLL_BACK = 3


class GiveUpReason(IntEnum):
    """Why an RPC was given up. The figures stand in traces."""

    QUEUED_TOO_LONG = 1
    OVERLOADED = 2
    NO_SERVER = 3
    TARGET_MISSED = 4
    RETRY_BUDGET_EXHAUSTED = 5


class Exclusion:
    """What keeps an RPC from a server; NONE where nothing does.

    The figures stand in traces: they keep their meaning for ever, and new ones go behind. They are plain
    figures, not members of an enum: the decisions look them up for each server of each RPC.
    """

    NONE = 0
    DONE = 1
    NOT_READY = 2
    MAX_ATTEMPTS = 3
    DEADLINE = 4
    MAY_HAVE_RUN = 5
    DEDUPLICATION = 6
    NO_DOWNGRADE = 7
    EXPOSURE = 8
    WARM_UP_BUDGET = 9
    WARMING_UP = 10
    EJECTED = 11
    UNRESPONSIVE = 12
    ALREADY_ATTEMPTED = 13


def digest(identifier: object) -> int:
    """A server's place in the order that all balancers share, without any meaning of its own."""
    return crc32(str(identifier).encode())


@dataclass(slots=True, eq=False)
class Method:
    """A class of RPCs. `index` is its place in the settings."""

    idempotency: Idempotency = Idempotency.IDEMPOTENT
    latency_target: Duration = SECOND
    target_per_work: float = 0.0  # added to the target for each unit of an RPC's expected work
    timeout: Duration = SECOND
    utility: float = 1.0
    overdue_utility: float = 0.0
    dedup_scope: str = (
        "all"  # where repeats of a keyed RPC are dropped: "all", or servers of one "zone", "cell"
    )
    dedup_window: Duration = 0  # for how long they are
    index: int = 0
    name: str = ""


@dataclass(slots=True, eq=False)
class Server:
    """A server: what the list says of it, then what the decisions keep about it."""

    build: int = 0
    zone: int = 0
    cell: int = 0
    scale: float = 1.0
    status: ServerStatus = ServerStatus.REMOVED
    started_at: Time = UNKNOWN_START
    digest: int = 0
    host: Any = None  # the host's own; the decisions do not look at it

    in_flight: int = 0
    warm_up_sends: deque[Time] = field(default_factory=deque)  # times of attempts while it was cold
    latency_factor: float = 1.0  # its latency over the mean of all servers
    reported_load: float = 0.0  # RPCs of other balancers, by its last load report
    reported_at: float = -inf
    recent_failures: float = 0.0
    decayed_at: Time = 0  # until when latency_factor and recent_failures are decayed
    ejected_until: Time = 0
    answered_at: Time = 0
    suspect: bool = False  # its last attempt ended without any answer
    on_trial: bool = False  # its build is


@dataclass(slots=True, eq=False)
class Rpc:
    """An RPC of a client. `deadline` is when this try's client gives up."""

    method: Method
    deadline: Time
    arrived_at: Time
    tenant: Any = 0
    key: int = 0
    expected_work: Duration = 0
    is_retry: bool = False
    host: Any = None  # the host's own; the decisions do not look at it

    attempts: list[Attempt] = field(default_factory=list)
    target_at: Time = 0  # when an answer is late, though its client still waits
    done: bool = False
    is_overdue: bool = False  # counted as slow before its answer came
    response_began_at: Time | None = None
    give_up_reason: GiveUpReason | None = None


@dataclass(slots=True, eq=False)
class Attempt:
    """One send of an RPC to a server. `result` is None while it is in flight."""

    rpc: Rpc
    server: Server
    number: int
    build: int
    sent_at: Time
    on_young_server: bool = False
    latency: Duration = 0
    latency_counted: bool = False
    result: AttemptResult | None = None
    host: Any = None  # the host's own; the decisions do not look at it


class ServerEntry(NamedTuple):
    """A line of the server list."""

    server: Server
    build: int
    zone: int
    cell: int
    scale: float
    status: ServerStatus
    started_at: Time


class ReleaseUpdate(NamedTuple):
    """What the platform says of its newest release; `age` is how long ago its state began."""

    build: int
    step: int
    cap: float  # the share of a method's RPCs that may go to the build while it is on trial
    state: ReleaseState
    age: Duration


class PlatformCounts(NamedTuple):
    """What the platform counted of a build and method at all balancers, `age` ago."""

    build: int
    method: Method
    failed: int
    ended: int
    mean_latency: Duration
    age: Duration


class ReleaseTestResult(NamedTuple):
    """One test of a release: p-value, its name in logs and traces, what it saw of how many and expected."""

    p_value: float
    name: str
    observed: float
    outcomes: float
    expected: float
