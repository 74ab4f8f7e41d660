"""What is counted of a release and of the one before it."""

from decision_builders import attempt, groups, method, server, settings

from honeywood.balancer.decisions.release_samples import ReleaseSamples, Sample
from honeywood.balancer.decisions.release_tests import release_tests
from honeywood.balancer.decisions.vote_levels import VoteLevels
from honeywood.balancer.model import AttemptResult, PlatformCounts

OLD, NEW = server(build=1), server(build=2)


def samples(**given):
    of = groups(OLD, NEW)
    of.newest = of.newest_by_start = [NEW]
    return ReleaseSamples(settings(**given), of)


def add(made, at, result, count, latency=100):
    for _ in range(count):
        made.add(attempt(at=at, result=result, latency=latency), 2, ())


def test_failures_are_compared_with_what_the_earlier_release_lets_expect():
    made = samples()
    add(made, OLD, AttemptResult.OK, 75)
    add(made, OLD, AttemptResult.ERROR, 25)
    add(made, NEW, AttemptResult.ERROR, 2)
    assert made.by_server[NEW].failures == [Sample(2.0, 2.0, 0.5)]


def test_young_servers_and_rejected_builds_are_no_evidence():
    made, young = samples(), attempt(at=NEW, result=AttemptResult.ERROR)
    young.on_young_server = True
    made.add(young, 2, ())
    made.add(attempt(at=NEW, result=AttemptResult.ERROR), 2, (2,))
    assert not made.by_server


def test_an_overdue_attempt_counts_once_as_slow():
    made = samples()
    add(made, OLD, AttemptResult.OK, 100)
    overdue = attempt(at=NEW, result=None, latency=9_000)
    made.add(overdue, 2, ())
    overdue.result = AttemptResult.OK
    made.add(overdue, 2, ())
    (slow,) = made.by_server[NEW].slow
    assert (slow.observed, slow.outcomes) == (1, 1)


def test_counts_of_the_platform_before_any_release_are_kept_for_later():
    made = samples(platform_counts_period=20_000)
    made.add_platform_counts(0, PlatformCounts(1, method(), 1, 50, 100, 10), None, ())
    assert not made.platform and made.reported[0][1].ended == 50


def test_counts_of_the_platform_are_compared_with_the_earlier_builds_of_the_same_period():
    made = samples(platform_counts_period=20_000)
    made.add_platform_counts(10**6, PlatformCounts(1, method(), 5, 50, 100, 10), 2, ())
    made.add_platform_counts(10**6, PlatformCounts(2, method(), 20, 40, 300, 10), 2, ())
    (row,) = made.platform.values()
    assert (row.failed, row.ended, row.expected_failures, row.earlier_ended) == (20, 40, 4, 50)
    assert (row.time, row.expected_time, row.answers) == (20 * 300, 20 * 100, 20)


def test_a_build_that_fails_is_told_by_the_tests_and_a_like_one_is_not():
    for result, rejects in ((AttemptResult.ERROR, True), (AttemptResult.OK, False)):
        made = samples()
        add(made, OLD, AttemptResult.OK, 100)
        add(made, NEW, result, 30)
        found = {one.name: one.p_value for one in release_tests(made, VoteLevels(settings()))}
        assert (found["failures of method 0"] < 0.001) == rejects
        assert set(found) >= {"failures of method 0", "failures of method 1"}
