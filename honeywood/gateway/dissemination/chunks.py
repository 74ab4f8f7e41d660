"""Chunks of records that are too long for one response. Pure.

The receiver says how much of which value it has; whichever peer it polls next continues there. The value is
taken only when its length and digest are those that were announced.
"""

from __future__ import annotations

import json
from _blake2 import blake2b  # hashlib would load OpenSSL
from dataclasses import dataclass

from honeywood.gateway.configuration.check import need
from honeywood.gateway.configuration.outcome import Wrong
from honeywood.gateway.dissemination.record import PATH, Record, Stamp

TYPE_CHECKING = False
if TYPE_CHECKING:
    from honeywood.gateway.dissemination.record import JsonValue

FIELD = "piece"  # of a response that carries a chunk


def text_digest(text: str) -> str:
    """The 128-bit digest of a value's text, which all its chunks repeat."""
    return blake2b(text.encode(), digest_size=16).hexdigest()


@dataclass(frozen=True, slots=True)
class Chunk:
    """Some characters of a value's JSON text, from `offset` on; the whole text has `length` of them."""

    key: str
    stamp: Stamp
    digest: str
    length: int
    offset: int
    text: str

    def encode(self) -> dict[str, JsonValue]:
        """The chunk in a response."""
        return {
            "key": self.key,
            "stamp": self.stamp.encode(),
            "mark": self.digest,
            "of": self.length,
            "at": self.offset,
            "text": self.text,
        }

    @classmethod
    def decode(cls, table: dict[str, object], peer: str = "") -> Chunk:
        """A chunk out of a response; raises InvalidMessage that names field and peer."""
        where = f"{PATH}: {FIELD}"
        return cls(
            key=need(table, "key", str, where, peer=peer),
            stamp=Stamp.decode(table.get("stamp"), f"{FIELD}: stamp", peer),
            digest=need(table, "mark", str, where, peer=peer),
            length=need(table, "of", int, where, least=0, peer=peer),
            offset=need(table, "at", int, where, least=0, peer=peer),
            text=need(table, "text", str, where, peer=peer),
        )


@dataclass(frozen=True, slots=True)
class ChunkProgress:
    """How many characters of which value a receiver has."""

    stamp: Stamp
    digest: str
    received: int

    def encode(self) -> list[JsonValue]:
        """The progress in a request: [stamp, digest, characters]."""
        return [self.stamp.encode(), self.digest, self.received]

    @classmethod
    def decode(cls, value: object, peer: str = "") -> ChunkProgress:
        """Progress out of a request; raises InvalidMessage that names field and peer."""
        if not (isinstance(value, list) and len(value) == 3 and type(value[2]) is int and value[2] >= 0):
            raise Wrong(PATH, "have must be lists of stamp, mark and characters by key", peer)
        stamp, digest, received = value
        return cls(Stamp.decode(stamp, "have: stamp", peer), digest, received)


@dataclass(frozen=True, slots=True)
class PartialValue:
    """The text of a value up to where it has been received."""

    stamp: Stamp
    digest: str
    text: str

    def is_older_than(self, chunk: Chunk) -> bool:
        """Whether a chunk is of a newer value, or of another one with the same stamp."""
        return chunk.stamp > self.stamp or (chunk.stamp == self.stamp and chunk.digest != self.digest)

    def is_continued_by(self, chunk: Chunk) -> bool:
        """Whether a chunk begins where this text ends."""
        continuation = chunk.stamp, chunk.digest, chunk.offset
        return continuation == (self.stamp, self.digest, len(self.text))


class ChunkAssembler:
    """Values of which chunks have come: at most one a key, the newest that was begun."""

    def __init__(self) -> None:
        """No value has been begun."""
        self.partial: dict[str, PartialValue] = {}

    def progress(self) -> dict[str, ChunkProgress]:
        """What has been received, by key."""
        return {
            key: ChunkProgress(partial.stamp, partial.digest, len(partial.text))
            for key, partial in self.partial.items()
        }

    def add(self, chunk: Chunk) -> Record | None:
        """Takes a chunk and returns the record once it is complete.

        The first chunk of a newer value replaces what was received of an older one; any other chunk that
        doesn't continue what is there changes nothing.
        """
        partial = self.partial.get(chunk.key)
        if chunk.offset == 0 and (partial is None or partial.is_older_than(chunk)):
            text = chunk.text
        elif partial is not None and partial.is_continued_by(chunk):
            text = partial.text + chunk.text
        else:
            return None
        if len(text) < chunk.length:
            self.partial[chunk.key] = PartialValue(chunk.stamp, chunk.digest, text)
            return None
        self.partial.pop(chunk.key, None)
        if len(text) > chunk.length or text_digest(text) != chunk.digest:
            return None
        return Record(chunk.key, chunk.stamp, json.loads(text))
