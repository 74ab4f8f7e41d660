"""The bound on open RPCs."""

from decision_builders import attempt, groups, method, rpc, server, settings

from honeywood.balancer.decisions.concurrency_limit import ConcurrencyLimit
from honeywood.balancer.model import AttemptResult


def limit(**given):
    return ConcurrencyLimit(settings(**given), groups(server()))


def largest(made, of=None, responding=0):
    """The most RPCs that may be open."""
    of = of or rpc()
    return next(count for count in range(1000) if made.exceeded(0, of, count + 1, responding))


def test_a_small_balancer_goes_by_its_last_answers():
    made = limit()
    assert largest(made) == 10
    for _ in range(20):
        made.on_result(0, attempt(result=AttemptResult.TIMEOUT, latency=40_000))
    assert largest(made) == 3  # what one server has in any case


def test_many_answers_allow_as_many_as_can_be_answered_in_time():
    made = limit()
    for now in range(200):
        made.on_result(now, attempt(result=AttemptResult.OK))
    # 200 answers in 2 s, a target of 1 s of which 0.4 counts: 40, and twice its root.
    assert largest(made) == 52


def test_methods_of_less_utility_have_less_of_it():
    cheap, dear = method(utility=0.0, index=0), method(utility=4.0, index=1)
    made = limit(methods=[cheap, dear])
    assert largest(made, rpc(cheap)) == 7 and largest(made, rpc(dear)) == 10


def test_rpcs_whose_answers_have_begun_do_not_count_up_to_four_times_the_bound():
    made = limit()
    assert largest(made, responding=5) == 15 and largest(made, responding=500) == 50
