"""Draws the faults of a day from its seed."""

from __future__ import annotations

import random
from collections.abc import Sequence
from dataclasses import replace

from honeywood.lab.emulator.day import Day
from honeywood.lab.emulator.faults.disturbance import MAX_DURATION_S, MIN_DURATION_S
from honeywood.lab.emulator.faults.fault import Fault, FaultKind

FAULT_PERIOD_S = 8.0
"""The duration of traffic for which at least one and at most the day's `max_faults` faults are drawn."""
FIRST_FAULT_S, FAULT_FREE_END_S = 0.5, 1.0
REQUIRED_BEFORE_SHARE = 0.3
"""The share of a day's traffic within which its required faults begin, so that their later steps fit in."""

LARGE_FAULTS = frozenset(
    {
        FaultKind.WIPE_AFTER_ACKNOWLEDGEMENT,
        FaultKind.WIPE_AFTER_ORDER,
        FaultKind.KILL_ALL,
        FaultKind.WIPE_CONTROLLERS,
        FaultKind.KILL_CONTROLLERS,
        FaultKind.DISK_FAULT,
        FaultKind.DISK_REFUSES,
        FaultKind.REMOVE_CONTROLLERS,
        FaultKind.REPLACE_CONTROLLER,
        FaultKind.REPLACE_AS_PLANNED,
        FaultKind.RESTART_IN_TURN,
    }
)
"""At most one of these occurs in a day, so that the system can tolerate the loss."""

ROLLOUTS = frozenset({FaultKind.GOOD_ROLLOUT, FaultKind.BAD_ROLLOUT, FaultKind.SUPERSEDED_ROLLOUT})
"""At most one of these occurs in a day as well."""


def draw_day(day: Day, required: Sequence[FaultKind] = ()) -> Day:
    """Return a day with the faults that are determined by its seed, and one of each kind in `required`."""
    return replace(day, faults=_draw_faults(random.Random(day.seed), day, required))


def _draw_faults(random: random.Random, day: Day, required: Sequence[FaultKind]) -> tuple[Fault, ...]:
    periods = max(1, round(day.traffic_s / FAULT_PERIOD_S))
    count = sum(random.randrange(1, day.max_faults + 1) for _ in range(periods))
    last_s = day.traffic_s - FAULT_FREE_END_S
    faults = [_draw_fault(random, kind, REQUIRED_BEFORE_SHARE * last_s) for kind in required]
    for _ in range(count):
        fault = _draw_fault(random, random.choice(sorted(FaultKind)), last_s)
        if not _is_excluded(fault.kind, faults):
            faults.append(fault)
    return tuple(sorted(faults, key=lambda fault: fault.at_s))


def _draw_fault(random: random.Random, kind: FaultKind, last_s: float) -> Fault:
    at_s = random.uniform(FIRST_FAULT_S, last_s)
    duration_s = random.uniform(MIN_DURATION_S, MAX_DURATION_S)
    return Fault(kind, round(at_s, 3), round(duration_s, 3), random.random(), random.random())


def _is_excluded(kind: FaultKind, faults: Sequence[Fault]) -> bool:
    """Return whether `kind` is in a group that may occur once a day and already occurs in `faults`."""
    groups = [group for group in (LARGE_FAULTS, ROLLOUTS) if kind in group]
    return any(fault.kind in group for group in groups for fault in faults)
