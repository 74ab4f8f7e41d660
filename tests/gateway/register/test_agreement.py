"""What a majority of disks agrees on."""

from ward import test

from honeywood.gateway.register import acceptor
from honeywood.gateway.register.agreement import find_agreed_view
from honeywood.gateway.register.proposal import Proposal
from honeywood.gateway.register.replies import Accepted, Promise, RowView
from honeywood.gateway.register.row import Ballot, Row
from honeywood.gateway.register.values import (
    carried_form,
)


@test("a rebuilt disk's copy is no vote: what a read returned is never lost to a ballot promised before")
def _():
    # 5x reached a alone; a ballot without a was promised by b and c; c was lost, rebuilt from a and b. A read
    # of a and c took c's copy for an accepted row and told 5x; b and c accepted 5y under the old promise.
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
