"""The acceptor of CASPaxos: one disk's side of a ballot, a row per key. Pure.

What must hold: a ballot below the promised one is refused; a row is on disk before it is told of.
"""

from honeywood.gateway.register.replies import Accepted, Promise, BallotConflict, RowView
from honeywood.gateway.register.row import EMPTY_ROW, NO_BALLOT, Row


def prepare(row, ballot):
    """The row after a promise and the reply; the row is None where nothing changed."""
    promised, accepted, value = row or EMPTY_ROW
    if ballot <= promised:
        return None, BallotConflict(promised)
    return Row(ballot, accepted, value), Promise(accepted, value)


def accept(row, ballot, value):
    """The row after a value was accepted and the reply; the row is None where the ballot is refused."""
    promised = (row or EMPTY_ROW).promised
    if ballot < promised:
        return None, BallotConflict(promised)
    return Row(ballot, ballot, value), Accepted()


def shown(row):
    """What a read is told of a row: `sure` where it may count as accepted here, even if it is a copy, since
    nothing higher has been promised."""
    promised, accepted, value = row or EMPTY_ROW
    return RowView(accepted, value, accepted in (promised, NO_BALLOT))


def known_lives(told):
    """What is known of disks' lives, out of what several know of them."""
    return {ip: max(lives.get(ip, 0) for lives in told) for lives in told for ip in lives}


def next_life(ip, told):
    """The life with which the lost disk of `ip` begins anew, out of what enough others know."""
    return known_lives(told).get(ip, 1) + 1


def rebuilt(pulls):
    """The rows of a disk that was lost, out of those of enough others: per key the highest promise and the
    highest accepted value."""
    rows = {}
    for pull in pulls:
        for key, (promised, accepted, value) in pull.items():
            held = rows.get(key, EMPTY_ROW)
            if accepted > held.accepted:
                held = Row(held.promised, accepted, value)
            rows[key] = Row(max(held.promised, promised), held.accepted, held.value)
    return rows
