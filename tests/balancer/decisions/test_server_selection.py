"""Tests which server of a group is selected for an RPC."""

from random import Random

from decision_builders import RecordingHost, StubRelease, attempt, groups, rpc, server, settings

from honeywood.balancer.decisions.arrivals import Arrivals
from honeywood.balancer.decisions.limits import UNRESPONSIVE_AFTER
from honeywood.balancer.decisions.send_policy import SendPolicy
from honeywood.balancer.decisions.server_selection import EJECTION_TIME, MIN_SUBSET, ServerSelection
from honeywood.balancer.decisions.warm_up import WarmUpBudget
from honeywood.balancer.model import AttemptResult


def selection(*servers, **fields):
    selection_settings, host, random, server_groups = (
        settings(**fields),
        RecordingHost(),
        Random(1),
        groups(*servers),
    )
    warm_up = WarmUpBudget(selection_settings, server_groups, random)
    policy = SendPolicy(selection_settings, host, StubRelease(), warm_up)
    return ServerSelection(selection_settings, host, random, server_groups, Arrivals(), warm_up, policy), host


def targets(server_selection, host, servers, count, now=10**6):
    host.sent.clear()
    for _ in range(count):
        server_selection.send(now, rpc(deadline=now + 1), servers, ())
        host.sent[-1].server.in_flight -= 1
    return [one.server for one in host.sent]


def test_the_less_busy_server_wins():
    busy, free = server(digest=1), server(digest=2)
    server_selection, host = selection(busy, free)
    busy.in_flight, busy.answered_at = 5, 10**6
    assert set(targets(server_selection, host, [busy, free], 20)) == {free}


def test_two_attempts_in_a_row_without_an_answer_eject_a_server_for_a_while():
    bad, good = server(digest=1), server(digest=2)
    server_selection, host = selection(bad, good)
    for _ in range(2):
        bad.in_flight += 1
        server_selection.on_result(0, attempt(at_server=bad, result=AttemptResult.RESET), ())
    assert bad.ejected_until == EJECTION_TIME
    assert set(targets(server_selection, host, [bad, good], 20, now=EJECTION_TIME - 1)) == {good}
    assert bad in targets(server_selection, host, [bad, good], 40, now=10**6)


def test_an_unresponsive_server_is_skipped_while_others_may_be_chosen():
    stuck, good = server(digest=1, in_flight=1, answered_at=0), server(digest=2, in_flight=3)
    good.answered_at = UNRESPONSIVE_AFTER
    server_selection, host = selection(stuck, good)
    assert set(targets(server_selection, host, [stuck, good], 20, now=UNRESPONSIVE_AFTER)) == {good}
    assert targets(server_selection, host, [stuck], 1, now=UNRESPONSIVE_AFTER) == [stuck]


def test_a_balancer_with_little_traffic_uses_a_subset():
    servers = [server(digest=number) for number in range(100)]
    server_selection, host = selection(*servers, balancers=10, balancer_index=5)
    assert set(targets(server_selection, host, servers, 300)) <= set(servers[50 : 50 + MIN_SUBSET])


def test_the_second_group_is_tried_where_the_first_has_no_server():
    one = server()
    server_selection, host = selection(one)
    assert server_selection.send(0, rpc(), (), [one]) and host.sent[0].server is one
    assert not server_selection.send(0, rpc(), (), ())
