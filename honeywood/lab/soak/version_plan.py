"""Draws which new version a soak test rolls out, and what is wrong with it. Pure."""

from __future__ import annotations

import random
from dataclasses import dataclass
from enum import StrEnum
from types import MappingProxyType

from honeywood.lab.soak.machine_faults import MachineFaults

NEW_VERSION = "v2"
DEFECT_SHARE = 0.5
"""Of the requests of a version with a defect."""
MIN_ORDER_S, MAX_ORDER_S = 0.5, 2.0
MAX_DEFECT_DELAY_S = 3.0
ROLLOUT_DURATION_S = 12.0


class Defect(StrEnum):
    """What is wrong with a version; the values are shown to operators."""

    NONE = "good"
    SLOW = "slow"
    HANGING = "hanging"
    FAILING = "failing"


FAULTS_OF_DEFECT = MappingProxyType(
    {
        Defect.NONE: MachineFaults(),
        Defect.SLOW: MachineFaults(slow_share=DEFECT_SHARE),
        Defect.HANGING: MachineFaults(hanging_share=DEFECT_SHARE),
        Defect.FAILING: MachineFaults(failed_share=DEFECT_SHARE),
    }
)


@dataclass(frozen=True, slots=True)
class VersionPlan:
    """The rollout of a new version of `service`, ordered after `order_at_s` seconds of traffic.

    The defect begins `defect_delay_s` after the order.
    """

    service: str
    defect: Defect
    order_at_s: float
    defect_delay_s: float
    duration_s: float = ROLLOUT_DURATION_S

    @property
    def faults(self) -> MachineFaults:
        """The faults of the version's machines once the defect has begun."""
        return FAULTS_OF_DEFECT[self.defect]


def draw_version_plan(seed: int, services: tuple[str, ...]) -> VersionPlan:
    """Return the plan of a seed; half of the defects begin late."""
    rng = random.Random(f"version {seed}")
    delay_s = rng.choice((0.0, rng.uniform(0.0, MAX_DEFECT_DELAY_S)))
    return VersionPlan(
        rng.choice(services),
        rng.choice((Defect.SLOW, Defect.HANGING, Defect.FAILING, Defect.NONE)),
        rng.uniform(MIN_ORDER_S, MAX_ORDER_S),
        delay_s,
    )
