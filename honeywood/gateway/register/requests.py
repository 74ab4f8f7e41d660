"""The requests that one controller sends to another's disk, with their JSON forms. Pure.

Messages of different formats are mutually rejected: the earlier format names its request in the field `op`,
which is not read here, and receivers of that format reject a message without `op`.
"""

from __future__ import annotations

from dataclasses import dataclass

from honeywood.gateway.register import replies
from honeywood.gateway.register.membership_configuration import MembershipConfiguration
from honeywood.gateway.register.message_fields import MESSAGE_FORMAT, MessageFields
from honeywood.gateway.register.values import ValueChunk, ValueReference, decode_carried, encode_carried

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Mapping
    from typing import TypeAlias

    from honeywood.gateway.register.json_value import JsonValue
    from honeywood.gateway.register.row import Ballot
    from honeywood.gateway.register.values import CarriedValue

    Request: TypeAlias = (
        "Prepare | Accept | StoreChunk | FetchChunk | Read | ReadAll | TransferState | AnnounceConfiguration"
    )


@dataclass(frozen=True, slots=True)
class Prepare:
    """Requests the promise not to accept a lower ballot."""

    key: str
    ballot: Ballot
    epoch: int
    step = "prepare"
    reply_types = (replies.Promise, replies.BallotConflict, replies.Fenced)

    def encode(self) -> dict[str, JsonValue]:
        """Return the JSON form."""
        return {"key": self.key, "ballot": self.ballot, "epoch": self.epoch}

    @classmethod
    def decode(cls, fields: MessageFields) -> Prepare:
        """Read the request from the fields of a message."""
        return cls(fields.take("key", str), fields.ballot("ballot"), fields.take("epoch", int))


@dataclass(frozen=True, slots=True)
class Accept:
    """Requests the acceptance of a value, which is carried inline or by reference."""

    key: str
    ballot: Ballot
    epoch: int
    value: CarriedValue
    step = "accept"
    reply_types = (replies.Accepted, replies.BallotConflict, replies.ValueMissing, replies.Fenced)

    def encode(self) -> dict[str, JsonValue]:
        """Return the JSON form."""
        value = encode_carried(self.value)
        return {"key": self.key, "ballot": self.ballot, "epoch": self.epoch, "value": value}

    @classmethod
    def decode(cls, fields: MessageFields) -> Accept:
        """Read the request from the fields of a message."""
        fields.require("value")
        key, ballot, epoch = fields.take("key", str), fields.ballot("ballot"), fields.take("epoch", int)
        return cls(key, ballot, epoch, decode_carried(fields))


@dataclass(frozen=True, slots=True)
class StoreChunk:
    """Sends a chunk of a value that the receiver will be requested to accept."""

    chunk: ValueChunk
    step = "store chunk"
    reply_types = (replies.ChunkStored,)

    def encode(self) -> dict[str, JsonValue]:
        """Return the JSON form."""
        return {"chunk": self.chunk.encode()}

    @classmethod
    def decode(cls, fields: MessageFields) -> StoreChunk:
        """Read the request from the fields of a message."""
        return cls(ValueChunk.decode(fields.object("chunk")))


@dataclass(frozen=True, slots=True)
class FetchChunk:
    """Requests `size` characters of a referenced value, beginning at `start`."""

    value: ValueReference
    start: int
    size: int
    step = "fetch chunk"
    reply_types = (replies.ChunkFetched,)

    def encode(self) -> dict[str, JsonValue]:
        """Return the JSON form."""
        return {"value": self.value.encode(), "start": self.start, "size": self.size}

    @classmethod
    def decode(cls, fields: MessageFields) -> FetchChunk:
        """Read the request from the fields of a message."""
        start, size = fields.take("start", int, least=0), fields.take("size", int, least=1)
        return cls(ValueReference.decode(fields.object("value")), start, size)


@dataclass(frozen=True, slots=True)
class Read:
    """Requests one row; its value is omitted if it was accepted under the ballot `known`."""

    key: str
    known: Ballot
    epoch: int
    step = "read"
    reply_types = (replies.ReadReply, replies.Fenced)

    def encode(self) -> dict[str, JsonValue]:
        """Return the JSON form."""
        return {"key": self.key, "known": self.known, "epoch": self.epoch}

    @classmethod
    def decode(cls, fields: MessageFields) -> Read:
        """Read the request from the fields of a message."""
        return cls(fields.take("key", str), fields.ballot("known"), fields.take("epoch", int))


@dataclass(frozen=True, slots=True)
class ReadAll:
    """Requests all rows; a value is omitted if it was accepted under its key's ballot in `known`."""

    known: Mapping[str, Ballot]
    epoch: int
    step = "survey"
    reply_types = (replies.ReadAllReply, replies.Fenced)

    def encode(self) -> dict[str, JsonValue]:
        """Return the JSON form."""
        return {"known": self.known, "epoch": self.epoch}

    @classmethod
    def decode(cls, fields: MessageFields) -> ReadAll:
        """Read the request from the fields of a message."""
        return cls(fields.ballots("known"), fields.take("epoch", int))


@dataclass(frozen=True, slots=True)
class TransferState:
    """Requests all rows with their promises, for the disk of `ip`.

    Before it replies, the receiver records that disk's `incarnation`, and seals its own epoch if `seal` is
    the configuration that follows it. With `successor_only`, only the row of the successor is requested. A
    value is omitted if it was accepted under its key's ballot in `known`.
    """

    ip: str
    incarnation: int
    known: Mapping[str, Ballot]
    successor_only: bool = False
    seal: MembershipConfiguration | None = None
    step = "pull"
    reply_types = (replies.TransferStateReply,)

    def encode(self) -> dict[str, JsonValue]:
        """Return the JSON form."""
        seal = self.seal and self.seal.encode_members()
        disk = {"ip": self.ip, "life": self.incarnation, "known": self.known}
        return {**disk, "bare": self.successor_only, "seal": seal}

    @classmethod
    def decode(cls, fields: MessageFields) -> TransferState:
        """Read the request from the fields of a message."""
        seal = None
        if fields.has("seal"):
            seal = MembershipConfiguration.decode_members(fields.object("seal"))
        ip, incarnation = fields.take("ip", str), fields.take("life", int, least=1)
        return cls(ip, incarnation, fields.ballots("known"), fields.take("bare", bool), seal)


@dataclass(frozen=True, slots=True)
class AnnounceConfiguration:
    """Announces the newest configuration that the sender knows, without its successor."""

    configuration: MembershipConfiguration
    step = "told"
    reply_types = (replies.Acknowledged,)

    def encode(self) -> dict[str, JsonValue]:
        """Return the JSON form."""
        return {"members": self.configuration.encode_members()}

    @classmethod
    def decode(cls, fields: MessageFields) -> AnnounceConfiguration:
        """Read the request from the fields of a message."""
        return cls(MembershipConfiguration.decode_members(fields.object("members")))


REQUEST_TYPES = (
    Prepare,
    Accept,
    StoreChunk,
    FetchChunk,
    Read,
    ReadAll,
    TransferState,
    AnnounceConfiguration,
)
_TYPE_BY_STEP = {request.step: request for request in REQUEST_TYPES}


def encode_request(request: Request) -> dict[str, JsonValue]:
    """Return the JSON form of a request, as sent."""
    return {"form": MESSAGE_FORMAT, "step": request.step, **request.encode()}


def decode_request(table: Mapping[str, JsonValue], peer: str) -> Request:
    """Return the request that `peer` sent; raise InvalidMessage if it is invalid."""
    fields = MessageFields(table, "request", peer)
    message_format = table.get("form", 1)
    if message_format != MESSAGE_FORMAT:
        expected = f"only form {MESSAGE_FORMAT} is read here: replace all controllers"
        raise fields.error(f"it is of form {message_format!r}, {expected}")
    step = fields.take("step", str)
    if step not in _TYPE_BY_STEP:
        raise fields.error(f"step {step!r} is not known")
    return _TYPE_BY_STEP[step].decode(MessageFields(table, step, peer))


def encode_reply(reply: replies.Reply) -> dict[str, JsonValue]:
    """Return the JSON form of a reply, as sent."""
    return {"reply": reply.kind, **reply.encode()}


def decode_reply(request: Request, table: Mapping[str, JsonValue], peer: str) -> replies.Reply:
    """Return the reply of `peer` to a request.

    Raises InvalidMessage if it is invalid, or not a reply to this type of request.
    """
    fields = MessageFields(table, f"reply to {request.step}", peer)
    kind = fields.take("reply", str)
    for reply in request.reply_types:
        if reply.kind == kind:
            return reply.decode(MessageFields(table, f"{kind} to {request.step}", peer))
    raise fields.error(f"{kind!r} is not a reply to it")
