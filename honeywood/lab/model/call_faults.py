"""Faults that are injected into the register's file operations, and random plans of such faults."""

from __future__ import annotations

import random
from enum import StrEnum
from typing import TypeAlias

MAX_PLANNED_CALL = 30
MANY_FAULTS_PROBABILITY = 0.3
LASTING_FAULT_CALLS = 9


class CallFault(StrEnum):
    """The fault injected at a call. POWER_LOSS, KILL and HANG end the process; the others fail the call."""

    POWER_LOSS = "power"
    """Power is lost after the call."""
    KILL = "kill"
    """The process is killed after the call."""
    HANG = "hang"
    """The call has no effect and does not return; the process is killed meanwhile."""
    REFUSED = "refused"
    """The call fails and has no effect."""
    DISK_FULL = "full"
    """The call fails after half of its effect."""
    REFUSED_AFTER_EFFECT = "doubt"
    """The call fails although it had its full effect."""


ENDS = (CallFault.POWER_LOSS, CallFault.KILL, CallFault.HANG)
REFUSALS = (CallFault.REFUSED, CallFault.DISK_FULL, CallFault.REFUSED_AFTER_EFFECT)
LASTING_REFUSALS = (CallFault.DISK_FULL, CallFault.DISK_FULL, CallFault.REFUSED)

FaultPlan: TypeAlias = dict[int, CallFault]
"""Faults by the number of the call within one process, counted from 1."""


def draw_fault_plan(random: random.Random) -> FaultPlan:
    """Return a plan: single refusals, possibly a disk that stays full for a while, and the process's end."""
    last = random.randrange(1, MAX_PLANNED_CALL)
    plan: FaultPlan = {}
    for _ in range(random.choice((0, 0, 1, 1, 2, 4))):
        plan[random.randrange(1, MAX_PLANNED_CALL)] = random.choice(REFUSALS)
    if random.random() < MANY_FAULTS_PROBABILITY:  # fails after its effect; its file can't be removed
        first = random.randrange(1, MAX_PLANNED_CALL)
        plan[first] = CallFault.REFUSED_AFTER_EFFECT
        plan[first + 1] = plan[first + 2] = CallFault.REFUSED
    if random.random() < MANY_FAULTS_PROBABILITY:
        first = random.randrange(1, MAX_PLANNED_CALL)
        for call in range(first, first + LASTING_FAULT_CALLS):
            plan[call] = random.choice(LASTING_REFUSALS)
    plan[last] = random.choice(ENDS)
    return plan
