"""Tests how many attempts may be sent to servers that are warming up."""

from random import Random

from decision_builders import attempt, groups, server, settings

from honeywood.balancer.decisions.warm_up import WarmUpBudget
from honeywood.balancer.model import AttemptResult

SETTINGS = {
    "balancers": 1,
    "initial_capacity_share": 0.4,
    "warm_up_time": 40_000,
    "overload_multiple": 2.5,
    "overload_window": 20_000,
}


def budget(*servers):
    return WarmUpBudget(settings(**SETTINGS), groups(*servers), Random(1))


def test_capacity_grows_from_its_initial_share():
    warm_up_budget, one = budget(), server(started_at=0)
    assert [warm_up_budget.capacity_share(now, one) for now in (0, 20_000, 40_000, 10**9)] == [
        0.4,
        0.7,
        1.0,
        1.0,
    ]


def test_a_warmed_up_server_is_not_limited():
    one = server()
    warm_up_budget = budget(one)
    one.in_flight = 10_000
    assert warm_up_budget.may_send(0, one)


def test_a_warming_up_server_gets_its_share_of_what_the_others_handle():
    warmed_up, warming_up = server(), server(started_at=0)
    warm_up_budget = budget(warmed_up, warming_up)
    for now in range(100):
        warm_up_budget.on_send(now, warmed_up)
        warm_up_budget.on_result(now, attempt(at_server=warmed_up, result=AttemptResult.OK))
    sent = 0
    while warm_up_budget.may_send(100, warming_up):
        warm_up_budget.on_send(100, warming_up)
        sent += 1
    # 100 answers by two servers, times the multiple of 2.5, its safe share of 0.7 and 0.4 of the capacity.
    assert 30 <= sent <= 36
