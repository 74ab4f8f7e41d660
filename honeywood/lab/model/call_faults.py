"""Faults at the calls that the register's files make, and random plans of them."""

from __future__ import annotations

import random
from enum import StrEnum
from typing import TypeAlias

MAX_PLANNED_CALL = 30
MANY_FAULTS_PROBABILITY = 0.3
LASTING_FAULT_CALLS = 9


class CallFault(StrEnum):
    """What happens at a call. POWER_LOSS, KILL and HANG end the process, the others refuse the call."""

    POWER_LOSS = "power"
    """Power is lost after the call."""
    KILL = "kill"
    """The process is killed after the call."""
    HANG = "hang"
    """The process is killed in a call that has no effect and does not return."""
    REFUSED = "refused"
    """The call fails without effect."""
    DISK_FULL = "full"
    """The call fails with half its effect."""
    REFUSED_AFTER_EFFECT = "doubt"
    """The call fails with all its effect."""


ENDS = (CallFault.POWER_LOSS, CallFault.KILL, CallFault.HANG)
REFUSALS = (CallFault.REFUSED, CallFault.DISK_FULL, CallFault.REFUSED_AFTER_EFFECT)
LASTING_REFUSALS = (CallFault.DISK_FULL, CallFault.DISK_FULL, CallFault.REFUSED)

FaultPlan: TypeAlias = dict[int, CallFault]
"""Faults by the number of the call in one process, from 1 on."""


def draw_fault_plan(random: random.Random) -> FaultPlan:
    """Return a plan: refusals one by one, or a disk that is full for some calls, and an end."""
    last = random.randrange(1, MAX_PLANNED_CALL)
    plan: FaultPlan = {}
    for _ in range(random.choice((0, 0, 1, 1, 2, 4))):
        plan[random.randrange(1, MAX_PLANNED_CALL)] = random.choice(REFUSALS)
    if random.random() < MANY_FAULTS_PROBABILITY:  # done but refused, and its file can't be removed
        first = random.randrange(1, MAX_PLANNED_CALL)
        plan[first] = CallFault.REFUSED_AFTER_EFFECT
        plan[first + 1] = plan[first + 2] = CallFault.REFUSED
    if random.random() < MANY_FAULTS_PROBABILITY:
        first = random.randrange(1, MAX_PLANNED_CALL)
        for call in range(first, first + LASTING_FAULT_CALLS):
            plan[call] = random.choice(LASTING_REFUSALS)
    plan[last] = random.choice(ENDS)
    return plan
