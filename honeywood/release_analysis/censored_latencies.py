"""Estimates latencies when some attempts were observed only for a time and had no answer until then.

Such an attempt is censored: its latency is at least the time for which it was waited for. If it were left
out, only quick answers would remain of a release whose slow attempts are abandoned.

The estimate is that of Kaplan and Meier, "Nonparametric estimation from incomplete observations", Journal of
the American Statistical Association 53 (1958), 457-481, in the form of Efron, "The two sample problem with
censored data", Proceedings of the Fifth Berkeley Symposium (1967), vol. 4, 831-853, section 7: each censored
attempt is redistributed equally to all attempts that were observed for longer. Within a bin it is the
actuarial estimate of Kaplan and Meier's section 3: half of the bin's censored attempts are redistributed
before its answers and half after them, since they were observed for half of the bin on average.

It assumes that the time for which an attempt is waited for doesn't depend on how long the attempt would still
have taken.
"""

from __future__ import annotations

from dataclasses import dataclass
from math import inf

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Sequence

# A bin is too uncertain to compare if an attempt that was observed until then stands for more attempts.
MAX_WEIGHT = 2.0
# Share of a sample that may be unknown beyond the longest observation. It is half of the margin by which a
# release may have more slow answers, so counting it as slow can't reject a good one.
MAX_UNKNOWN_SHARE = 0.05


@dataclass(frozen=True, slots=True)
class LatencyEstimate:
    """Estimated latencies of a sample of attempts, by latency bin.

    Attributes:
        total: The number of attempts in the sample, with or without an answer.
        bins: The estimated number of attempts in each bin. The last one also has the attempts of which
            nothing is known beyond the longest observation.
        weights: By bin, how many attempts of the sample are represented by one that was observed at least
            until that bin; infinite if nothing is known of more than MAX_UNKNOWN_SHARE of the sample in
            that bin and above.
    """

    total: float
    bins: list[float]
    weights: list[float]

    def share_from(self, first_bin: int) -> float:
        """Return the estimated share of attempts in the bin and those above."""
        return min(1.0, sum(self.bins[first_bin:]) / self.total)

    def sample_size(self, first_bin: int) -> float:
        """Return the size of a sample without censoring whose share from that bin on would be as certain."""
        return self.total / self.weights[first_bin]

    def count_from(self, first_bin: int) -> float:
        """Return how many attempts of a sample of `sample_size` are in the bin and those above."""
        return sum(self.bins[first_bin:]) / self.weights[first_bin]

    def highest_known_bin(self, limit: int) -> int:
        """Return the highest bin up to `limit` from which on the share is known well enough to compare it."""
        known = (index for index in range(limit, 0, -1) if self.weights[index] <= MAX_WEIGHT)
        return next(known, 0)


def estimate_latencies(answered: Sequence[float], unanswered: Sequence[float]) -> LatencyEstimate:
    """Return the estimate of a sample.

    `answered` has the number of attempts by the bin of their latency, `unanswered` the number of those
    without an answer by the bin of the time for which they were observed; an empty sequence means that there
    are none. Without unanswered attempts the estimated bins are those of the answered ones.
    """
    censored = [*unanswered] or [0.0] * len(answered)
    total = sum(answered) + sum(censored)
    bins: list[float] = []
    weights: list[float] = []
    observed, weight, unknown = total, 1.0, 0.0
    for ended, waiting in zip(answered, censored):
        weights.append(weight if unknown <= MAX_UNKNOWN_SHARE * total else inf)
        if observed > 0:
            weight *= observed / (observed - waiting / 2)
        bins.append(weight * ended)
        observed -= ended + waiting
        if observed > 0:
            weight *= 1 + waiting / 2 / observed
        else:
            unknown += weight * waiting / 2
    bins[-1] += unknown
    return LatencyEstimate(total, bins, weights)
