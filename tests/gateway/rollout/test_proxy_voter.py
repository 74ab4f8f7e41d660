"""A proxy's vote, based on its own counts."""

from ward import each, test

from honeywood.gateway.rollout.comparison import compare, pool
from honeywood.gateway.rollout.proxy_voter import MAX_WAIT_S, ProxyVoter, ProxyVoters
from honeywood.gateway.rollout.rejection import CONFIRMATION_S
from honeywood.gateway.rollout.report import OutcomeCounts, Vote
from honeywood.gateway.rollout.transitions import start_rollout
from honeywood.release_analysis.multiple_testing import FALSE_DISCOVERY_RATE

ROLLOUT = start_rollout(None, "s", "v2", 14.0)


def counts(version, failed, ended):
    """Outcome counts of a version on one route, all in the lowest latency bin."""
    return OutcomeCounts("s", "r", version, failed, ended, (float(ended), *[0.0] * 8))


BORDERLINE = [counts("v1", 10, 1000), counts("v2", 6, 60)]


@test("each of {proxies} proxies tests at its part of the level: borderline counts give the vote {vote}")
def _(proxies=each(1, 12), vote=each(None, Vote.PROMOTE)):
    p_value = min(compare(pool(BORDERLINE, "s", "v2"))).p_value
    assert FALSE_DISCOVERY_RATE / 12 / 2 < p_value < FALSE_DISCOVERY_RATE / 2
    assert ProxyVoter(1, 0.0, proxies).vote(0.0, ROLLOUT, BORDERLINE) is vote


@test("a vote to revert needs a confirmed rejection, and remains when the counts improve")
def _():
    voter = ProxyVoter(1, 0.0, 1)
    bad = [counts("v1", 0, 1000), counts("v2", 60, 60)]
    assert voter.vote(0.0, ROLLOUT, bad) is None and voter.rejects_version
    assert voter.vote(CONFIRMATION_S, ROLLOUT, bad) is Vote.REVERT
    assert voter.vote(CONFIRMATION_S + 0.1, ROLLOUT, [counts("v1", 0, 1000)]) is Vote.REVERT


@test("{ended} outcomes after {waited_s} s give the vote {vote}")
def _(
    ended=each(19, 20, 0, 0),
    waited_s=each(0.0, 0.0, MAX_WAIT_S - 0.1, MAX_WAIT_S),
    vote=each(None, Vote.PROMOTE, None, Vote.PROMOTE),
):
    actual_vote = ProxyVoter(1, 0.0, 1).vote(waited_s, ROLLOUT, [counts("v2", 0, ended)])
    assert actual_vote is vote


@test("a voter is used for one revision of a rollout only")
def _():
    voters = ProxyVoters()
    voter = voters.voter(0.0, ROLLOUT, 1)
    assert voters.voter(1.0, ROLLOUT, 1) is voter and voter.started_at == 0.0
    next_rollout = start_rollout(ROLLOUT, "s", "v3", 14.0)
    assert voters.voter(2.0, next_rollout, 1).started_at == 2.0
