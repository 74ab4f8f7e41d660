"""What an acceptor replies to the requests of requests.py, each reply with its JSON form. Pure.

`incarnations` are those that the sender knows of, by the address of the disk, where they are later than the
first (see incarnations.py).
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

from honeywood.gateway.register.membership_configuration import MembershipConfiguration
from honeywood.gateway.register.values import ValueChunk, decode_carried, encode_carried

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Mapping
    from typing import TypeAlias

    from honeywood.gateway.register.json_value import JsonValue
    from honeywood.gateway.register.message_fields import MessageFields
    from honeywood.gateway.register.row import Ballot
    from honeywood.gateway.register.values import CarriedValue

    Reply: TypeAlias = (
        "Promise | BallotConflict | Accepted | ValueMissing | ChunkStored | ChunkFetched | Fenced | ReadReply"
        " | ReadAllReply | TransferStateReply | Acknowledged"
    )


class TransferredRow(NamedTuple):
    """A row of another disk, with its value as a message carries it."""

    promised: Ballot
    accepted: Ballot
    value: CarriedValue

    def encode(self) -> list[JsonValue]:
        """Return the JSON form, a list as rows are stored."""
        return [self.promised, self.accepted, encode_carried(self.value)]

    @classmethod
    def decode(cls, fields: MessageFields) -> TransferredRow:
        """Return the row in fields of the names of this one's."""
        return cls(fields.ballot("promised"), fields.ballot("accepted"), decode_carried(fields))


@dataclass(frozen=True, slots=True)
class RowView:
    """A row as a read sees it; the value is left out where the reader has it.

    `counts_as_accepted` tells whether it may count as accepted on this disk (see acceptor.py).
    """

    accepted: Ballot
    value: CarriedValue
    counts_as_accepted: bool

    def encode(self) -> dict[str, JsonValue]:
        """Return the JSON form."""
        value = encode_carried(self.value)
        return {"accepted": self.accepted, "value": value, "sure": self.counts_as_accepted}

    @classmethod
    def decode(cls, fields: MessageFields) -> RowView:
        """Return the view in the fields of a message."""
        return cls(fields.ballot("accepted"), decode_carried(fields), fields.take("sure", bool))


@dataclass(frozen=True, slots=True)
class Promise:
    """No ballot below this one will be accepted; what was accepted before."""

    accepted: Ballot
    value: CarriedValue
    incarnations: Mapping[str, int] = field(default_factory=dict)
    kind = "promise"

    def encode(self) -> dict[str, JsonValue]:
        """Return the JSON form."""
        value = encode_carried(self.value)
        return {"accepted": self.accepted, "value": value, "lives": self.incarnations}

    @classmethod
    def decode(cls, fields: MessageFields) -> Promise:
        """Return the reply in the fields of a message."""
        return cls(fields.ballot("accepted"), decode_carried(fields), fields.incarnations())


@dataclass(frozen=True, slots=True)
class BallotConflict:
    """The request's ballot is rejected: `promised` has been promised."""

    promised: Ballot
    incarnations: Mapping[str, int] = field(default_factory=dict)
    kind = "refusal"

    def encode(self) -> dict[str, JsonValue]:
        """Return the JSON form."""
        return {"promised": self.promised, "lives": self.incarnations}

    @classmethod
    def decode(cls, fields: MessageFields) -> BallotConflict:
        """Return the reply in the fields of a message."""
        return cls(fields.ballot("promised"), fields.incarnations())


@dataclass(frozen=True, slots=True)
class Accepted:
    """The complete value is on this disk, under the request's ballot."""

    incarnations: Mapping[str, int] = field(default_factory=dict)
    kind = "accepted"

    def encode(self) -> dict[str, JsonValue]:
        """Return the JSON form."""
        return {"lives": self.incarnations}

    @classmethod
    def decode(cls, fields: MessageFields) -> Accepted:
        """Return the reply in the fields of a message."""
        return cls(fields.incarnations())


@dataclass(frozen=True, slots=True)
class ValueMissing:
    """Nothing was accepted: of the value that was referred to only `received_characters` are here."""

    received_characters: int
    kind = "value wanted"

    def encode(self) -> dict[str, JsonValue]:
        """Return the JSON form."""
        return {"held": self.received_characters}

    @classmethod
    def decode(cls, fields: MessageFields) -> ValueMissing:
        """Return the reply in the fields of a message."""
        return cls(fields.take("held", int, least=0))


@dataclass(frozen=True, slots=True)
class ChunkStored:
    """How many characters of a value are here after a chunk of it was received."""

    received_characters: int
    kind = "chunk held"

    def encode(self) -> dict[str, JsonValue]:
        """Return the JSON form."""
        return {"held": self.received_characters}

    @classmethod
    def decode(cls, fields: MessageFields) -> ChunkStored:
        """Return the reply in the fields of a message."""
        return cls(fields.take("held", int, least=0))


@dataclass(frozen=True, slots=True)
class ChunkFetched:
    """A chunk of a value; None where the value isn't here."""

    chunk: ValueChunk | None
    kind = "chunk"

    def encode(self) -> dict[str, JsonValue]:
        """Return the JSON form."""
        return {"chunk": self.chunk.encode() if self.chunk else None}

    @classmethod
    def decode(cls, fields: MessageFields) -> ChunkFetched:
        """Return the reply in the fields of a message."""
        return cls(ValueChunk.decode(fields.object("chunk")) if fields.get("chunk") else None)


@dataclass(frozen=True, slots=True)
class Fenced:
    """The request is of an epoch that isn't this disk's, or is over; the configuration to go by."""

    configuration: MembershipConfiguration
    kind = "fenced"

    def encode(self) -> dict[str, JsonValue]:
        """Return the JSON form; released versions sent the successor first."""
        successor = self.configuration.successor
        following = successor and successor.encode_members()
        return {"configuration": {"next": following, **self.configuration.encode_members()}}

    @classmethod
    def decode(cls, fields: MessageFields) -> Fenced:
        """Return the reply in the fields of a message."""
        return cls(MembershipConfiguration.decode(fields.object("configuration")))


@dataclass(frozen=True, slots=True)
class ReadReply:
    """One row."""

    row: RowView
    incarnations: Mapping[str, int]
    kind = "read"

    def encode(self) -> dict[str, JsonValue]:
        """Return the JSON form."""
        return {"row": self.row.encode(), "lives": self.incarnations}

    @classmethod
    def decode(cls, fields: MessageFields) -> ReadReply:
        """Return the reply in the fields of a message."""
        return cls(RowView.decode(fields.object("row")), fields.incarnations())


@dataclass(frozen=True, slots=True)
class ReadAllReply:
    """All rows, by key."""

    rows: Mapping[str, RowView]
    incarnations: Mapping[str, int]
    kind = "survey"

    def encode(self) -> dict[str, JsonValue]:
        """Return the JSON form."""
        rows = {key: row.encode() for key, row in self.rows.items()}
        return {"rows": rows, "lives": self.incarnations}

    @classmethod
    def decode(cls, fields: MessageFields) -> ReadAllReply:
        """Return the reply in the fields of a message."""
        rows = {key: RowView.decode(row) for key, row in fields.objects("rows")}
        return cls(rows, fields.incarnations())


@dataclass(frozen=True, slots=True)
class TransferStateReply:
    """All rows with their promises, by key, and the configuration that the sender goes by."""

    rows: Mapping[str, TransferredRow]
    incarnations: Mapping[str, int]
    configuration: MembershipConfiguration
    kind = "pull"

    def encode(self) -> dict[str, JsonValue]:
        """Return the JSON form."""
        rows = {key: row.encode() for key, row in self.rows.items()}
        return {"rows": rows, "lives": self.incarnations, "members": self.configuration.encode()}

    @classmethod
    def decode(cls, fields: MessageFields) -> TransferStateReply:
        """Return the reply in the fields of a message."""
        stored, names = fields.object("rows"), TransferredRow._fields
        rows = {key: TransferredRow.decode(stored.tuple_fields(key, names, "row")) for key in stored.names()}
        incarnations = fields.incarnations()
        return cls(rows, incarnations, MembershipConfiguration.decode(fields.object("members")))


@dataclass(frozen=True, slots=True)
class Acknowledged:
    """The announced configuration was received."""

    kind = "noted"

    def encode(self) -> dict[str, JsonValue]:
        """Return the JSON form."""
        return {}

    @classmethod
    def decode(cls, fields: MessageFields) -> Acknowledged:
        """Return the reply to an announcement, which has no fields."""
        return cls()
