"""The replies of an acceptor to the requests in requests.py, with their JSON forms. Pure.

The field `incarnations` has all incarnations later than the first that the sender knows, by the address of
the disk (see incarnations.py).
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
    """A row of another disk, with its value in the form in which messages carry it."""

    promised: Ballot
    accepted: Ballot
    value: CarriedValue

    def encode(self) -> list[JsonValue]:
        """Return the JSON form, a list like that of a stored row."""
        return [self.promised, self.accepted, encode_carried(self.value)]

    @classmethod
    def decode(cls, fields: MessageFields) -> TransferredRow:
        """Read a row from fields that have the names of this class's fields."""
        return cls(fields.ballot("promised"), fields.ballot("accepted"), decode_carried(fields))


@dataclass(frozen=True, slots=True)
class RowView:
    """A row in the reply to a read; the value is omitted if the reader has it already.

    `counts_as_accepted` says whether the reader may count the value as accepted on this disk (see
    acceptor.py).
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
        """Read a view from the fields of a message."""
        return cls(fields.ballot("accepted"), decode_carried(fields), fields.take("sure", bool))


@dataclass(frozen=True, slots=True)
class Promise:
    """The disk will accept no lower ballot; carries the ballot and value that it accepted last."""

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
        """Read the reply from the fields of a message."""
        return cls(fields.ballot("accepted"), decode_carried(fields), fields.incarnations())


@dataclass(frozen=True, slots=True)
class BallotConflict:
    """The request's ballot is rejected, because the ballot `promised` has been promised."""

    promised: Ballot
    incarnations: Mapping[str, int] = field(default_factory=dict)
    kind = "refusal"

    def encode(self) -> dict[str, JsonValue]:
        """Return the JSON form."""
        return {"promised": self.promised, "lives": self.incarnations}

    @classmethod
    def decode(cls, fields: MessageFields) -> BallotConflict:
        """Read the reply from the fields of a message."""
        return cls(fields.ballot("promised"), fields.incarnations())


@dataclass(frozen=True, slots=True)
class Accepted:
    """The complete value is stored durably on this disk under the request's ballot."""

    incarnations: Mapping[str, int] = field(default_factory=dict)
    kind = "accepted"

    def encode(self) -> dict[str, JsonValue]:
        """Return the JSON form."""
        return {"lives": self.incarnations}

    @classmethod
    def decode(cls, fields: MessageFields) -> Accepted:
        """Read the reply from the fields of a message."""
        return cls(fields.incarnations())


@dataclass(frozen=True, slots=True)
class ValueMissing:
    """Nothing was accepted: only `received_characters` of the referenced value have arrived so far."""

    received_characters: int
    kind = "value wanted"

    def encode(self) -> dict[str, JsonValue]:
        """Return the JSON form."""
        return {"held": self.received_characters}

    @classmethod
    def decode(cls, fields: MessageFields) -> ValueMissing:
        """Read the reply from the fields of a message."""
        return cls(fields.take("held", int, least=0))


@dataclass(frozen=True, slots=True)
class ChunkStored:
    """The number of characters of a value that have arrived after a chunk was received."""

    received_characters: int
    kind = "chunk held"

    def encode(self) -> dict[str, JsonValue]:
        """Return the JSON form."""
        return {"held": self.received_characters}

    @classmethod
    def decode(cls, fields: MessageFields) -> ChunkStored:
        """Read the reply from the fields of a message."""
        return cls(fields.take("held", int, least=0))


@dataclass(frozen=True, slots=True)
class ChunkFetched:
    """A chunk of a value, or None if the disk doesn't have the value."""

    chunk: ValueChunk | None
    kind = "chunk"

    def encode(self) -> dict[str, JsonValue]:
        """Return the JSON form."""
        return {"chunk": self.chunk.encode() if self.chunk else None}

    @classmethod
    def decode(cls, fields: MessageFields) -> ChunkFetched:
        """Read the reply from the fields of a message."""
        return cls(ValueChunk.decode(fields.object("chunk")) if fields.get("chunk") else None)


@dataclass(frozen=True, slots=True)
class Fenced:
    """The request's epoch is not this disk's epoch, or is over; carries the disk's newest configuration."""

    configuration: MembershipConfiguration
    kind = "fenced"

    def encode(self) -> dict[str, JsonValue]:
        """Return the JSON form; the successor comes first, as in released versions."""
        successor = self.configuration.successor
        following = successor and successor.encode_members()
        return {"configuration": {"next": following, **self.configuration.encode_members()}}

    @classmethod
    def decode(cls, fields: MessageFields) -> Fenced:
        """Read the reply from the fields of a message."""
        return cls(MembershipConfiguration.decode(fields.object("configuration")))


@dataclass(frozen=True, slots=True)
class ReadReply:
    """The view of one row."""

    row: RowView
    incarnations: Mapping[str, int]
    kind = "read"

    def encode(self) -> dict[str, JsonValue]:
        """Return the JSON form."""
        return {"row": self.row.encode(), "lives": self.incarnations}

    @classmethod
    def decode(cls, fields: MessageFields) -> ReadReply:
        """Read the reply from the fields of a message."""
        return cls(RowView.decode(fields.object("row")), fields.incarnations())


@dataclass(frozen=True, slots=True)
class ReadAllReply:
    """The views of all rows, by key."""

    rows: Mapping[str, RowView]
    incarnations: Mapping[str, int]
    kind = "survey"

    def encode(self) -> dict[str, JsonValue]:
        """Return the JSON form."""
        rows = {key: row.encode() for key, row in self.rows.items()}
        return {"rows": rows, "lives": self.incarnations}

    @classmethod
    def decode(cls, fields: MessageFields) -> ReadAllReply:
        """Read the reply from the fields of a message."""
        rows = {key: RowView.decode(row) for key, row in fields.objects("rows")}
        return cls(rows, fields.incarnations())


@dataclass(frozen=True, slots=True)
class TransferStateReply:
    """All rows with their promises, by key, and the sender's configuration."""

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
        """Read the reply from the fields of a message."""
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
        """Return the reply, which has no fields."""
        return cls()
