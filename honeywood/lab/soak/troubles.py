"""Which troubles come when, drawn by a seed. Pure."""

import random
from dataclasses import dataclass
from enum import StrEnum

FIRST_AT_S = 0.5  # seconds of traffic before the first trouble
AT_ONCE = 2.5  # troubles that last at one moment, on average
LASTS_S = (0.4, 2.0)  # seconds, the shortest and the longest


class TroubleKind(StrEnum):
    """What goes wrong."""

    KILL = "kill"  # a process ends at once and starts again after the trouble
    STOP = "stop"  # a process is told to end, and starts again once it has
    PAUSE = "pause"  # a process stands still
    CUT = "cut"  # a process is cut off from some others of the system
    CUT_FROM_MACHINES = "cut from machines"  # a proxy's new connections to some machines don't come up
    LOST_ANSWERS = "lost answers"  # machines run requests and close the connection
    STRAY_ANSWERS = "stray answers"  # machines answer for another request first
    SLOW_MACHINES = "slow machines"
    LEAVING_CLIENTS = "leaving clients"
    CONFIGURE = "configure"  # operators change the configuration: keys come, go and move


@dataclass(frozen=True, slots=True)
class Trouble:
    """One trouble: seconds of traffic when it begins, for how long it lasts, and `target`, 0 to 1, whom."""

    kind: TroubleKind
    at_s: float
    for_s: float
    target: float


def draw(seed: int, seconds: float) -> tuple[Trouble, ...]:
    """The troubles of a run, in the order of their beginnings."""
    chance, found = random.Random(seed), []
    mean_s = sum(LASTS_S) / 2
    for _ in range(max(2, round(AT_ONCE * seconds / mean_s))):
        kind = chance.choice(list(TroubleKind))
        at_s = chance.uniform(FIRST_AT_S, max(FIRST_AT_S, seconds - 1.0))
        found.append(Trouble(kind, round(at_s, 3), round(chance.uniform(*LASTS_S), 3), chance.random()))
    return tuple(sorted(found, key=lambda trouble: trouble.at_s))
