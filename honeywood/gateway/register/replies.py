"""What an acceptor answers to the requests of requests.py, each with one encode and one decode. Pure.

`lives` says how often each disk has begun anew, as far as the sender knows, where that was more than once.
"""

from dataclasses import dataclass, field
from typing import Any, ClassVar

from honeywood.gateway.register.fields import Fields
from honeywood.gateway.register.row import Ballot, Row
from honeywood.gateway.register.values import ValueChunk, decode_carried, encode_carried


@dataclass(frozen=True, slots=True)
class RowView:
    """What a read is told of a row; `sure` where it counts as accepted on this disk. The value is left out
    where whoever asks has it."""

    accepted: Ballot
    value: Any
    sure: bool

    def encode(self):
        """As JSON."""
        return {"accepted": self.accepted, "value": encode_carried(self.value), "sure": self.sure}

    @classmethod
    def decode(cls, fields):
        """The row that fields of a message show."""
        return cls(fields.ballot("accepted"), decode_carried(fields), fields.take("sure", bool))


@dataclass(frozen=True, slots=True)
class Promise:
    """No ballot below this one is taken from now on; what was accepted before."""

    accepted: Ballot
    value: Any
    lives: dict = field(default_factory=dict)
    ok: ClassVar = True
    kind: ClassVar = "promise"

    def encode(self):
        """As JSON."""
        return {"accepted": self.accepted, "value": encode_carried(self.value), "lives": self.lives}

    @classmethod
    def decode(cls, fields):
        """The reply in fields of a message."""
        return cls(fields.ballot("accepted"), decode_carried(fields), fields.lives())


@dataclass(frozen=True, slots=True)
class BallotConflict:
    """A higher ballot has been promised."""

    promised: Ballot
    lives: dict = field(default_factory=dict)
    ok: ClassVar = False
    kind: ClassVar = "refusal"

    def encode(self):
        """As JSON."""
        return {"promised": self.promised, "lives": self.lives}

    @classmethod
    def decode(cls, fields):
        """The reply in fields of a message."""
        return cls(fields.ballot("promised"), fields.lives())


@dataclass(frozen=True, slots=True)
class Accepted:
    """The value is on this disk, whole, under the ballot that was asked for."""

    lives: dict = field(default_factory=dict)
    ok: ClassVar = True
    kind: ClassVar = "accepted"

    def encode(self):
        """As JSON."""
        return {"lives": self.lives}

    @classmethod
    def decode(cls, fields):
        """The reply in fields of a message."""
        return cls(fields.lives())


@dataclass(frozen=True, slots=True)
class ValueMissing:
    """Nothing was accepted: of the value that was referred to only `held` characters are here."""

    held: int
    kind: ClassVar = "value wanted"

    def encode(self):
        """As JSON."""
        return {"held": self.held}

    @classmethod
    def decode(cls, fields):
        """The reply in fields of a message."""
        return cls(fields.take("held", int, least=0))


@dataclass(frozen=True, slots=True)
class ChunkStored(ValueMissing):
    """How many characters of a value are here after a part of it came."""

    kind: ClassVar = "chunk held"


@dataclass(frozen=True, slots=True)
class ChunkFetched:
    """A part of a value; None where the value is not here."""

    chunk: ValueChunk | None
    kind: ClassVar = "chunk"

    def encode(self):
        """As JSON."""
        return {"chunk": self.chunk.encode() if self.chunk else None}

    @classmethod
    def decode(cls, fields):
        """The reply in fields of a message."""
        return cls(ValueChunk.decode(fields.within("chunk")) if fields.table.get("chunk") else None)


@dataclass(frozen=True, slots=True)
class Fenced:
    """The step is of an epoch that isn't this disk's, or is over; the configuration it goes by."""

    configuration: dict
    kind: ClassVar = "fenced"

    def encode(self):
        """As JSON."""
        return {"configuration": self.configuration}

    @classmethod
    def decode(cls, fields):
        """The reply in fields of a message."""
        return cls(fields.configuration("configuration"))


@dataclass(frozen=True, slots=True)
class ReadReply:
    """One row."""

    row: RowView
    lives: dict
    kind: ClassVar = "read"

    def encode(self):
        """As JSON."""
        return {"row": self.row.encode(), "lives": self.lives}

    @classmethod
    def decode(cls, fields):
        """The reply in fields of a message."""
        return cls(RowView.decode(fields.within("row")), fields.lives())


@dataclass(frozen=True, slots=True)
class ReadAllReply:
    """All rows, by key."""

    rows: dict
    lives: dict
    kind: ClassVar = "survey"

    def encode(self):
        """As JSON."""
        return {"rows": {key: row.encode() for key, row in self.rows.items()}, "lives": self.lives}

    @classmethod
    def decode(cls, fields):
        """The reply in fields of a message."""
        return cls({key: RowView.decode(row) for key, row in fields.each("rows")}, fields.lives())


@dataclass(frozen=True, slots=True)
class TransferStateReply:
    """All rows with their promises, their values as carried, and the configuration of the one who tells."""

    rows: dict
    lives: dict
    members: dict
    kind: ClassVar = "pull"

    def encode(self):
        """As JSON."""
        rows = {key: row._replace(value=encode_carried(row.value)) for key, row in self.rows.items()}
        return {"rows": rows, "lives": self.lives, "members": self.members}

    @classmethod
    def decode(cls, fields):
        """The reply in fields of a message."""
        inside, rows = fields.within("rows"), {}
        for key in inside.table:
            raw = inside.take(key, list)
            if len(raw) != len(Row._fields):
                raise inside.wrong(f"{key} is no row")
            row = Fields(dict(zip(Row._fields, raw)), f"{inside.kind}.{key}", fields.peer)
            rows[key] = Row(row.ballot("promised"), row.ballot("accepted"), decode_carried(row))
        return cls(rows, fields.lives(), fields.configuration("members"))


@dataclass(frozen=True, slots=True)
class Acknowledged:
    """What was told is noted."""

    kind: ClassVar = "noted"

    def encode(self):
        """As JSON."""
        return {}

    @classmethod
    def decode(cls, fields):
        """The reply in fields of a message."""
        return cls()
