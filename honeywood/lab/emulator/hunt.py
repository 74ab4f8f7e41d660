"""Many days on many cores, and a day that fails made as small as it still fails by."""

import os
from collections import Counter
from dataclasses import asdict, replace
from multiprocessing import get_context
from time import monotonic

from honeywood.lab.emulator import day as days
from honeywood.lab.emulator.faults import Fault


def played(day):
    """A day's Told; what the world itself raises counts as broken, since no day may."""
    import warnings

    warnings.simplefilter("ignore")
    try:
        return days.play(day)
    except Exception as wrong:
        return days.Told(broken=[("world", 0.0, repr(wrong))])


def _one(given):
    seed, shape = given
    day = days.draw(seed, **shape)
    return seed, day, played(day)


def hunt(first, count, jobs=None, shape=None, progress=lambda done, broken: None):
    """Plays days of seeds from `first` on: ({seed: (day, broken)}, sums)."""
    found, sums, began = {}, Counter(), monotonic()
    with get_context("spawn").Pool(jobs or os.cpu_count(), maxtasksperchild=500) as pool:
        seeds = [(seed, shape or {}) for seed in range(first, first + count)]
        for seed, day, told in pool.imap_unordered(_one, seeds, chunksize=4):
            sums["days"] += 1
            sums["owed"] += told.owed
            sums["worth"] += told.worth
            sums["faults"] += len(day.troubles)
            sums["tries"] += told.calls
            if told.broken:
                found[seed] = day, told.broken
            progress(sums["days"], len(found))
    sums["took"] = monotonic() - began
    return found, sums


def shrink(day, rule, play=played):
    """The smallest set of a day's faults by which `rule` still breaks: halves, quarters, ... and single ones
    are left out in turn."""
    troubles, step = list(day.troubles), max(1, len(day.troubles) // 2)
    while True:
        at = 0
        while at < len(troubles):
            fewer = troubles[:at] + troubles[at + step :]
            if any(broken[0] == rule for broken in play(replace(day, troubles=tuple(fewer))).broken):
                troubles = fewer
            else:
                at += step
        if step == 1:
            return replace(day, troubles=tuple(troubles))
        step //= 2


def written(day):
    """A day as plain values, for a file."""
    return asdict(day)


def read(plain):
    """A day out of plain values."""
    return days.Day(**{**plain, "troubles": tuple(Fault(**fault) for fault in plain["troubles"])})
