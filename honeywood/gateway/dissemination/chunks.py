"""Records that are too long for one response, in chunks. Pure.

The receiver says how much of which value it has; whichever peer it polls next continues there. The value is
taken only when its length and digest are those that were announced.
"""

from __future__ import annotations

import json
from dataclasses import dataclass

from honeywood.gateway.configuration.check import need
from honeywood.gateway.dissemination.record import PATH, Record, Stamp
from honeywood.gateway.errors import InvalidMessage
from honeywood.gateway.rpc.text_chunks import PartialText, TextChunk

TYPE_CHECKING = False
if TYPE_CHECKING:
    from honeywood.gateway.dissemination.record import JsonValue

FIELD = "piece"  # of a response that carries a chunk


@dataclass(frozen=True, slots=True)
class Chunk:
    """A chunk of the JSON text of a record's value."""

    key: str
    stamp: Stamp
    content: TextChunk

    def encode(self) -> dict[str, JsonValue]:
        """The chunk in a response."""
        return {
            "key": self.key,
            "stamp": self.stamp.encode(),
            "mark": self.content.digest,
            "of": self.content.length,
            "at": self.content.offset,
            "text": self.content.text,
        }

    @classmethod
    def decode(cls, table: dict[str, object], peer: str = "") -> Chunk:
        """A chunk out of a response; raises InvalidMessage that names field and peer."""
        where = f"{PATH}: {FIELD}"
        key = need(table, "key", str, where, peer=peer)
        stamp = Stamp.decode(table.get("stamp"), f"{FIELD}: stamp", peer)
        content = TextChunk(
            digest=need(table, "mark", str, where, peer=peer),
            length=need(table, "of", int, where, least=0, peer=peer),
            offset=need(table, "at", int, where, least=0, peer=peer),
            text=need(table, "text", str, where, peer=peer),
        )
        return cls(key, stamp, content)


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
            raise InvalidMessage(PATH, "have must be lists of stamp, mark and characters by key", peer)
        stamp, digest, received = value
        return cls(Stamp.decode(stamp, "have: stamp", peer), digest, received)


@dataclass(frozen=True, slots=True)
class PartialValue:
    """The text of a record's value up to where it has been received."""

    stamp: Stamp
    content: PartialText

    def is_older_than(self, chunk: Chunk) -> bool:
        """Whether a chunk is of a newer value, or of another one with the same stamp."""
        is_other = chunk.content.digest != self.content.digest
        return chunk.stamp > self.stamp or (chunk.stamp == self.stamp and is_other)

    def is_continued_by(self, chunk: Chunk) -> bool:
        """Whether a chunk begins where this text ends."""
        return chunk.stamp == self.stamp and self.content.is_continued_by(chunk.content)


class ChunkAssembler:
    """Values of which chunks have come: at most one a key, the newest that was begun."""

    def __init__(self) -> None:
        """No value has been begun."""
        self.partial: dict[str, PartialValue] = {}

    def progress(self) -> dict[str, ChunkProgress]:
        """What has been received, by key."""
        return {
            key: ChunkProgress(partial.stamp, partial.content.digest, len(partial.content.text))
            for key, partial in self.partial.items()
        }

    def add(self, chunk: Chunk) -> Record | None:
        """Takes a chunk and returns the record once it is complete.

        The first chunk of a newer value replaces what was received of an older one; any other chunk that
        doesn't continue what is there changes nothing.
        """
        partial = self.partial.get(chunk.key)
        if chunk.content.offset == 0 and (partial is None or partial.is_older_than(chunk)):
            content = PartialText(chunk.content.digest)
        elif partial is not None and partial.is_continued_by(chunk):
            content = partial.content
        else:
            return None
        content = content.extended(chunk.content)
        if len(content.text) < chunk.content.length:
            self.partial[chunk.key] = PartialValue(chunk.stamp, content)
            return None
        self.partial.pop(chunk.key, None)
        if len(content.text) > chunk.content.length or not content.is_intact:
            return None
        return Record(chunk.key, chunk.stamp, json.loads(content.text))
