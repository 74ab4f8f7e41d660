"""What a balancer is told at its start, checked and in this program's units."""

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
    """How votes move a release from step to step."""

    ANY = "any"  # a number of votes is needed
    SHARE = "share"  # a share of all balancers' votes is
    CLOCK = "clock"  # steps proceed by themselves unless votes hold them


@dataclass(slots=True, eq=False)
class Settings:
    """The settings of a balancer. Caps and waves are a release's, by step."""

    methods: Sequence[Method]
    seed: int = 0
    clock_resolution: Duration = 10
    zone: int = 0
    zones: Sequence[str] = ()
    balancers: int = 1  # of the fleet; 0 where it is not known
    balancer_index: int = 0  # among them

    max_attempts: int = 1  # of an RPC
    may_duplicate: bool = False  # whether an idempotent RPC may be at two servers at once
    may_cancel: bool = False
    may_probe: bool = False
    max_retry_after: Duration = 0
    idle_timeout: Duration = DEFAULT_IDLE_TIMEOUT  # servers close a connection after it
    connect_timeout: Duration = DEFAULT_CONNECT_TIMEOUT

    list_on_request: bool = False  # whether discovery must be asked for the list
    list_request_window: Duration = 0
    initial_capacity_share: float = 1.0  # of a server that has just started
    warm_up_time: Duration = 0
    overload_multiple: float = 1.0  # a cold server sent so many times its capacity
    overload_window: Duration = 0  # for so long falls over
    load_report_fields: tuple[str, ...] = ()
    cross_zone_price: float = 0.0
    probe_price: float = 0.0

    caps: Sequence[float] = (1.0,)  # share of RPCs that may go to a build on trial
    waves: Sequence[float] = (1.0,)  # share of servers that run it
    exposure_allowance: float = 0.0  # attempts beyond the cap
    exposure_window: Duration = 0
    exposure_per_method: bool = False
    idempotent_only_steps: int = 0  # first steps in which only idempotent methods go to it
    no_downgrade: bool = False  # whether a key that it answered must not go back to an older build
    vote_rule: VoteRule = VoteRule.ANY
    rollback_votes: int = 1
    proceed_votes: int = 1
    vote_ttl: Duration = 0
    vote_timeout: Duration = SECOND
    platform_counts_period: Duration = 0
