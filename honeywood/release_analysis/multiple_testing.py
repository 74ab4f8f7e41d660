"""Statistical tests of a release against the previous one, and the correction for multiple testing.

Benjamini and Hochberg, "Controlling the false discovery rate: a practical and powerful approach to multiple
testing", Journal of the Royal Statistical Society B 57 (1995), sections 3.1 and 3.2.
"""

from __future__ import annotations

from math import comb, erfc, sqrt

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Sequence

FALSE_DISCOVERY_RATE = 0.05  # level at which releases are tested (docs/design.md)
FAILURE_MARGIN = 0.02  # by which a release's share of failures may exceed that of the earlier release
MIN_OUTCOMES = 20  # required of a method before it is tested
MIN_EXPECTED_FAILURES = 5  # allowed failures below which the normal approximation is poor


def benjamini_hochberg(p_values: Sequence[float], level: float) -> list[int]:
    """The ascending indexes of the hypotheses that the paper's procedure (1) rejects.

    Of m p-values, the k smallest are rejected, where k is the largest number such that the k-th smallest
    p-value is at most k/m * level.
    """
    ascending = sorted(range(len(p_values)), key=lambda index: p_values[index])
    ranks = enumerate(ascending, 1)
    rejected = max(
        (rank for rank, index in ranks if p_values[index] <= rank / len(p_values) * level), default=0
    )
    return sorted(ascending[:rejected])


def inferiority_p_value(
    failures: float, outcomes: float, earlier_failures: float, earlier_outcomes: float, margin: float
) -> float:
    """The p-value of the hypothesis that the share of failures exceeds the earlier share by at most `margin`.

    It is a one-sided two-proportion z-test with unpooled variance. If fewer than MIN_EXPECTED_FAILURES
    failures are allowed, it is the exact upper tail of the binomial distribution at the allowed share. Counts
    may be fractions, because older outcomes have lower weights.
    """
    share, earlier_share = min(1.0, failures / outcomes), earlier_failures / earlier_outcomes
    if outcomes * (earlier_share + margin) < MIN_EXPECTED_FAILURES:
        return _binomial_upper_tail(round(failures), round(outcomes), min(1.0, earlier_share + margin))
    variance = share * (1 - share) / outcomes + earlier_share * (1 - earlier_share) / earlier_outcomes
    standard_error, excess = sqrt(variance), share - earlier_share - margin
    return 0.5 * erfc(excess / standard_error / sqrt(2)) if standard_error else float(excess <= 0)


def _binomial_upper_tail(successes: int, trials: int, share: float) -> float:
    """The probability of at least `successes` in `trials`, each with the success probability `share`."""
    terms = (
        comb(trials, count) * share**count * (1 - share) ** (trials - count)
        for count in range(successes, trials + 1)
    )
    return sum(terms)
