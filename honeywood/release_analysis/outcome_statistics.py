"""Outcome counts of recent attempts with a histogram of their latencies: the samples of release tests."""

from __future__ import annotations

from typing import NamedTuple

from honeywood.release_analysis.multiple_testing import MIN_OUTCOMES

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

SLOW_SHARE = 0.25  # of the earlier release's answers: at most this share, the slowest ones, counts as slow
# Upper bounds of the histogram's bins, as fractions of a method's latency target (in the gateway: of a
# route's timeout). One more bin counts higher latencies.
LATENCY_BIN_EDGES = [sixteenths / 16 for sixteenths in (1, 2, 3, 4, 6, 8, 12, 16)]


class SlowThreshold(NamedTuple):
    """The first latency bin that counts as slow, and the share of answers in it and the bins above."""

    first_bin: int
    share: float


def slow_threshold(bins: Sequence[float]) -> SlowThreshold:
    """The first latency bin that counts as slow, and the share of answers in it and the bins above.

    It is the lowest bin for which that share is at most SLOW_SHARE, or else the last bin. Shares are smoothed
    by one additional answer on each side, so that none is 0 or 1.
    """
    timed = sum(bins)
    shares = [(sum(bins[index:]) + 1) / (timed + 2) for index in range(len(bins))]
    slow_bins = (index for index, share in enumerate(shares) if share <= SLOW_SHARE)
    first_slow_bin = next(slow_bins, len(LATENCY_BIN_EDGES))
    return SlowThreshold(first_slow_bin, shares[first_slow_bin])


def column_sums(rows: Iterable[Iterable[float]]) -> list[float]:
    """The sum of each column; an empty list if there are no rows."""
    return [sum(column) for column in zip(*rows)]


class OutcomeStatistics:
    """Counts of failures and outcomes of attempts, and a histogram of their latencies.

    The counts become fractions as they decay. `total` counts all attempts ever added and doesn't decay.
    """

    __slots__ = ("failed", "ended", "bins", "total")

    failed: float
    ended: float
    bins: list[float]
    total: float

    def __init__(self, parts: Sequence[OutcomeStatistics] = ()) -> None:
        """Create the sum of `parts`, or empty statistics."""
        self.failed, self.ended = sum(part.failed for part in parts), sum(part.ended for part in parts)
        self.total = sum(part.total for part in parts)
        self.bins = column_sums(part.bins for part in parts) or [0.0] * (len(LATENCY_BIN_EDGES) + 1)

    def add(self, ended: float, failed: float, timed: float, latency_bin: int) -> None:
        """Add `ended` attempts; `failed` of them failed, and `timed` have a latency in bin `latency_bin`."""
        self.total += ended
        self.ended += ended
        self.failed += failed
        self.bins[latency_bin] += timed

    def halve(self) -> None:
        """Halve all counts except `total`, if there are at least MIN_OUTCOMES outcomes.

        With fewer, too few would be left for a comparison. Counts of rarely called methods therefore cover a
        longer time.
        """
        if self.ended >= MIN_OUTCOMES:
            self.failed, self.ended = self.failed / 2, self.ended / 2
            self.bins = [count / 2 for count in self.bins]

    def slow_threshold(self) -> SlowThreshold:
        """The first bin that counts as slow, and the share of answers from it on; see `slow_threshold`."""
        return slow_threshold(self.bins)
