"""The rules of the acceptor."""

from ward import each, test

from honeywood.gateway.register import acceptor
from honeywood.gateway.register.replies import BallotConflict
from honeywood.gateway.register.row import Ballot, Row


@test("a ballot below the promised one is refused ({op})")
def _(op=each("prepare", "accept")):
    row, lower = Row(Ballot(5, "b"), Ballot(3, "a"), "held"), Ballot(5, "a")
    found = acceptor.prepare(row, lower) if op == "prepare" else acceptor.accept(row, lower, "new")
    assert found == BallotConflict(Ballot(5, "b"))
