"""Tests the bound on open RPCs."""

from decision_builders import attempt, groups, method, rpc, server, settings

from honeywood.balancer.decisions.concurrency_limit import ConcurrencyLimit
from honeywood.balancer.model import AttemptResult


def limit(**fields):
    return ConcurrencyLimit(settings(**fields), groups(server()))


def largest(concurrency_limit, of_rpc=None, responding=0):
    """The largest number of RPCs that may be open."""
    of_rpc = of_rpc or rpc()
    return next(
        count for count in range(1000) if concurrency_limit.exceeded(0, of_rpc, count + 1, responding)
    )


def test_a_balancer_with_little_traffic_uses_the_headroom_of_its_last_answers():
    concurrency_limit = limit()
    assert largest(concurrency_limit) == 10
    for _ in range(20):
        concurrency_limit.on_result(0, attempt(result=AttemptResult.TIMEOUT, latency=40_000))
    assert largest(concurrency_limit) == 3  # RPCS_PER_SERVER for one server


def test_a_high_rate_of_answers_allows_as_many_rpcs_as_can_be_answered_in_time():
    concurrency_limit = limit()
    for now in range(200):
        concurrency_limit.on_result(now, attempt(result=AttemptResult.OK))
    # 200 answers in 2 s and 0.4 of a latency target of 1 s make 40; twice the square root of 40 is added.
    assert largest(concurrency_limit) == 52


def test_methods_of_lower_utility_have_a_lower_bound():
    low, high = method(utility=0.0, index=0), method(utility=4.0, index=1)
    concurrency_limit = limit(methods=[low, high])
    assert largest(concurrency_limit, rpc(low)) == 7 and largest(concurrency_limit, rpc(high)) == 10


def test_rpcs_whose_answers_have_started_do_not_count_up_to_four_times_the_bound():
    concurrency_limit = limit()
    assert largest(concurrency_limit, responding=5) == 15 and largest(concurrency_limit, responding=500) == 50
