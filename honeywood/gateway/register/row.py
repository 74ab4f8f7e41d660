"""Ballot numbers, and the state that an acceptor stores for one key. Pure.

Both types are named tuples. A row is stored as the JSON list ``[promised, accepted, value]`` and a ballot as
``[counter, proposer]``. Ballots compare by counter first and then by proposer, as CASPaxos requires.

Source: D. Rystsov, "CASPaxos: Replicated State Machines without logs", arXiv:1802.07000.
"""

from __future__ import annotations

from typing import NamedTuple

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Sequence

    from honeywood.gateway.register.json_value import JsonValue


class Ballot(NamedTuple):
    """The ballot number of one attempt of one proposer to change a key; the higher ballot wins."""

    counter: int
    proposer: str


NO_BALLOT = Ballot(0, "")


class Row(NamedTuple):
    """The highest promised ballot, the ballot under which the value was accepted, and the value."""

    promised: Ballot = NO_BALLOT
    accepted: Ballot = NO_BALLOT
    value: JsonValue = None


EMPTY_ROW = Row()


def row_from_json(stored: Sequence[JsonValue]) -> Row:
    """Return the row that is stored as a JSON list."""
    promised, accepted, value = stored
    return Row(Ballot(*promised), Ballot(*accepted), value)
