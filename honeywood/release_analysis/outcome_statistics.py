"""How requests ended of late: what the tests run on."""

from honeywood.release_analysis.multiple_testing import LEAST

SLOW_SHARE = 0.25  # the earlier build's share that counts as slow
EDGES = [n / 16 for n in (1, 2, 3, 4, 6, 8, 12, 16)]  # bins of answer times, in soft deadlines


def summed(rows):
    return [sum(column) for column in zip(*rows)]


class Counts:
    """How RPCs ended of late: failures, and answer times in bins."""

    __slots__ = ("failed", "ended", "bins", "total")

    def __init__(self, parts=()):
        self.failed, self.ended = sum(c.failed for c in parts), sum(c.ended for c in parts)
        self.total = sum(c.total for c in parts)
        self.bins = summed(c.bins for c in parts) or [0.0] * (len(EDGES) + 1)

    def add(self, ended, failed, timed, bin):
        self.total, self.ended, self.failed = self.total + ended, self.ended + ended, self.failed + failed
        self.bins[bin] += timed

    def halve(self):  # but not below what can be compared with: small fronts remember for longer
        if self.ended >= LEAST:
            self.failed, self.ended, self.bins = self.failed / 2, self.ended / 2, [n / 2 for n in self.bins]

    def slow_from(self):
        """The bin from which answers count as slow beside these (SLOW_SHARE at most do), and their share."""
        shares = [(sum(self.bins[at:]) + 1) / (sum(self.bins) + 2) for at in range(len(self.bins))]
        edge = next((at for at, share in enumerate(shares) if share <= SLOW_SHARE), len(EDGES))
        return edge, shares[edge]
