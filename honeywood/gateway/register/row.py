"""What one disk holds of one key, and the ballots that order its changes. Pure.

Both are tuples, so a row is written to disk as the JSON list [promised, accepted, value] that it always was,
and ballots compare as CASPaxos wants: by count, then by the proposer's name.
"""

from typing import Any, NamedTuple


class Ballot(NamedTuple):
    """One proposer's attempt; the higher ballot wins."""

    count: int
    name: str


NO_BALLOT = Ballot(0, "")


class Row(NamedTuple):
    """The highest ballot `promised`, the one under which `value` was `accepted`, and the value itself."""

    promised: Ballot = NO_BALLOT
    accepted: Ballot = NO_BALLOT
    value: Any = None


EMPTY_ROW = Row()


def row_from_disk(raw):
    """The row that the JSON list on disk stands for."""
    promised, accepted, value = raw
    return Row(Ballot(*promised), Ballot(*accepted), value)
