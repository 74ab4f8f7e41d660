"""Statistical tests of a new version against the established versions, for each route.

Slow answers are also tested among those attempts alone that were sent since the version last got all traffic.
Otherwise the outcomes of its trial would outweigh the first slow ones of a version that turns slow then.
Failures are not tested a second time: their margin is a fifth of that of slow answers, so a trial outweighs
them for a moment only, while the crash of one machine would revert a good version.

Attempts without an answer, abandoned or in flight, count for slow answers by the time for which they were
waited for (release_analysis/censored_latencies.py): otherwise a slow version would be compared by its quick
answers.

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

from dataclasses import dataclass, field

from honeywood.release_analysis.censored_latencies import LatencyEstimate, estimate_latencies
from honeywood.release_analysis.multiple_testing import (
    FAILURE_MARGIN,
    MIN_OUTCOMES,
    benjamini_hochberg,
    inferiority_p_value,
)
from honeywood.release_analysis.outcome_statistics import (
    LATENCY_BIN_EDGES,
    OutcomeStatistics,
    column_sums,
    slow_threshold,
)

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Iterable

    from honeywood.gateway.rollout.report import FullStageCounts, OutcomeCounts

SLOW_SHARE_MARGIN = 0.10  # by which the share of slow answers may exceed that of the established versions
MIN_NEW_OUTCOMES = 5  # or latencies; required of the new version on a route before a test
MIN_ESTABLISHED_OUTCOMES = MIN_OUTCOMES  # required of the established versions on a route
LATENCY_BINS = len(LATENCY_BIN_EDGES) + 1
# Kinds of tests, as in log events.
FAILURES, SLOW_ANSWERS = "failures", "slow answers"
SLOW_ANSWERS_IN_FULL_STAGE = "slow answers in the full stage"


@dataclass(frozen=True, slots=True, order=True)
class TestResult:
    """The p-value of one test on one route; results are ordered by it."""

    p_value: float
    kind: str  # FAILURES, SLOW_ANSWERS or SLOW_ANSWERS_IN_FULL_STAGE
    route: str


@dataclass(slots=True)
class VersionSample:
    """Outcomes of attempts that ended, and by bin the waiting times of those without an answer."""

    outcomes: OutcomeStatistics = field(default_factory=OutcomeStatistics)
    unanswered: list[float] = field(default_factory=list)

    def add(self, counts: OutcomeCounts) -> None:
        """Add the counts of one proxy."""
        self.outcomes.add(counts.ended, counts.failed, 0, 0)
        self.outcomes.bins = column_sums((self.outcomes.bins, counts.latency_bins))
        if counts.unanswered_bins:
            rows = (self.unanswered, counts.unanswered_bins) if self.unanswered else (counts.unanswered_bins,)
            self.unanswered = column_sums(rows)

    def latencies(self) -> LatencyEstimate:
        """Return the estimated latencies of all attempts."""
        return estimate_latencies(self.outcomes.bins, self.unanswered)


@dataclass(slots=True)
class FullStageSample:
    """Latency bins of the new version's attempts that were sent in the full stage."""

    answered: list[float] = field(default_factory=lambda: [0.0] * LATENCY_BINS)
    unanswered: list[float] = field(default_factory=lambda: [0.0] * LATENCY_BINS)

    def add(self, counts: FullStageCounts) -> None:
        """Add the counts of one proxy."""
        if counts.answered_bins:
            self.answered = column_sums((self.answered, counts.answered_bins))
        if counts.unanswered_bins:
            self.unanswered = column_sums((self.unanswered, counts.unanswered_bins))

    def latencies(self) -> LatencyEstimate:
        """Return the estimated latencies of all attempts."""
        return estimate_latencies(self.answered, self.unanswered)


@dataclass(frozen=True, slots=True)
class PooledCounts:
    """Samples by route, over all proxies, of the new version and of all other versions together."""

    new: dict[str, VersionSample] = field(default_factory=dict)
    established: dict[str, VersionSample] = field(default_factory=dict)
    full_stage: dict[str, FullStageSample] = field(default_factory=dict)  # a part of those of `new`


def pool(outcome_counts: Iterable[OutcomeCounts], service: str, version: str) -> PooledCounts:
    """Return the counts of a service, summed over proxies; `version` is the new version."""
    pooled = PooledCounts()
    for reported in outcome_counts:
        if reported.service != service:
            continue
        if reported.version != version:
            pooled.established.setdefault(reported.route, VersionSample()).add(reported)
            continue
        pooled.new.setdefault(reported.route, VersionSample()).add(reported)
        if reported.full_stage is not None:
            pooled.full_stage.setdefault(reported.route, FullStageSample()).add(reported.full_stage)
    return pooled


def count_ended(outcome_counts: Iterable[OutcomeCounts], service: str, version: str) -> float:
    """Return how many attempts at a version have ended."""
    return sum(
        reported.ended
        for reported in outcome_counts
        if reported.service == service and reported.version == version
    )


def compare(pooled: PooledCounts) -> list[TestResult]:
    """Return the tests of failures and of slow answers for each route that has enough outcomes."""
    results = []
    for route, new in pooled.new.items():
        established = pooled.established.get(route)
        if established is None or established.outcomes.ended < MIN_ESTABLISHED_OUTCOMES:
            continue
        if new.outcomes.ended >= MIN_NEW_OUTCOMES:
            p_value = _failure_p_value(new.outcomes, established.outcomes)
            results.append(TestResult(p_value, FAILURES, route))
        samples = [(SLOW_ANSWERS, new.latencies())]
        if route in pooled.full_stage:
            samples.append((SLOW_ANSWERS_IN_FULL_STAGE, pooled.full_stage[route].latencies()))
        for kind, latencies in samples:
            slowness = _SlownessTest.of(latencies, established.latencies())
            if slowness.is_meaningful:
                results.append(TestResult(slowness.p_value(), kind, route))
    return results


def known_in_full_stage(pooled: PooledCounts) -> float | None:
    """Return of how many attempts sent in the full stage it is known whether they are slow.

    Returns None if no proxy reports them by themselves. Attempts on routes that can't be compared, since
    too few at established versions have ended, are known once they have ended.
    """
    if not pooled.full_stage:
        return None
    return sum(
        _known_size(sample, pooled.established.get(route)) for route, sample in pooled.full_stage.items()
    )


def _known_size(sample: FullStageSample, established: VersionSample | None) -> float:
    if established is None or established.outcomes.ended < MIN_ESTABLISHED_OUTCOMES:
        return sum(sample.answered)
    first_slow_bin = slow_threshold(established.latencies().bins).first_bin
    return sample.latencies().sample_size(first_slow_bin)


def _failure_p_value(new: OutcomeStatistics, established: OutcomeStatistics) -> float:
    return inferiority_p_value(new.failed, new.ended, established.failed, established.ended, FAILURE_MARGIN)


@dataclass(frozen=True, slots=True)
class _SlownessTest:
    """The test of slow answers: those from a latency bin on that few established answers reach.

    If too few attempts at the new version were waited for that long, the bin is the highest one that enough
    of them reached.
    """

    new: LatencyEstimate
    established: LatencyEstimate
    first_slow_bin: int
    established_share: float

    @classmethod
    def of(cls, new: LatencyEstimate, established: LatencyEstimate) -> _SlownessTest:
        threshold = slow_threshold(established.bins)
        limit = established.highest_known_bin(threshold.first_bin)
        first_slow_bin = new.highest_known_bin(limit)
        share = threshold.share
        if first_slow_bin < threshold.first_bin:
            share = established.share_from(first_slow_bin)
        return cls(new, established, first_slow_bin, share)

    @property
    def is_meaningful(self) -> bool:
        """Whether enough attempts at the new version were waited for; all reach the first bin."""
        return self.first_slow_bin > 0 and self.sample_size >= MIN_NEW_OUTCOMES

    @property
    def sample_size(self) -> float:
        return self.new.sample_size(self.first_slow_bin)

    def p_value(self) -> float:
        established_size = self.established.sample_size(self.first_slow_bin)
        return inferiority_p_value(
            self.new.count_from(self.first_slow_bin),
            self.sample_size,
            self.established_share * established_size,
            established_size,
            SLOW_SHARE_MARGIN,
        )


def rejections(results: list[TestResult], level: float) -> list[TestResult]:
    """Return the results that the procedure rejects at the false discovery rate `level`."""
    rejected = benjamini_hochberg([result.p_value for result in results], level)
    return [results[index] for index in rejected]
