"""Tests of the acceptor's rules."""

from ward import each, test

from honeywood.gateway.register import acceptor
from honeywood.gateway.register.replies import BallotConflict
from honeywood.gateway.register.row import Ballot, Row


@test("a ballot below the promised one is rejected ({request})")
def _(request=each("prepare", "accept")):
    row, lower = Row(Ballot(5, "b"), Ballot(3, "a"), "old"), Ballot(5, "a")
    result = acceptor.prepare(row, lower) if request == "prepare" else acceptor.accept(row, lower, "new")
    assert result == BallotConflict(Ballot(5, "b"))
