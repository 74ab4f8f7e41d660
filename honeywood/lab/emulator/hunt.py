"""Plays many days on several cores, and minimizes the faults of days on which rules are violated."""

from __future__ import annotations

import os
import warnings
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field, replace
from functools import partial
from multiprocessing import get_context
from time import monotonic

from honeywood.lab.emulator import emulated_day
from honeywood.lab.emulator.day import Day, Outcome
from honeywood.lab.emulator.faults.draw import draw_day
from honeywood.lab.emulator.faults.fault import FaultKind
from honeywood.lab.emulator.rules.rule import Rule, Violation

DAYS_PER_PROCESS = 500
DAYS_PER_TASK = 4


def play(day: Day) -> Outcome:
    """Return a day's outcome; an exception raised by the emulator itself counts as a violation."""
    warnings.simplefilter("ignore")
    try:
        return emulated_day.play(day)
    except Exception as error:  # reported as a violation, whatever it is
        return Outcome(violations=[Violation(Rule.EMULATOR, 0.0, repr(error))])


def _draw_and_play(shape: Day, required: Sequence[FaultKind]) -> tuple[Day, Outcome]:
    day = draw_day(shape, required)
    return day, play(day)


@dataclass(frozen=True, slots=True)
class Failure:
    """A day on which rules were violated."""

    day: Day
    violations: list[Violation]


@dataclass(slots=True)
class Totals:
    """Totals over the days of a hunt; `duration_s` is the real time that it took."""

    days: int = 0
    faults: int = 0
    requests: int = 0
    worth: float = 0.0
    duration_s: float = 0.0

    def add(self, day: Day, outcome: Outcome) -> None:
        """Add a day."""
        self.days += 1
        self.faults += len(day.faults)
        self.requests += outcome.requests
        self.worth += outcome.worth


@dataclass(slots=True)
class HuntResult:
    """The failed days by seed, and the totals over all days."""

    failures: dict[int, Failure] = field(default_factory=dict)
    totals: Totals = field(default_factory=Totals)


def hunt(
    shape: Day,
    first_seed: int,
    count: int,
    jobs: int | None = None,
    on_progress: Callable[[int, int], object] = lambda done, failed: None,
    required: Sequence[FaultKind] = (),
) -> HuntResult:
    """Play `count` days with consecutive seeds from `first_seed`; the other parameters are those of `shape`.

    Each day has a fault of each kind in `required`, besides those that its seed determines.

    `on_progress` is called with the number of days that were played and the number of days that failed. By
    default `jobs` is the number of cores.
    """
    result, began_at = HuntResult(), monotonic()
    draw_and_play = partial(_draw_and_play, required=required)
    days = [replace(shape, seed=seed) for seed in range(first_seed, first_seed + count)]
    with get_context("spawn").Pool(jobs or os.cpu_count(), maxtasksperchild=DAYS_PER_PROCESS) as pool:
        for day, outcome in pool.imap_unordered(draw_and_play, days, chunksize=DAYS_PER_TASK):
            result.totals.add(day, outcome)
            if outcome.violations:
                result.failures[day.seed] = Failure(day, outcome.violations)
            on_progress(result.totals.days, len(result.failures))
    result.totals.duration_s = monotonic() - began_at
    return result


def minimize(day: Day, rule: Rule, play: Callable[[Day], Outcome] = play) -> Day:
    """Return the day with fewer faults, but with `rule` still violated.

    The search tries to leave out halves of the faults, then quarters, and so on down to single faults.
    """
    faults = list(day.faults)
    step = max(1, len(faults) // 2)
    while True:
        start = 0
        while start < len(faults):
            fewer = faults[:start] + faults[start + step :]
            if play(replace(day, faults=tuple(fewer))).violates(rule):
                faults = fewer
            else:
                start += step
        if step == 1:
            return replace(day, faults=tuple(faults))
        step //= 2
