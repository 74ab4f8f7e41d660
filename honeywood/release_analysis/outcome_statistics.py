"""How attempts ended of late, with their latencies in a histogram: the sample that releases are tested on."""

from __future__ import annotations

from honeywood.release_analysis.multiple_testing import MIN_OUTCOMES

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

SLOW_SHARE = 0.25  # share of the earlier release's answers, the slowest, that counts as slow
# Upper bounds of the histogram's bins, as parts of a method's latency target; one more bin has what is above.
LATENCY_BIN_EDGES = [sixteenths / 16 for sixteenths in (1, 2, 3, 4, 6, 8, 12, 16)]


def column_sums(rows: Iterable[Iterable[float]]) -> list[float]:
    """The sum of each column; empty where there are no rows."""
    return [sum(column) for column in zip(*rows)]


class OutcomeStatistics:
    """Failures, outcomes and a latency histogram of attempts; counts are fractions once they have decayed.

    `total` counts all attempts ever added and does not decay.
    """

    __slots__ = ("failed", "ended", "bins", "total")

    failed: float
    ended: float
    bins: list[float]
    total: float

    def __init__(self, parts: Sequence[OutcomeStatistics] = ()) -> None:
        """The sum of `parts`."""
        self.failed, self.ended = sum(part.failed for part in parts), sum(part.ended for part in parts)
        self.total = sum(part.total for part in parts)
        self.bins = column_sums(part.bins for part in parts) or [0.0] * (len(LATENCY_BIN_EDGES) + 1)

    def add(self, ended: float, failed: float, timed: float, latency_bin: int) -> None:
        """Add attempts that `ended`, of which some `failed`; `timed` of them have a latency of that bin."""
        self.total += ended
        self.ended += ended
        self.failed += failed
        self.bins[latency_bin] += timed

    def halve(self) -> None:
        """Halve all counts, unless too few would be left to compare with: rare methods remember longer."""
        if self.ended >= MIN_OUTCOMES:
            self.failed, self.ended = self.failed / 2, self.ended / 2
            self.bins = [count / 2 for count in self.bins]

    def slow_threshold(self) -> tuple[int, float]:
        """The first bin that counts as slow, and the share of answers from it on, SLOW_SHARE at most.

        Shares are smoothed by one answer on each side, so that none is 0 or 1.
        """
        timed = sum(self.bins)
        shares = [(sum(self.bins[index:]) + 1) / (timed + 2) for index in range(len(self.bins))]
        slow = (index for index, share in enumerate(shares) if share <= SLOW_SHARE)
        edge = next(slow, len(LATENCY_BIN_EDGES))
        return edge, shares[edge]
