"""Statistical tests of a new version against the established versions, for each route.

Each test is one-sided, of the null hypothesis that the new version's share of failures (or of slow answers)
exceeds that of the established versions by no more than a margin. It is a two-proportion z-test with unpooled
variance, or the exact binomial tail if few failures are expected (release_analysis/multiple_testing.py).

Many routes are tested at once, so the p-values are corrected by the procedure of Benjamini and Hochberg,
"Controlling the False Discovery Rate: a Practical and Powerful Approach to Multiple Testing", Journal of the
Royal Statistical Society B 57 (1995), 289-300, procedure (1): sorted as p(1) <= ... <= p(m), the first k are
rejected, k being the largest i with p(i) <= i / m * q. The expected share of false rejections among all
rejections is then at most the level q, for independent tests.
"""

from __future__ import annotations

from dataclasses import dataclass

from honeywood.release_analysis.multiple_testing import (
    FAILURE_MARGIN,
    MIN_OUTCOMES,
    benjamini_hochberg,
    inferiority_p_value,
)
from honeywood.release_analysis.outcome_statistics import OutcomeStatistics, column_sums

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Iterable

    from honeywood.gateway.rollout.report import OutcomeCounts

SLOW_SHARE_MARGIN = 0.10  # by which the share of slow answers may exceed that of the established versions
MIN_NEW_OUTCOMES = 5  # required of the new version on a route before the route is tested
MIN_ESTABLISHED_OUTCOMES = MIN_OUTCOMES  # required of the established versions on a route


@dataclass(frozen=True, slots=True, order=True)
class TestResult:
    """The p-value of one test on one route; results are ordered by it."""

    p_value: float
    kind: str  # "failures" or "slow answers"
    route: str


@dataclass(frozen=True, slots=True)
class PooledCounts:
    """OutcomeStatistics by route, over all proxies, of the new version and of all other versions together."""

    new: dict[str, OutcomeStatistics]
    established: dict[str, OutcomeStatistics]


def pool(outcome_counts: Iterable[OutcomeCounts], service: str, version: str) -> PooledCounts:
    """Return the counts of a service, summed over proxies; `version` is the new version."""
    pooled = PooledCounts({}, {})
    for reported in outcome_counts:
        if reported.service != service:
            continue
        by_route = pooled.new if reported.version == version else pooled.established
        counts = by_route.setdefault(reported.route, OutcomeStatistics())
        counts.add(reported.ended, reported.failed, 0, 0)
        counts.bins = column_sums((counts.bins, reported.latency_bins))
    return pooled


def count_ended(outcome_counts: Iterable[OutcomeCounts], service: str, version: str) -> float:
    """Return how many attempts at a version have ended."""
    return sum(
        reported.ended
        for reported in outcome_counts
        if reported.service == service and reported.version == version
    )


def compare(pooled: PooledCounts) -> list[TestResult]:
    """Return a test of failures and a test of slow answers for each route that has enough outcomes."""
    results = []
    for route, new in pooled.new.items():
        established = pooled.established.get(route)
        if established is None or established.ended < MIN_ESTABLISHED_OUTCOMES:
            continue
        if new.ended < MIN_NEW_OUTCOMES:
            continue
        results.append(TestResult(_failure_p_value(new, established), "failures", route))
        results.append(TestResult(_slowness_p_value(new, established), "slow answers", route))
    return results


def _failure_p_value(new: OutcomeStatistics, established: OutcomeStatistics) -> float:
    return inferiority_p_value(new.failed, new.ended, established.failed, established.ended, FAILURE_MARGIN)


def _slowness_p_value(new: OutcomeStatistics, established: OutcomeStatistics) -> float:
    """Test slow answers: those in the latency bins that few answers of the established versions reach."""
    first_slow_bin, slow_share = established.slow_threshold()
    slow, timed = sum(new.bins[first_slow_bin:]), sum(new.bins)
    established_timed = sum(established.bins)
    return inferiority_p_value(
        slow, timed, slow_share * established_timed, established_timed, SLOW_SHARE_MARGIN
    )


def rejections(results: list[TestResult], level: float) -> list[TestResult]:
    """Return the results that the procedure rejects at the false discovery rate `level`."""
    rejected = benjamini_hochberg([result.p_value for result in results], level)
    return [results[index] for index in rejected]
