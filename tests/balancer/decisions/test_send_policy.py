"""Tests the rules for every attempt."""

from random import Random

import pytest
from decision_builders import RecordingHost, StubRelease, attempt, groups, method, rpc, server, settings

from honeywood.balancer.decisions.release_verdict import Trial
from honeywood.balancer.decisions.send_policy import SendPolicy
from honeywood.balancer.decisions.warm_up import WarmUpBudget
from honeywood.balancer.model import AttemptResult, Exclusion, Idempotency, ReleaseState, ServerStatus


def policy(release=None, **fields):
    policy_settings = settings(**fields)
    warm_up = WarmUpBudget(policy_settings, groups(server()), Random(1))
    return SendPolicy(policy_settings, RecordingHost(), release or StubRelease(), warm_up)


def test_the_rpc_must_be_open_and_the_server_ready():
    send_policy, finished = policy(), rpc()
    finished.done = True
    assert send_policy.exclusion(0, finished, server()) == Exclusion.DONE
    assert send_policy.exclusion(0, rpc(), server(status=ServerStatus.DRAINING)) == Exclusion.NOT_READY
    assert send_policy.exclusion(40_000, rpc(), server()) == Exclusion.DEADLINE
    assert send_policy.exclusion(0, rpc(), server()) == Exclusion.NONE


def test_the_number_of_attempts_is_limited():
    send_policy, open_rpc = policy(max_attempts=2), rpc()
    for _ in range(2):
        attempt(open_rpc, result=AttemptResult.FULL)
    assert send_policy.exclusion(0, open_rpc, server()) == Exclusion.MAX_ATTEMPTS


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
def test_a_non_idempotent_rpc_is_repeated_only_if_it_never_ran(result, exclusion):
    send_policy, open_rpc = policy(may_duplicate=True), rpc(method(idempotency=Idempotency.NON_IDEMPOTENT))
    attempt(open_rpc, result=result)
    assert send_policy.exclusion(0, open_rpc, server()) == exclusion
    assert send_policy.may_reject(open_rpc) == (exclusion == Exclusion.NONE)


def test_an_idempotent_rpc_is_at_two_servers_only_if_duplicates_are_allowed():
    open_rpc = rpc()
    attempt(open_rpc, result=None)
    assert policy(may_duplicate=False).exclusion(0, open_rpc, server()) == Exclusion.MAY_HAVE_RUN
    assert policy(may_duplicate=True).exclusion(0, open_rpc, server()) == Exclusion.NONE


def test_a_keyed_rpc_is_repeated_within_the_scope_and_the_window_of_deduplication():
    send_policy = policy()
    open_rpc = rpc(method(idempotency=Idempotency.KEYED, dedup_scope="zone", dedup_window=1_000))
    attempt(open_rpc, server(zone=1), result=AttemptResult.ERROR)
    assert send_policy.exclusion(949, open_rpc, server(zone=1)) == Exclusion.NONE
    # From 950 on: the window less the clock resolution.
    assert send_policy.exclusion(950, open_rpc, server(zone=1)) == Exclusion.DEDUPLICATION
    assert send_policy.exclusion(0, open_rpc, server(zone=2)) == Exclusion.DEDUPLICATION
    assert not send_policy.may_reject(open_rpc)


def test_exposure_stays_within_the_cap_over_its_window():
    release = StubRelease(build_2=Trial(cap=0.1, step=0))
    send_policy = policy(release, exposure_allowance=1, exposure_window=30_000)
    on_trial, sent = server(build=2), 0
    for now in range(100):
        one = rpc(arrived_at=now)
        send_policy.on_request(now, one)
        sent += send_policy.send(now, one, on_trial)
    assert sent == 11
    assert send_policy.exclusion(100, rpc(), on_trial) == Exclusion.EXPOSURE


def test_idempotent_only_steps_exclude_other_rpcs():
    send_policy = policy(
        StubRelease(build_2=Trial(cap=1.0, step=0)), idempotent_only_steps=1, exposure_allowance=9
    )
    keyed = rpc(method(idempotency=Idempotency.KEYED))
    assert send_policy.exclusion(0, keyed, server(build=2)) == Exclusion.EXPOSURE
    assert send_policy.exclusion(0, rpc(), server(build=2)) == Exclusion.NONE


def test_a_key_does_not_go_back_to_an_older_build():
    release = StubRelease()
    release.build, release.state = 2, ReleaseState.RELEASED
    send_policy = policy(release, no_downgrade=True)
    answered = attempt(rpc(key=7), server(build=2), result=AttemptResult.OK)
    answered.server.in_flight = 1
    send_policy.on_result(0, answered)
    assert send_policy.exclusion(0, rpc(key=7), server(build=1)) == Exclusion.NO_DOWNGRADE
    assert send_policy.exclusion(0, rpc(key=8), server(build=1)) == Exclusion.NONE
