"""The types that decisions and their hosts exchange: methods, servers, RPCs, attempts, releases.

Times are integers, in tenths of a millisecond on the host's clock. Objects refer to each other directly.
Identifiers are known to the host only; it keeps its own data about a server, an RPC or an attempt in `host`.
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
UNKNOWN_START: Time = -(10**12)  # start of a server whose start time is unknown: long ago


class AttemptResult(IntEnum):
    """How an attempt ended. The values are part of the trace format and of the bench's protocol."""

    ERROR = 0
    OK = 1
    FULL = 2
    TIMEOUT = 3
    CONNECT_FAILED = 4
    RESET = 5
    CANCELLED = 6
    EXPIRED = 7


# Results after which it is certain that no server has run the attempt.
NEVER_RAN = (AttemptResult.FULL, AttemptResult.CONNECT_FAILED, AttemptResult.EXPIRED)


class Idempotency(StrEnum):
    """Whether a method's RPC may be repeated. A keyed RPC has a key by which servers drop its repeats."""

    IDEMPOTENT = "idempotent"
    KEYED = "tokened"
    NON_IDEMPOTENT = "non-idempotent"


class ServerStatus(IntEnum):
    """A server's status in the server list. The values are part of the trace format and of the protocol."""

    REMOVED = 0
    DRAINING = 1
    READY = 2


class ReleaseState(IntEnum):
    """The state of a release. The values are part of the trace format and of the bench's protocol."""

    ON_TRIAL = 0
    ROLLING_BACK = 1
    RELEASED = 2
    WITHDRAWN = 3


class Vote(IntEnum):
    """A balancer's vote on a step of a release.

    The values are part of the trace format and of the bench's protocol.
    """

    NONE = 0
    PROCEED = 1
    HOLD = 2
    ROLL_BACK = 3


class GiveUpReason(IntEnum):
    """Why an RPC was given up. The values are part of the trace format."""

    QUEUED_TOO_LONG = 1
    OVERLOADED = 2
    NO_SERVER = 3
    TARGET_MISSED = 4
    RETRY_BUDGET_EXHAUSTED = 5


class Exclusion:
    """Why an RPC may not be sent to a server; NONE if it may.

    The values are part of the trace format: they never change their meaning, and new ones are appended. They
    are plain integers and not members of an enum, since the decisions look them up for each server of each
    RPC.
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
    """A number by which all balancers sort servers into the same arbitrary order."""
    return crc32(str(identifier).encode())


@dataclass(slots=True, eq=False)
class Method:
    """A class of RPCs with common settings. `index` is its position in the settings."""

    idempotency: Idempotency = Idempotency.IDEMPOTENT
    latency_target: Duration = SECOND
    target_per_work: float = 0.0  # added to the target for each unit of an RPC's expected work
    timeout: Duration = SECOND
    utility: float = 1.0  # value of an answer within its latency target
    overdue_utility: float = 0.0  # value of a later answer
    # The servers that drop repeats of a keyed RPC: "all", or those of the same "zone" or "cell".
    dedup_scope: str = "all"
    dedup_window: Duration = 0  # how long servers recognize a repeat
    index: int = 0
    name: str = ""


@dataclass(slots=True, eq=False)
class Server:
    """A server: first its entry in the server list, then the state that the decisions keep about it."""

    build: int = 0
    zone: int = 0
    cell: int = 0
    scale: float = 1.0
    status: ServerStatus = ServerStatus.REMOVED
    started_at: Time = UNKNOWN_START
    digest: int = 0
    host: Any = None  # data of the host, not used by the decisions

    in_flight: int = 0  # attempts of this balancer
    warm_up_sends: deque[Time] = field(default_factory=deque)  # times of attempts while it warms up
    latency_factor: float = 1.0  # its latency divided by the mean of all servers
    reported_load: float = 0.0  # RPCs of other balancers, by its last load report
    reported_at: float = -inf
    recent_failures: float = 0.0  # with exponential decay
    decayed_at: Time = 0  # when latency_factor and recent_failures were last decayed
    ejected_until: Time = 0
    answered_at: Time = 0  # its last answer, or the last attempt sent to it while none was in flight
    suspect: bool = False  # whether its last attempt ended without an answer
    on_trial: bool = False  # whether its build is on trial or rejected


@dataclass(slots=True, eq=False)
class Rpc:
    """An RPC of a client. `deadline` is when the client gives up this RPC; a retry of it is another RPC."""

    method: Method
    deadline: Time
    arrived_at: Time
    tenant: Any = 0
    key: int = 0
    expected_work: Duration = 0
    is_retry: bool = False  # whether the client has sent it before
    host: Any = None  # data of the host, not used by the decisions

    attempts: list[Attempt] = field(default_factory=list)
    target_at: Time = 0  # latency target; a later answer is late, even if the client still waits
    done: bool = False
    is_overdue: bool = False  # whether it was counted as slow before its answer arrived
    response_began_at: Time | None = None
    give_up_reason: GiveUpReason | None = None


@dataclass(slots=True, eq=False)
class Attempt:
    """One transmission of an RPC to a server. `result` is None while it is in flight."""

    rpc: Rpc
    server: Server
    number: int  # counts the attempts of the RPC from 0
    build: int
    sent_at: Time
    on_young_server: bool = False
    latency: Duration = 0
    latency_counted: bool = False  # whether its latency is part of a sample of the release already
    result: AttemptResult | None = None
    host: Any = None  # data of the host, not used by the decisions


class ServerEntry(NamedTuple):
    """An entry of the server list."""

    server: Server
    build: int
    zone: int
    cell: int
    scale: float
    status: ServerStatus
    started_at: Time


class ReleaseUpdate(NamedTuple):
    """The state of the newest release as the platform reports it; `age` is how long ago the state began."""

    build: int
    step: int
    cap: float  # the share of a method's RPCs that may go to the build while it is on trial
    state: ReleaseState
    age: Duration


class PlatformCounts(NamedTuple):
    """The platform's counts of a build and method at all balancers, taken `age` ago."""

    build: int
    method: Method
    failed: int
    ended: int
    mean_latency: Duration
    age: Duration


class ReleaseTestResult(NamedTuple):
    """The result of one test of a release."""

    p_value: float
    name: str  # in logs and traces
    observed: float  # failures, slow answers or sum of latencies, depending on the test
    outcomes: float
    expected: float  # as `observed`, by the rate of the earlier release
