"""How far two fronts' clocks differ, out of what both were told: news, list changes and tallies come to all
fronts of a platform at nearly the same moment. Where that can't be known it is said, never guessed.
"""

from bisect import bisect_left
from collections import defaultdict
from itertools import product
from statistics import median

from honeywood.trace.schema import KINDS, LIST, NEWS, TALLY, WRONG

MOST_DRIFT = 500e-6  # of a clock that works at all: 200 ppm is a poor crystal
TOLD_APART = 1000  # tenths of a ms within which one event reaches two fronts
MOST_PAIRS = 40_000  # of events that look alike
MOST_EVENTS = 20_000  # that are kept of a source
MANY = 400  # pairs between which slopes are taken
ENOUGH = 3  # pairs that must agree before a drift is told; two may by chance
AGREE = 0.5  # share of what both saw that must agree with the answer
FINEST = 10  # tenths of a ms: nothing is told more exactly
WIDE = 2.0  # uncertainties are given as so many standard errors

SHARED = {
    NEWS.number: ("build", "step", "cap", "standing"),
    LIST.number: ("revision", "whole", "servers"),
    TALLY.number: ("build", "method", "failed", "ended", "mean"),
    WRONG.number: ("server", "method"),
}


def key_of(record):
    """What makes the event one that another front was told too; None for all others."""
    if record.kind not in SHARED:
        return None
    kind = KINDS[record.kind]
    if kind is NEWS and kind.value(record.values, "reply"):
        return None  # an answer to this front's own vote
    if kind is LIST and not kind.value(record.values, "revision"):
        return None
    return (record.kind, *(kind.value(record.values, name) for name in SHARED[record.kind]))


class Events:
    """What one source saw, by key: the first MOST_EVENTS, and in all `count`."""

    def __init__(self):
        self.times, self.count = defaultdict(list), 0

    def add(self, record):
        key = key_of(record)
        if key is not None and self.count < MOST_EVENTS:
            self.count += 1
            self.times[key].append(record.time)


class Skew:
    """To be added to a clock's times: offset + rate * (time - at), in tenths of a ms; `unsure` is how far
    that may be off, over the time in which both saw events; `pairs` they rest on, `of` those that both
    saw."""

    def __init__(self, offset=0.0, rate=0.0, at=0, unsure=0.0, pairs=0, of=0):
        self.offset, self.rate, self.at, self.unsure = offset, rate, at, unsure
        self.pairs, self.of = pairs, of

    def mended(self, time):
        """A time of this clock on the other's. Times keep their order: rate is small against 1."""
        return round(time + self.offset + self.rate * (time - self.at))

    def plain(self):
        return {
            "offset": self.offset,
            "rate": self.rate,
            "at": self.at,
            "unsure": self.unsure,
            "pairs": self.pairs,
        }


def densest(differences, width):
    """The (first, last) place, in sorted differences, of the window of that width that holds most of them."""
    best, first = (0, -1), 0
    for last, value in enumerate(differences):
        while value - differences[first] > width:
            first += 1
        if last - first > best[1] - best[0]:
            best = first, last
    return best


def candidates(reference, other):
    """([(time on the other's clock, difference)], how many events they can be at the most): all ways to pair
    events that look alike, those that occur once first, and others only as far as those are too few."""
    keys = sorted(
        (len(reference.times[key]) * len(other.times[key]), key)
        for key in reference.times.keys() & other.times.keys()
    )
    pairs, shared = [], 0
    for product_, key in keys:
        if product_ > 1 and (shared >= ENOUGH or len(pairs) + product_ > MOST_PAIRS):
            break
        ours, theirs = reference.times[key], other.times[key]
        pairs += [(b, a - b) for a, b in product(ours, theirs)]
        shared += min(len(ours), len(theirs))
    return pairs, shared


def estimate(reference, other):
    """Skew of `other` against `reference` (Events), or None where it can't be known."""
    pairs, shared = candidates(reference, other)
    if not pairs:
        return None
    length = max(b for b, _ in pairs) - min(b for b, _ in pairs)
    differences = sorted(d for _, d in pairs)
    first, last = densest(differences, TOLD_APART + MOST_DRIFT * length)
    low, high = differences[first], differences[last]
    found = fitted(sorted((b, d) for b, d in pairs if low <= d <= high), shared)
    if found.pairs < max(min(ENOUGH, shared), AGREE * shared):
        return None
    return fitted(sorted(nearest(reference, other, found)), shared)


def nearest(reference, other, rough):
    """Pairs of all events, each of the other's with the one that a rough answer puts it next to."""
    for key, theirs in other.times.items():
        ours = reference.times.get(key, ())
        for b in theirs:
            at = bisect_left(ours, rough.mended(b))
            near = min(
                ours[max(0, at - 1) : at + 1], key=lambda a, b=b: abs(a - rough.mended(b)), default=None
            )
            if near is not None and abs(near - rough.mended(b)) <= TOLD_APART:
                yield b, near - b


def fitted(near, shared):
    """The Skew that most of these pairs agree on."""
    at = near[len(near) // 2][0]
    seen = slope(near)
    rate = seen or 0.0
    rest = [d - rate * (b - at) for b, d in near]
    middle = median(rest)
    spread = median(abs(r - middle) for r in rest)
    kept = [(b, r) for (b, _), r in zip(near, rest) if abs(r - middle) <= max(6 * spread, FINEST)]
    offset = sum(r for _, r in kept) / len(kept)
    return Skew(offset, rate, at, unsure(kept, offset, at, seen), len(kept), shared)


def slope(pairs):
    """Theil and Sen's: the median of slopes between pairs far enough apart; None where no drift can be
    seen."""
    chosen = pairs[:: max(1, len(pairs) // MANY)]
    half = (chosen[-1][0] - chosen[0][0]) / 3
    slopes = [
        (d1 - d0) / (b1 - b0)
        for at, (b0, d0) in enumerate(chosen)
        for b1, d1 in chosen[at + 1 :]
        if b1 - b0 > max(half, 1)
    ]
    if len(chosen) < ENOUGH or not slopes:
        return None
    found = median(slopes)
    return found if abs(found) <= MOST_DRIFT else None


def unsure(kept, offset, at, seen):
    """How far the answer may be off within the time in which both saw events: the spread of what it rests on,
    or, where no drift could be seen, the most that a clock may drift meanwhile."""
    count = len(kept)
    spread = (sum((r - offset) ** 2 for _, r in kept) / max(1, count - 1)) ** 0.5 if count > 1 else TOLD_APART
    error = WIDE * max(spread, FINEST / 2) / count**0.5
    if seen is None:
        return error + MOST_DRIFT * max(abs(b - at) for b, _ in kept)
    square = sum((b - at) ** 2 for b, _ in kept) ** 0.5
    return error + WIDE * spread * max(abs(b - at) for b, _ in kept) / max(1.0, square)
