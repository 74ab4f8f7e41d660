"""Tests the samples of a release and of the one before it."""

from decision_builders import attempt, groups, method, server, settings

from honeywood.balancer.decisions.release_samples import ReleaseSamples, Sample
from honeywood.balancer.decisions.release_tests import release_tests
from honeywood.balancer.decisions.vote_levels import VoteLevels
from honeywood.balancer.model import AttemptResult, PlatformCounts

OLD, NEW = server(build=1), server(build=2)


def samples(**fields):
    server_groups = groups(OLD, NEW)
    server_groups.newest = server_groups.newest_by_start = [NEW]
    return ReleaseSamples(settings(**fields), server_groups)


def add(release_samples, at_server, result, count, latency=100):
    for _ in range(count):
        release_samples.add(attempt(at_server=at_server, result=result, latency=latency), 2, ())


def test_failures_are_compared_with_the_failure_rate_of_the_earlier_release():
    release_samples = samples()
    add(release_samples, OLD, AttemptResult.OK, 75)
    add(release_samples, OLD, AttemptResult.ERROR, 25)
    add(release_samples, NEW, AttemptResult.ERROR, 2)
    assert release_samples.by_server[NEW].failures == [Sample(2.0, 2.0, 0.5)]


def test_young_servers_and_rejected_builds_are_not_counted():
    release_samples, young = samples(), attempt(at_server=NEW, result=AttemptResult.ERROR)
    young.on_young_server = True
    release_samples.add(young, 2, ())
    release_samples.add(attempt(at_server=NEW, result=AttemptResult.ERROR), 2, (2,))
    assert not release_samples.by_server


def test_an_overdue_attempt_counts_once_as_slow():
    release_samples = samples()
    add(release_samples, OLD, AttemptResult.OK, 100)
    overdue = attempt(at_server=NEW, result=None, latency=9_000)
    release_samples.add(overdue, 2, ())
    overdue.result = AttemptResult.OK
    release_samples.add(overdue, 2, ())
    (slow,) = release_samples.by_server[NEW].slow
    assert (slow.observed, slow.outcomes) == (1, 1)


def test_platform_counts_before_the_first_release_are_kept():
    release_samples = samples(platform_counts_period=20_000)
    release_samples.add_platform_counts(0, PlatformCounts(1, method(), 1, 50, 100, 10), None, ())
    assert not release_samples.platform and release_samples.reported[0][1].ended == 50


def test_platform_counts_are_compared_with_those_of_the_earlier_build_in_the_same_period():
    release_samples = samples(platform_counts_period=20_000)
    release_samples.add_platform_counts(10**6, PlatformCounts(1, method(), 5, 50, 100, 10), 2, ())
    release_samples.add_platform_counts(10**6, PlatformCounts(2, method(), 20, 40, 300, 10), 2, ())
    (row,) = release_samples.platform.values()
    assert (row.failed, row.ended, row.expected_failures, row.earlier_ended) == (20, 40, 4, 50)
    assert (row.time, row.expected_time, row.answers) == (20 * 300, 20 * 100, 20)


def test_the_tests_detect_a_failing_build_and_accept_an_equal_one():
    for result, rejects in ((AttemptResult.ERROR, True), (AttemptResult.OK, False)):
        release_samples = samples()
        add(release_samples, OLD, AttemptResult.OK, 100)
        add(release_samples, NEW, result, 30)
        p_values = {
            test_result.name: test_result.p_value
            for test_result in release_tests(release_samples, VoteLevels(settings()))
        }
        assert (p_values["failures of method 0"] < 0.001) == rejects
        assert set(p_values) >= {"failures of method 0", "failures of method 1"}
