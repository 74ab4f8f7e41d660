"""What servers that warm up may be sent."""

from random import Random

from decision_builders import attempt, groups, server, settings

from honeywood.balancer.decisions.warm_up import WarmUpBudget
from honeywood.balancer.model import AttemptResult

GIVEN = {
    "balancers": 1,
    "initial_capacity_share": 0.4,
    "warm_up_time": 40_000,
    "overload_multiple": 2.5,
    "overload_window": 20_000,
}


def budget(*servers):
    return WarmUpBudget(settings(**GIVEN), groups(*servers), Random(1))


def test_capacity_grows_from_its_initial_share():
    made, one = budget(), server(started_at=0)
    assert [made.capacity_share(now, one) for now in (0, 20_000, 40_000, 10**9)] == [0.4, 0.7, 1.0, 1.0]


def test_a_warm_server_is_not_bounded():
    one = server()
    made = budget(one)
    one.in_flight = 10_000
    assert made.may_send(0, one)


def test_a_cold_server_gets_its_part_of_what_the_others_bear():
    warm, cold = server(), server(started_at=0)
    made = budget(warm, cold)
    for now in range(100):
        made.on_send(now, warm)
        made.on_result(now, attempt(at=warm, result=AttemptResult.OK))
    sent = 0
    while made.may_send(100, cold):
        made.on_send(100, cold)
        sent += 1
    # 100 answers of two servers, times 2.5 and 0.7 of it, at 0.4 of its capacity.
    assert 30 <= sent <= 36
