"""What one controller asks of another's disk, each with one encode and one decode. Pure.

A message of another form is refused whole: one of the earlier form names its step `op`, which is not read
here, and its receivers miss `op` in one of these.
"""

from dataclasses import dataclass
from typing import Any, ClassVar

from honeywood.gateway.register import replies
from honeywood.gateway.register.fields import FORM, Fields
from honeywood.gateway.register.row import Ballot
from honeywood.gateway.register.values import Chunk, Reference, decode_carried, encode_carried


@dataclass(frozen=True, slots=True)
class Prepare:
    """Asks for a promise."""

    key: str
    ballot: Ballot
    epoch: int
    step: ClassVar = "prepare"
    answers: ClassVar = (replies.Promise, replies.Refusal, replies.Fenced)

    def encode(self):
        """As JSON."""
        return {"key": self.key, "ballot": self.ballot, "epoch": self.epoch}

    @classmethod
    def decode(cls, fields):
        """The request in fields of a message."""
        return cls(fields.take("key", str), fields.ballot("ballot"), fields.take("epoch", int))


@dataclass(frozen=True, slots=True)
class Accept:
    """Asks to accept a value, which is carried inline or referred to."""

    key: str
    ballot: Ballot
    epoch: int
    value: Any
    step: ClassVar = "accept"
    answers: ClassVar = (replies.Accepted, replies.Refusal, replies.ValueWanted, replies.Fenced)

    def encode(self):
        """As JSON."""
        place = {"key": self.key, "ballot": self.ballot, "epoch": self.epoch}
        return {**place, "value": encode_carried(self.value)}

    @classmethod
    def decode(cls, fields):
        """The request in fields of a message."""
        if "value" not in fields.table:
            raise fields.wrong("value is missing")
        place = fields.take("key", str), fields.ballot("ballot"), fields.take("epoch", int)
        return cls(*place, decode_carried(fields))


@dataclass(frozen=True, slots=True)
class StoreChunk:
    """Hands over a part of a value that is to be accepted."""

    chunk: Chunk
    step: ClassVar = "store chunk"
    answers: ClassVar = (replies.ChunkHeld,)

    def encode(self):
        """As JSON."""
        return {"chunk": self.chunk.encode()}

    @classmethod
    def decode(cls, fields):
        """The request in fields of a message."""
        return cls(Chunk.decode(fields.within("chunk")))


@dataclass(frozen=True, slots=True)
class FetchChunk:
    """Asks for a part of a value that was told of by reference."""

    value: Reference
    start: int
    size: int
    step: ClassVar = "fetch chunk"
    answers: ClassVar = (replies.ChunkTold,)

    def encode(self):
        """As JSON."""
        return {"value": self.value.encode(), "start": self.start, "size": self.size}

    @classmethod
    def decode(cls, fields):
        """The request in fields of a message."""
        start, size = fields.take("start", int, least=0), fields.take("size", int, least=1)
        return cls(Reference.decode(fields.within("value")), start, size)


@dataclass(frozen=True, slots=True)
class Read:
    """Asks for one row; its value is left out where the ballot is the one that is `known`."""

    key: str
    known: Ballot
    epoch: int
    step: ClassVar = "read"
    answers: ClassVar = (replies.ReadReply, replies.Fenced)

    def encode(self):
        """As JSON."""
        return {"key": self.key, "known": self.known, "epoch": self.epoch}

    @classmethod
    def decode(cls, fields):
        """The request in fields of a message."""
        return cls(fields.take("key", str), fields.ballot("known"), fields.take("epoch", int))


@dataclass(frozen=True, slots=True)
class Survey:
    """Asks for all rows; values are left out where the ballot is the `known` one."""

    known: dict
    epoch: int
    step: ClassVar = "survey"
    answers: ClassVar = (replies.SurveyReply, replies.Fenced)

    def encode(self):
        """As JSON."""
        return {"known": self.known, "epoch": self.epoch}

    @classmethod
    def decode(cls, fields):
        """The request in fields of a message."""
        return cls(fields.ballots("known"), fields.take("epoch", int))


@dataclass(frozen=True, slots=True)
class Pull:
    """Asks for all rows with their promises (`bare`: just who follows), once the `life` of the disk of `ip`
    is noted and the epoch is sealed that the configuration `seal` follows."""

    ip: str
    life: int
    known: dict
    bare: bool = False
    seal: dict | None = None
    step: ClassVar = "pull"
    answers: ClassVar = (replies.PullReply,)

    def encode(self):
        """As JSON."""
        asked = {"ip": self.ip, "life": self.life, "known": self.known}
        return {**asked, "bare": self.bare, "seal": self.seal}

    @classmethod
    def decode(cls, fields):
        """The request in fields of a message."""
        seal = fields.within("seal").successor() if fields.table.get("seal") is not None else None
        asked = fields.take("ip", str), fields.take("life", int, least=1), fields.ballots("known")
        return cls(*asked, fields.take("bare", bool), seal)


@dataclass(frozen=True, slots=True)
class Told:
    """Tells of the newest configuration that is known."""

    members: dict
    step: ClassVar = "told"
    answers: ClassVar = (replies.Noted,)

    def encode(self):
        """As JSON."""
        return {"members": self.members}

    @classmethod
    def decode(cls, fields):
        """The request in fields of a message."""
        return cls(fields.within("members").successor())


REQUESTS = {one.step: one for one in (Prepare, Accept, StoreChunk, FetchChunk, Read, Survey, Pull, Told)}


def encode_request(request):
    """A request as JSON."""
    return {"form": FORM, "step": request.step, **request.encode()}


def decode_request(table, peer):
    """The request of a peer; InvalidMessage where it is of another form, not known, or not sound."""
    fields = Fields(table, "request", peer)
    form = table.get("form", 1)
    if form != FORM:
        raise fields.wrong(f"it is of form {form!r}, only form {FORM} is read here: replace all controllers")
    step = fields.take("step", str)
    if step not in REQUESTS:
        raise fields.wrong(f"step {step!r} is not known")
    return REQUESTS[step].decode(Fields(table, step, peer))


def encode_reply(reply):
    """A reply as JSON."""
    return {"reply": reply.kind, **reply.encode()}


def decode_reply(request, table, peer):
    """The reply of a peer to a request; InvalidMessage where it is none to it, or not sound."""
    kind = Fields(table, f"reply to {request.step}", peer).take("reply", str)
    for answer in request.answers:
        if answer.kind == kind:
            return answer.decode(Fields(table, f"{kind} to {request.step}", peer))
    raise Fields(table, f"reply to {request.step}", peer).wrong(f"{kind!r} is no reply to it")
