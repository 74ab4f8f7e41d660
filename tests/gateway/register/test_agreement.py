"""Tests of the agreement of a majority of disks on a read."""

from ward import test

from honeywood.gateway.register import acceptor
from honeywood.gateway.register.agreement import find_agreed_view
from honeywood.gateway.register.proposal import Proposal
from honeywood.gateway.register.replies import Accepted, Promise, RowView
from honeywood.gateway.register.row import Ballot, Row
from honeywood.gateway.register.values import (
    carried_form,
)


@test("a value copied to a rebuilt disk doesn't count as accepted while a higher ballot is promised")
def _():
    # Guards against a read that returns a value which is lost later. Only a accepted 5x, b and c promised a
    # higher ballot, and c was lost and rebuilt from a and b. If a read of a and c counted c's copy, it would
    # return 5x, although b and c may still accept 5y under the higher ballot.
    rows, lower, higher = {}, Ballot(1, "p"), Ballot(2, "q")

    def prepare(disk, ballot):
        rows[disk] = acceptor.prepare(rows.get(disk), ballot)
        return Promise(rows[disk].accepted, carried_form(rows[disk].value))

    def accept(disk, ballot, value):
        rows[disk] = acceptor.accept(rows[disk], ballot, value)
        return Accepted()

    def view(disk):
        row = rows[disk]
        return RowView(row.accepted, carried_form(row.value), acceptor.counts_as_accepted(row))

    first, second = Proposal(lower, 2), Proposal(higher, 2)
    assert [first.on_prepare_reply(disk, prepare(disk, lower)) for disk in "ab"] == [False, True]
    accept("a", lower, "5x")
    assert [second.on_prepare_reply(disk, prepare(disk, higher)) for disk in "bc"] == [False, True]
    rows["c"] = Row(*acceptor.merge_rows([{"key": rows["a"]}, {"key": rows["b"]}])["key"])
    assert find_agreed_view([view("a"), view("c")], 2) is None
    assert [second.on_accept_reply(disk, accept(disk, higher, "5y")) for disk in "bc"][1]
    assert find_agreed_view([view("b"), view("c")], 2).value == carried_form("5y")
