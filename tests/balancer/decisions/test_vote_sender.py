"""Votes are sent once, and again where they may not count or would lapse."""

from random import Random

from decision_builders import RecordingHost, settings

from honeywood.balancer.decisions.vote_sender import Ballot, VoteSender
from honeywood.balancer.model import SECOND, Vote

BALLOT = Ballot(2, 0, Vote.PROCEED)


def sender():
    host = RecordingHost()
    return VoteSender(settings(vote_ttl=10 * SECOND, vote_timeout=SECOND), host, Random(1)), host


def test_a_vote_without_an_answer_is_sent_again_after_the_timeout():
    made, host = sender()
    for tenth in range(14):
        made.cast(tenth * SECOND // 10, BALLOT, ())
    assert host.votes == [BALLOT] * 2  # the spread of this seed makes the wait 0.98 s at most


def test_a_vote_that_counts_is_renewed_before_it_lapses():
    made, host = sender()
    made.cast(0, BALLOT, ())
    made.on_answer(100, counts=True)
    assert made.counted == BALLOT
    made.cast(3 * SECOND, BALLOT, ())
    assert len(host.votes) == 1
    made.cast(7 * SECOND, BALLOT, ())
    assert len(host.votes) == 2


def test_one_that_does_not_count_is_sent_again_after_the_shortest_interval():
    made, host = sender()
    made.cast(0, BALLOT, ())
    made.on_answer(100, counts=False)
    made.cast(200, BALLOT, ())
    assert len(host.votes) == 1 and made.counted is None
    made.cast(SECOND, BALLOT, ())
    assert len(host.votes) == 2
