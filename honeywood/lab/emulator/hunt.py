"""Many days on many cores, and a day that fails made as small as it still fails by."""

import os
from dataclasses import asdict, dataclass, replace
from multiprocessing import get_context
from time import monotonic

from honeywood.lab.emulator import day as days
from honeywood.lab.emulator.faults import Fault
from honeywood.lab.emulator.rules import Breach


def played(day):
    """A day's Outcome; what the world itself raises counts as broken, since no day may."""
    import warnings

    warnings.simplefilter("ignore")
    try:
        return days.play(day)
    except Exception as wrong:
        return days.Outcome(breaches=[Breach("world", 0.0, repr(wrong))])


def _one(given):
    seed, shape = given
    day = days.draw(seed, **shape)
    return seed, day, played(day)


@dataclass(frozen=True, slots=True)
class Failure:
    """A day on which rules were broken."""

    day: days.Day
    breaches: list


@dataclass(slots=True)
class Totals:
    """Sums over the days of a hunt."""

    days: int = 0
    faults: int = 0
    owed: int = 0
    worth: float = 0.0
    took_s: float = 0.0

    def add(self, day, outcome):
        """One more day."""
        self.days += 1
        self.faults += len(day.faults)
        self.owed += outcome.owed
        self.worth += outcome.worth


def hunt(first, count, jobs=None, shape=None, progress=lambda done, broken: None):
    """Plays days of seeds from `first` on: ({seed: Failure}, Totals)."""
    found, totals, began = {}, Totals(), monotonic()
    with get_context("spawn").Pool(jobs or os.cpu_count(), maxtasksperchild=500) as pool:
        seeds = [(seed, shape or {}) for seed in range(first, first + count)]
        for seed, day, outcome in pool.imap_unordered(_one, seeds, chunksize=4):
            totals.add(day, outcome)
            if outcome.breaches:
                found[seed] = Failure(day, outcome.breaches)
            progress(totals.days, len(found))
    totals.took_s = monotonic() - began
    return found, totals


def shrink(day, rule, play=played):
    """The smallest set of a day's faults by which `rule` still breaks: halves, quarters, ... and single ones
    are left out in turn."""
    kept, step = list(day.faults), max(1, len(day.faults) // 2)
    while True:
        at = 0
        while at < len(kept):
            fewer = kept[:at] + kept[at + step :]
            if play(replace(day, faults=tuple(fewer))).broke(rule):
                kept = fewer
            else:
                at += step
        if step == 1:
            return replace(day, faults=tuple(kept))
        step //= 2


def written(day):
    """A day as plain values, for a file."""
    return asdict(day)


def read(plain):
    """A day out of plain values."""
    return days.Day(**{**plain, "faults": tuple(Fault(**fault) for fault in plain["faults"])})
