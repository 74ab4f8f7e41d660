"""Tests that a vote is sent once, and again if it was not accepted or is about to expire."""

from random import Random

from decision_builders import RecordingHost, settings

from honeywood.balancer.decisions.vote_sender import Ballot, VoteSender
from honeywood.balancer.model import SECOND, Vote

BALLOT = Ballot(2, 0, Vote.PROCEED)


def sender():
    host = RecordingHost()
    return VoteSender(settings(vote_ttl=10 * SECOND, vote_timeout=SECOND), host, Random(1)), host


def test_a_vote_without_an_answer_is_sent_again_after_the_timeout():
    vote_sender, host = sender()
    for tenth in range(14):
        vote_sender.cast(tenth * SECOND // 10, BALLOT, ())
    assert host.votes == [BALLOT] * 2  # the jitter of this seed makes the wait 0.98 s at most


def test_an_accepted_vote_is_renewed_before_it_expires():
    vote_sender, host = sender()
    vote_sender.cast(0, BALLOT, ())
    vote_sender.on_answer(100, accepted=True)
    assert vote_sender.accepted == BALLOT
    vote_sender.cast(3 * SECOND, BALLOT, ())
    assert len(host.votes) == 1
    vote_sender.cast(7 * SECOND, BALLOT, ())
    assert len(host.votes) == 2


def test_a_vote_that_is_not_accepted_is_sent_again_after_the_minimum_interval():
    vote_sender, host = sender()
    vote_sender.cast(0, BALLOT, ())
    vote_sender.on_answer(100, accepted=False)
    vote_sender.cast(200, BALLOT, ())
    assert len(host.votes) == 1 and vote_sender.accepted is None
    vote_sender.cast(SECOND, BALLOT, ())
    assert len(host.votes) == 2
