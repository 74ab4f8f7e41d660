"""Estimates the clock skew between two balancers from events that both received.

Release updates, changes of the server list and platform counts reach all balancers of a platform at nearly
the same time. Where they do not determine the skew the result is None, never a guess.
"""

from bisect import bisect_left
from collections import defaultdict
from itertools import product
from statistics import median

from honeywood.trace.schema import INCORRECT_ANSWER, KINDS, PLATFORM_COUNTS, RELEASE_UPDATE, SERVER_LIST

MAX_DRIFT = 500e-6  # of a working clock: 200 ppm is a poor crystal
DELIVERY_SPREAD = 1000  # tenths of a ms within which an event reaches two balancers
MAX_PAIRS = 40_000  # of events with equal keys
MAX_EVENTS = 20_000  # kept per source
SLOPE_PAIRS = 400  # pairs between which slopes are computed
MIN_PAIRS = 3  # pairs that must agree before a drift is reported; two may agree by chance
MIN_AGREEMENT = 0.5  # share of the shared events that must agree with the estimate
RESOLUTION = 10  # tenths of a ms; no estimate is more precise
STANDARD_ERRORS = 2.0  # standard errors in a reported uncertainty

# Fields by which an event at two balancers is recognized as the same one.
SHARED_FIELDS = {
    RELEASE_UPDATE.number: ("build", "step", "cap", "standing"),
    SERVER_LIST.number: ("revision", "whole", "servers"),
    PLATFORM_COUNTS.number: ("build", "method", "failed", "ended", "mean"),
    INCORRECT_ANSWER.number: ("server", "method"),
}


def event_key(record):
    """Return the key of an event that other balancers receive too; None for other records."""
    if record.kind not in SHARED_FIELDS:
        return None
    kind = KINDS[record.kind]
    if kind is RELEASE_UPDATE and kind.value(record.values, "reply"):
        return None  # an answer to this balancer's own vote
    if kind is SERVER_LIST and not kind.value(record.values, "revision"):
        return None
    return (record.kind, *(kind.value(record.values, name) for name in SHARED_FIELDS[record.kind]))


class Events:
    """The times of a source's first MAX_EVENTS events, by key; `count` is the number of events."""

    def __init__(self):
        self.times, self.count = defaultdict(list), 0

    def add(self, record):
        key = event_key(record)
        if key is not None and self.count < MAX_EVENTS:
            self.count += 1
            self.times[key].append(record.time)


class Skew:
    """A correction of a clock's times: adds offset + rate * (time - reference_time), in tenths of a ms.

    `uncertainty` bounds its error within the time in which both sources received events. It rests on `pairs`
    of the `shared` events that both received.
    """

    def __init__(self, offset=0.0, rate=0.0, reference_time=0, uncertainty=0.0, pairs=0, shared=0):
        self.offset, self.rate, self.reference_time, self.uncertainty = (
            offset,
            rate,
            reference_time,
            uncertainty,
        )
        self.pairs, self.shared = pairs, shared

    def corrected(self, time):
        """Convert a time to the reference clock. Times keep their order, since the rate is far below 1."""
        return round(time + self.offset + self.rate * (time - self.reference_time))

    def plain(self):
        return {
            "offset": self.offset,
            "rate": self.rate,
            "at": self.reference_time,
            "unsure": self.uncertainty,
            "pairs": self.pairs,
        }


def densest_window(differences, width):
    """Return the (first, last) index of the window of this width with most of the sorted differences."""
    best, first = (0, -1), 0
    for last, value in enumerate(differences):
        while value - differences[first] > width:
            first += 1
        if last - first > best[1] - best[0]:
            best = first, last
    return best


def candidates(reference, other):
    """Pair events with equal keys in all ways; keys that repeat are used only where the others are too few.

    Returns:
        ([(time on the other's clock, difference)], the maximum number of events that they can stand for).
    """
    keys = sorted(
        (len(reference.times[key]) * len(other.times[key]), key)
        for key in reference.times.keys() & other.times.keys()
    )
    pairs, shared = [], 0
    for combinations, key in keys:
        if combinations > 1 and (shared >= MIN_PAIRS or len(pairs) + combinations > MAX_PAIRS):
            break
        reference_times, other_times = reference.times[key], other.times[key]
        pairs += [(b, a - b) for a, b in product(reference_times, other_times)]
        shared += min(len(reference_times), len(other_times))
    return pairs, shared


def estimate(reference, other):
    """Return the Skew of `other` against `reference` (Events), None where it can't be determined."""
    pairs, shared = candidates(reference, other)
    if not pairs:
        return None
    length = max(b for b, _ in pairs) - min(b for b, _ in pairs)
    differences = sorted(d for _, d in pairs)
    first, last = densest_window(differences, DELIVERY_SPREAD + MAX_DRIFT * length)
    low, high = differences[first], differences[last]
    skew = fit(sorted((b, d) for b, d in pairs if low <= d <= high), shared)
    if skew.pairs < max(min(MIN_PAIRS, shared), MIN_AGREEMENT * shared):
        return None
    return fit(sorted(nearest(reference, other, skew)), shared)


def nearest(reference, other, rough_skew):
    """Yield (time, difference) for each of the other's events and the nearest one by a rough estimate."""
    for key, other_times in other.times.items():
        reference_times = reference.times.get(key, ())
        for other_time in other_times:
            index = bisect_left(reference_times, rough_skew.corrected(other_time))
            nearest_time = min(
                reference_times[max(0, index - 1) : index + 1],
                key=lambda time, other_time=other_time: abs(time - rough_skew.corrected(other_time)),
                default=None,
            )
            if (
                nearest_time is not None
                and abs(nearest_time - rough_skew.corrected(other_time)) <= DELIVERY_SPREAD
            ):
                yield other_time, nearest_time - other_time


def fit(pairs, shared):
    """Return the Skew on which most of these pairs agree."""
    reference_time = pairs[len(pairs) // 2][0]
    measured_rate = slope(pairs)
    rate = measured_rate or 0.0
    residuals = [d - rate * (b - reference_time) for b, d in pairs]
    middle = median(residuals)
    deviation = median(abs(r - middle) for r in residuals)
    kept = [
        (b, r) for (b, _), r in zip(pairs, residuals) if abs(r - middle) <= max(6 * deviation, RESOLUTION)
    ]
    offset = sum(r for _, r in kept) / len(kept)
    return Skew(
        offset,
        rate,
        reference_time,
        uncertainty(kept, offset, reference_time, measured_rate),
        len(kept),
        shared,
    )


def slope(pairs):
    """Return the Theil-Sen estimate: the median slope between pairs far enough apart.

    Returns None where no drift can be measured.
    """
    chosen = pairs[:: max(1, len(pairs) // SLOPE_PAIRS)]
    half = (chosen[-1][0] - chosen[0][0]) / 3
    slopes = [
        (d1 - d0) / (b1 - b0)
        for index, (b0, d0) in enumerate(chosen)
        for b1, d1 in chosen[index + 1 :]
        if b1 - b0 > max(half, 1)
    ]
    if len(chosen) < MIN_PAIRS or not slopes:
        return None
    rate = median(slopes)
    return rate if abs(rate) <= MAX_DRIFT else None


def uncertainty(kept, offset, reference_time, measured_rate):
    """Return the possible error of an estimate within the time in which both sources received events.

    It comes from the spread of the pairs and, where no drift could be measured, from the maximum drift of a
    clock in that time.
    """
    count = len(kept)
    spread = (
        (sum((r - offset) ** 2 for _, r in kept) / max(1, count - 1)) ** 0.5 if count > 1 else DELIVERY_SPREAD
    )
    error = STANDARD_ERRORS * max(spread, RESOLUTION / 2) / count**0.5
    if measured_rate is None:
        return error + MAX_DRIFT * max(abs(b - reference_time) for b, _ in kept)
    time_norm = sum((b - reference_time) ** 2 for b, _ in kept) ** 0.5
    return error + STANDARD_ERRORS * spread * max(abs(b - reference_time) for b, _ in kept) / max(
        1.0, time_norm
    )
