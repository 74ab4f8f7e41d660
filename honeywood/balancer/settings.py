"""The settings of a balancer, validated and converted to the units of this program."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from honeywood.balancer.model import SECOND, Duration, Method

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Sequence

DEFAULT_IDLE_TIMEOUT: Duration = 30 * SECOND
DEFAULT_CONNECT_TIMEOUT: Duration = SECOND // 4


class VoteRule(StrEnum):
    """How a release proceeds from step to step."""

    ANY = "any"  # by a fixed number of votes
    SHARE = "share"  # by a share of the votes of all balancers
    CLOCK = "clock"  # after a time, unless votes hold it


@dataclass(slots=True, eq=False)
class Settings:
    """The settings of a balancer. `caps` and `waves` have one value for each step of a release."""

    methods: Sequence[Method]
    seed: int = 0
    clock_resolution: Duration = 10
    zone: int = 0
    zones: Sequence[str] = ()
    balancers: int = 1  # number of balancers in the fleet; 0 if unknown
    balancer_index: int = 0  # index of this balancer among them

    max_attempts: int = 1  # per RPC
    may_duplicate: bool = False  # whether an idempotent RPC may be at two servers at the same time
    may_cancel: bool = False
    may_probe: bool = False
    max_retry_after: Duration = 0  # upper limit of the delay that rejected clients are given; 0 for no delay
    idle_timeout: Duration = DEFAULT_IDLE_TIMEOUT  # after which servers close a connection
    connect_timeout: Duration = DEFAULT_CONNECT_TIMEOUT

    list_on_request: bool = False  # whether the server list must be requested from discovery
    list_request_window: Duration = 0  # a request without an answer is repeated after a third of it
    initial_capacity_share: float = 1.0  # share of its capacity that a server has when it starts
    warm_up_time: Duration = 0  # from a server's start until it has its full capacity
    # A server that is warming up fails if it receives this multiple of its capacity over the overload window.
    overload_multiple: float = 1.0
    overload_window: Duration = 0
    load_report_fields: tuple[str, ...] = ()  # names of the values in a server's load report, in their order
    cross_zone_price: float = 0.0  # unless it is 0, servers of the own zone are preferred
    probe_price: float = 0.0  # of one probe, in units of utility

    caps: Sequence[float] = (1.0,)  # share of RPCs that may go to the build on trial
    waves: Sequence[float] = (1.0,)  # share of servers that run the build on trial
    exposure_allowance: float = 0.0  # attempts at the build on trial beyond its cap
    exposure_window: Duration = 0  # over which the cap holds
    exposure_per_method: bool = False  # whether the cap holds for each method instead of for all together
    idempotent_only_steps: int = 0  # first steps in which only idempotent methods go to the build on trial
    # Whether a key that the newest release has answered must not go back to an older build.
    no_downgrade: bool = False
    vote_rule: VoteRule = VoteRule.ANY
    rollback_votes: int = 1  # votes that roll a release back
    proceed_votes: int = 1  # votes that let a release proceed to the next step
    vote_ttl: Duration = 0  # after which an accepted vote expires
    vote_timeout: Duration = SECOND  # for the platform's answer to a vote
    platform_counts_period: Duration = 0  # period over which the platform counts
