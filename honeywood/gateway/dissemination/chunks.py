"""Transfer of records in chunks, for records that are too long for one response.

The receiver reports how much of which value it has, and the peer that it polls next continues there. A value
is accepted only if its length and digest are those that were announced. Chunks may also carry a delta
(delta.py), from which the value is restored at the end. This module performs no I/O.
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
    from collections.abc import Callable, Mapping

    from honeywood.gateway.dissemination.record import JsonValue

CHUNK_FIELD = "piece"  # the field of a response that carries a chunk


@dataclass(frozen=True, slots=True)
class Chunk:
    """A chunk of the JSON text of a record's value, or of the text of a delta that produces the value."""

    key: str
    stamp: Stamp
    content: TextChunk
    is_delta: bool = False

    def encode(self) -> dict[str, JsonValue]:
        """Returns the chunk as it appears in a response."""
        table: dict[str, JsonValue] = {
            "key": self.key,
            "stamp": self.stamp.encode(),
            "mark": self.content.digest,
            "of": self.content.length,
            "at": self.content.offset,
            "text": self.content.text,
        }
        return {**table, "delta": True} if self.is_delta else table

    @classmethod
    def decode(cls, table: dict[str, object], peer: str = "") -> Chunk:
        """Decodes a chunk; raises InvalidMessage, which names the field and the peer."""
        where = f"{PATH}: {CHUNK_FIELD}"
        key = need(table, "key", str, where, peer=peer)
        stamp = Stamp.decode(table.get("stamp"), f"{CHUNK_FIELD}: stamp", peer)
        content = TextChunk(
            digest=need(table, "mark", str, where, peer=peer),
            length=need(table, "of", int, where, least=0, peer=peer),
            offset=need(table, "at", int, where, least=0, peer=peer),
            text=need(table, "text", str, where, peer=peer),
        )
        return cls(key, stamp, content, need(table, "delta", bool, where, False, peer=peer))


@dataclass(frozen=True, slots=True)
class ChunkProgress:
    """How many characters a receiver has of which value."""

    stamp: Stamp
    digest: str
    received: int

    def encode(self) -> list[JsonValue]:
        """Returns the progress as it appears in a request: [stamp, digest, characters]."""
        return [self.stamp.encode(), self.digest, self.received]

    @classmethod
    def decode(cls, value: object, peer: str = "") -> ChunkProgress:
        """Decodes progress; raises InvalidMessage, which names the field and the peer."""
        if not (isinstance(value, list) and len(value) == 3 and type(value[2]) is int and value[2] >= 0):
            raise InvalidMessage(PATH, "have must be lists of stamp, mark and characters by key", peer)
        stamp, digest, received = value
        return cls(Stamp.decode(stamp, "have: stamp", peer), digest, received)


@dataclass(frozen=True, slots=True)
class PartialValue:
    """The text of a record's value as far as it has been received."""

    stamp: Stamp
    content: PartialText

    def is_replaced_by(self, chunk: Chunk) -> bool:
        """Whether a chunk belongs to a newer value, or to a different one with the same stamp."""
        is_other = chunk.content.digest != self.content.digest
        return chunk.stamp > self.stamp or (chunk.stamp == self.stamp and is_other)

    def is_continued_by(self, chunk: Chunk) -> bool:
        """Whether a chunk begins where this text ends."""
        return chunk.stamp == self.stamp and self.content.is_continued_by(chunk.content)


def restore_nothing(key: str, delta_text: str) -> JsonValue:
    """Returns None; the default of `restore`, for receivers that accept no deltas."""
    return None


class ChunkAssembler:
    """Assembles values from chunks; keeps at most one incomplete value per key, the newest one."""

    def __init__(self, restore: Callable[[str, str], JsonValue] = restore_nothing) -> None:
        """Initially there is no incomplete value.

        `restore(key, delta_text)` returns the value that a delta produces, or None if it can't be applied.
        """
        self.partial: dict[str, PartialValue] = {}
        self._restore = restore

    def progress(self) -> dict[str, ChunkProgress]:
        """Returns how much of each incomplete value has been received, by key."""
        return {
            key: ChunkProgress(partial.stamp, partial.content.digest, len(partial.content.text))
            for key, partial in self.partial.items()
        }

    def drop_superseded(self, known_stamps: Mapping[str, Stamp]) -> None:
        """Drops incomplete values that are not newer than those that the receiver has, by their stamps."""
        for key, stamp in known_stamps.items():
            if key in self.partial and self.partial[key].stamp <= stamp:
                del self.partial[key]

    def add(self, chunk: Chunk) -> Record | None:
        """Adds a chunk; returns the record once it is complete, None otherwise.

        The first chunk of a newer value replaces the incomplete older one. Any other chunk that does not
        continue the incomplete value is ignored, unless it has a complete value. A value with a wrong length
        or digest is discarded, and so is a delta that can't be applied.
        """
        partial = self.partial.get(chunk.key)
        if chunk.content.is_complete and partial is not None and chunk.stamp < partial.stamp:
            return self._decode(chunk, PartialText(chunk.content.digest).extended(chunk.content))
        if chunk.content.offset == 0 and (partial is None or partial.is_replaced_by(chunk)):
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
        return self._decode(chunk, content)

    def _decode(self, chunk: Chunk, content: PartialText) -> Record | None:
        """Returns the record with this text, of which `chunk` is the last part; None if it is invalid."""
        if len(content.text) > chunk.content.length or not content.is_intact:
            return None
        value = self._restore(chunk.key, content.text) if chunk.is_delta else json.loads(content.text)
        return None if value is None else Record(chunk.key, chunk.stamp, value)
