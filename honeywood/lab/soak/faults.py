"""Draws the faults of a soak test and their times from a seed. Pure."""

from __future__ import annotations

import random
from collections.abc import Sequence
from dataclasses import dataclass
from enum import StrEnum

FIRST_FAULT_S = 0.5
"""Seconds of traffic before the first fault."""

QUIET_END_S = 1.0
"""Seconds at the end of the traffic in which no fault begins."""

MEAN_CONCURRENT_FAULTS = 2.5
MIN_DURATION_S, MAX_DURATION_S = 0.4, 2.0


class FaultKind(StrEnum):
    """The kinds of faults; the values are shown to operators."""

    KILL = "kill"
    """A process is killed, and restarted after the fault's duration."""
    STOP = "stop"
    """A process is terminated gracefully, and restarted once it has ended."""
    PAUSE = "pause"
    """A process is suspended for the fault's duration."""
    PARTITION = "cut"
    """A process and some other processes of the system can't reach each other."""
    MACHINE_PARTITION = "cut from machines"
    """A proxy can't connect to some machines."""
    LOST_RESPONSES = "lost answers"
    """Machines execute requests, then close the connection without a response."""
    STRAY_RESPONSES = "stray answers"
    """Machines send a response for another request first."""
    SLOW_MACHINES = "slow machines"
    DISCONNECTING_CLIENTS = "leaving clients"
    CONFIGURATION_CHANGE = "configure"
    """Operators change the configuration: API keys come, go and move, and `idle_s` changes."""
    SIGNAL_SERIES = "signals"
    """A process receives several signals in a row: SIGHUP, SIGTERM, SIGSTOP, SIGCONT."""
    KILL_WHILE_STOPPING = "kill while stopping"
    """A process is terminated gracefully, and killed before it has ended."""
    FULL_MACHINES = "full machines"
    """Machines execute a single request at a time and reject those that don't fit into their queue."""
    REJECTING_MACHINES = "rejecting machines"
    """Machines reject requests without executing them."""
    REPEATED_RESPONSES = "repeated answers"
    """Machines reject requests, and send some responses twice."""
    CLOSING_MACHINES = "closing machines"
    """Machines close kept connections after their response."""
    RESETTING_MACHINES = "resetting machines"
    """Machines reset the connection before or after they execute a request."""
    PAUSED_MACHINES = "paused machines"
    """Machines neither read nor execute anything; what they have received is executed later."""
    RESTARTED_MACHINES = "restarted machines"
    """Machines of two services end, and are restarted at each other's address."""


ROLLOUT_KINDS = (
    FaultKind.KILL,
    FaultKind.STOP,
    FaultKind.STOP,
    FaultKind.SIGNAL_SERIES,
    FaultKind.DISCONNECTING_CLIENTS,
    FaultKind.CONFIGURATION_CHANGE,
    FaultKind.CLOSING_MACHINES,
)
"""The kinds in a soak with a rollout: those that don't make the earlier version's machines look faulty."""
MEAN_CONCURRENT_ROLLOUT_FAULTS = 0.6


@dataclass(frozen=True, slots=True)
class Fault:
    """One fault, which begins after `at_s` seconds of traffic and lasts for `duration_s` seconds.

    `target`, in [0, 1), selects what the fault affects.
    """

    kind: FaultKind
    at_s: float
    duration_s: float
    target: float


def draw_faults(seed: int, traffic_s: float) -> tuple[Fault, ...]:
    """Return the faults of a run, in the order in which they begin."""
    return _draw(seed, traffic_s, tuple(FaultKind), MEAN_CONCURRENT_FAULTS)


def draw_rollout_faults(seed: int, traffic_s: float) -> tuple[Fault, ...]:
    """Return the faults of a run with a rollout, in the order in which they begin."""
    return _draw(seed, traffic_s, ROLLOUT_KINDS, MEAN_CONCURRENT_ROLLOUT_FAULTS)


def _draw(
    seed: int, traffic_s: float, kinds: Sequence[FaultKind], mean_concurrent: float
) -> tuple[Fault, ...]:
    rng = random.Random(seed)
    mean_duration_s = (MIN_DURATION_S + MAX_DURATION_S) / 2
    count = max(2, round(mean_concurrent * traffic_s / mean_duration_s))
    faults = [_draw_fault(rng, traffic_s, kinds) for _ in range(count)]
    return tuple(sorted(faults, key=lambda fault: fault.at_s))


def _draw_fault(random: random.Random, traffic_s: float, kinds: Sequence[FaultKind]) -> Fault:
    kind = random.choice(kinds)
    at_s = random.uniform(FIRST_FAULT_S, max(FIRST_FAULT_S, traffic_s - QUIET_END_S))
    duration_s = random.uniform(MIN_DURATION_S, MAX_DURATION_S)
    return Fault(kind, round(at_s, 3), round(duration_s, 3), random.random())
