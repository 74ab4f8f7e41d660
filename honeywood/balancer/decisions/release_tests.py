"""The tests of a release: one for each method and kind of fault, and one for all methods together."""

from __future__ import annotations

from math import erfc, sqrt

from honeywood.balancer.decisions.release_samples import MAX_SAMPLE, PlatformSample, Sample, total
from honeywood.balancer.model import ReleaseTestResult
from honeywood.release_analysis.multiple_testing import FAILURE_MARGIN, MIN_OUTCOMES, inferiority_p_value
from honeywood.release_analysis.outcome_statistics import OutcomeStatistics, column_sums

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Sequence

    from honeywood.balancer.decisions.release_samples import ReleaseSamples
    from honeywood.balancer.decisions.vote_levels import VoteLevels

UNCOMPARED_FAILURE_MARGIN = 0.10  # failure share that is allowed without an earlier release to compare with
# By how much the share of slow answers may exceed the earlier release's; docs/design.md starts at 0.10.
SLOW_MARGIN = 0.20
TIME_MARGIN = 1.0  # by how much of the earlier mean latency the platform's mean latency may exceed it
MIN_METHOD_FAILURE_OUTCOMES = 3  # outcomes of a method from which on its failures are tested
MIN_ALL_FAILURE_OUTCOMES = 1  # the same for all methods together


def release_tests(samples: ReleaseSamples, levels: VoteLevels) -> list[ReleaseTestResult]:
    """The results of all tests that have a sample, of this balancer's attempts and the platform's counts."""
    results: list[ReleaseTestResult] = []
    # If a single vote of many balancers decides, only the platform's counts of all balancers are tested, once
    # there are any.
    if not (samples.reported and levels.single_vote_decides):
        results += _failure_tests(samples, levels)
        results += _slowness_tests(samples, levels)
    if samples.platform:
        rows = list(samples.platform.values())
        for row in (*rows, PlatformSample(*column_sums(rows))):
            results += _platform_tests(row)
    return results


def _failure_tests(samples: ReleaseSamples, levels: VoteLevels) -> list[ReleaseTestResult]:
    compared = sum(statistics.total for statistics in samples.earlier) >= MIN_OUTCOMES
    margin = FAILURE_MARGIN if compared else UNCOMPARED_FAILURE_MARGIN
    results = []
    rows = [server.failures for server in samples.by_server.values()]
    for method, servers in enumerate(_by_method(rows, len(samples.earlier))):
        sample = total(servers)
        is_single_method = method < len(samples.earlier)
        min_outcomes = MIN_METHOD_FAILURE_OUTCOMES if is_single_method else MIN_ALL_FAILURE_OUTCOMES
        if sample.outcomes >= min_outcomes:
            p_value = _p_value(sample, _earlier_outcomes(samples, method), margin)
            results.append(_result(f"failures of method {method}", sample, p_value, levels))
    return results


def _slowness_tests(samples: ReleaseSamples, levels: VoteLevels) -> list[ReleaseTestResult]:
    """Test for slow answers, leaving out each server on trial in turn.

    One slow server is not a slow build, so the test must reject the release without any one of them.
    """
    results = []
    rows = [server.slow for server in samples.by_server.values()]
    for method, servers in enumerate(_by_method(rows, len(samples.earlier))):
        sample = total(servers)
        remainders = [sample.minus(server) for server in servers] or [sample]
        if min(remainder.outcomes for remainder in remainders) >= levels.min_slow_outcomes:
            earlier_outcomes = _earlier_outcomes(samples, method)
            p_value = max(_p_value(remainder, earlier_outcomes, SLOW_MARGIN) for remainder in remainders)
            results.append(_result(f"slow answers of method {method}", sample, p_value, levels))
    return results


def _by_method(rows: Sequence[Sequence[Sample]], methods: int) -> list[list[Sample]]:
    """Samples by server, for each method and then for all methods, which have enough outcomes sooner."""
    columns = [[row[method] for row in rows] for method in range(methods)]
    return [*columns, [total(row) for row in rows]]


def _earlier_outcomes(samples: ReleaseSamples, method: int) -> float:
    """The weight of the earlier release's outcomes in a test, as a number of outcomes."""
    is_single_method = method < len(samples.earlier)
    earlier = samples.earlier_of(method) if is_single_method else OutcomeStatistics(samples.earlier)
    return min(MAX_SAMPLE, max(MIN_OUTCOMES, earlier.total))


def _p_value(sample: Sample, earlier_outcomes: float, margin: float) -> float:
    expected = sample.expected / sample.outcomes * earlier_outcomes
    return inferiority_p_value(sample.observed, sample.outcomes, expected, earlier_outcomes, margin)


def _result(name: str, sample: Sample, p_value: float, levels: VoteLevels) -> ReleaseTestResult:
    return ReleaseTestResult(min(1.0, p_value * levels.p_value_factor), name, *sample)


def _platform_tests(row: PlatformSample) -> list[ReleaseTestResult]:
    """The tests of the platform's counts; latencies are assumed to be exponentially distributed."""
    expected = row.expected_failures / row.ended * row.earlier_ended
    p_value = inferiority_p_value(row.failed, row.ended, expected, row.earlier_ended, FAILURE_MARGIN)
    results = [ReleaseTestResult(p_value, "tallied failures", row.failed, row.ended, row.expected_failures)]
    if row.answers >= MIN_OUTCOMES:
        excess = row.time / row.expected_time / (1 + TIME_MARGIN) - 1
        p_value = 0.5 * erfc(excess * sqrt(row.answers / 2))
        results.append(ReleaseTestResult(p_value, "tallied times", row.time, row.answers, row.expected_time))
    return results
