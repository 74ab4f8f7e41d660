"""The rules that every attempt keeps."""

from random import Random

import pytest
from decision_builders import NoRelease, RecordingHost, attempt, groups, method, rpc, server, settings

from honeywood.balancer.decisions.release_verdict import Trial
from honeywood.balancer.decisions.send_policy import SendPolicy
from honeywood.balancer.decisions.warm_up import WarmUpBudget
from honeywood.balancer.model import AttemptResult, Exclusion, Idempotency, ReleaseState, ServerStatus


def policy(release=None, **given):
    made = settings(**given)
    warm_up = WarmUpBudget(made, groups(server()), Random(1))
    return SendPolicy(made, RecordingHost(), release or NoRelease(), warm_up)


def test_the_state_of_the_rpc_and_of_the_server():
    made, over = policy(), rpc()
    over.done = True
    assert made.exclusion(0, over, server()) == Exclusion.DONE
    assert made.exclusion(0, rpc(), server(status=ServerStatus.DRAINING)) == Exclusion.NOT_READY
    assert made.exclusion(40_000, rpc(), server()) == Exclusion.DEADLINE
    assert made.exclusion(0, rpc(), server()) == Exclusion.NONE


def test_attempts_are_bounded():
    made, of = policy(max_attempts=2), rpc()
    for _ in range(2):
        attempt(of, result=AttemptResult.FULL)
    assert made.exclusion(0, of, server()) == Exclusion.MAX_ATTEMPTS


@pytest.mark.parametrize(
    "result, exclusion",
    [
        (AttemptResult.FULL, Exclusion.NONE),
        (AttemptResult.CONNECT_FAILED, Exclusion.NONE),
        (AttemptResult.EXPIRED, Exclusion.NONE),
        (AttemptResult.ERROR, Exclusion.MAY_HAVE_RUN),
        (AttemptResult.RESET, Exclusion.MAY_HAVE_RUN),
        (AttemptResult.TIMEOUT, Exclusion.MAY_HAVE_RUN),
        (None, Exclusion.MAY_HAVE_RUN),
    ],
)
def test_what_is_not_idempotent_is_repeated_only_where_it_never_ran(result, exclusion):
    made, of = policy(may_duplicate=True), rpc(method(idempotency=Idempotency.NON_IDEMPOTENT))
    attempt(of, result=result)
    assert made.exclusion(0, of, server()) == exclusion
    assert made.may_reject(of) == (exclusion == Exclusion.NONE)


def test_an_idempotent_rpc_is_at_two_servers_only_where_that_is_allowed():
    of = rpc()
    attempt(of, result=None)
    assert policy(may_duplicate=False).exclusion(0, of, server()) == Exclusion.MAY_HAVE_RUN
    assert policy(may_duplicate=True).exclusion(0, of, server()) == Exclusion.NONE


def test_a_keyed_rpc_is_repeated_within_the_scope_and_the_window_of_its_key():
    made = policy()
    of = rpc(method(idempotency=Idempotency.KEYED, dedup_scope="zone", dedup_window=1_000))
    attempt(of, server(zone=1), result=AttemptResult.ERROR)
    assert made.exclusion(949, of, server(zone=1)) == Exclusion.NONE
    assert made.exclusion(950, of, server(zone=1)) == Exclusion.DEDUPLICATION  # clocks are coarse
    assert made.exclusion(0, of, server(zone=2)) == Exclusion.DEDUPLICATION
    assert not made.may_reject(of)


def test_exposure_keeps_the_cap_over_its_window():
    release = NoRelease(build_2=Trial(cap=0.1, step=0))
    made = policy(release, exposure_allowance=1, exposure_window=30_000)
    on_trial, sent = server(build=2), 0
    for now in range(100):
        one = rpc(arrived_at=now)
        made.on_request(now, one)
        sent += made.send(now, one, on_trial)
    assert sent == 11
    assert made.exclusion(100, rpc(), on_trial) == Exclusion.EXPOSURE


def test_guarded_steps_take_only_what_is_idempotent():
    made = policy(NoRelease(build_2=Trial(cap=1.0, step=0)), idempotent_only_steps=1, exposure_allowance=9)
    keyed = rpc(method(idempotency=Idempotency.KEYED))
    assert made.exclusion(0, keyed, server(build=2)) == Exclusion.EXPOSURE
    assert made.exclusion(0, rpc(), server(build=2)) == Exclusion.NONE


def test_a_key_does_not_go_back_to_an_older_build():
    release = NoRelease()
    release.build, release.state = 2, ReleaseState.RELEASED
    made = policy(release, no_downgrade=True)
    answered = attempt(rpc(key=7), server(build=2), result=AttemptResult.OK)
    answered.server.in_flight = 1
    made.on_result(0, answered)
    assert made.exclusion(0, rpc(key=7), server(build=1)) == Exclusion.NO_DOWNGRADE
    assert made.exclusion(0, rpc(key=8), server(build=1)) == Exclusion.NONE
