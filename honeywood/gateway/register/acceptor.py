"""The CASPaxos acceptor: the rules by which one disk responds to prepare, accept and read. Pure.

Invariants: a ballot below the promised one is rejected; the caller stores a returned row before it replies.
"""

from __future__ import annotations

from honeywood.gateway.register.replies import BallotConflict, TransferredRow
from honeywood.gateway.register.row import EMPTY_ROW, NO_BALLOT, Row

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from honeywood.gateway.register.json_value import JsonValue
    from honeywood.gateway.register.row import Ballot

EMPTY_TRANSFERRED_ROW = TransferredRow(NO_BALLOT, NO_BALLOT, None)


def prepare(row: Row | None, ballot: Ballot) -> Row | BallotConflict:
    """Return the row that promises `ballot`, or a conflict if an equal or higher ballot was promised."""
    promised, accepted, value = row or EMPTY_ROW
    if ballot <= promised:
        return BallotConflict(promised)
    return Row(ballot, accepted, value)


def accept(row: Row | None, ballot: Ballot, value: JsonValue) -> Row | BallotConflict:
    """Return the row that accepts `value`, or a conflict if a higher ballot was promised."""
    promised = (row or EMPTY_ROW).promised
    if ballot < promised:
        return BallotConflict(promised)
    return Row(ballot, ballot, value)


def counts_as_accepted(row: Row) -> bool:
    """Return whether a read may count the row's value as accepted on this disk.

    A row that was copied from another disk counts too, as long as no higher ballot has been promised.
    """
    return row.accepted in (row.promised, NO_BALLOT)


def merge_rows(replicas: Iterable[Mapping[str, TransferredRow]]) -> dict[str, TransferredRow]:
    """Merge the rows of a majority of the other members into the rows for a disk that was lost.

    Each key gets the highest promised ballot, and the value with the highest accepted ballot.
    """
    merged: dict[str, TransferredRow] = {}
    for rows in replicas:
        for key, (promised, accepted, value) in rows.items():
            known = merged.get(key, EMPTY_TRANSFERRED_ROW)
            if accepted > known.accepted:
                known = TransferredRow(known.promised, accepted, value)
            merged[key] = TransferredRow(max(known.promised, promised), known.accepted, known.value)
    return merged
