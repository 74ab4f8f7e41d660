"""Deltas between two versions of a long text, for receivers that have the old one.

Both versions are split into segments at SEPARATOR, which ends the objects of a JSON text. A delta lists the
segments of the new version: a range of the old version's segments, or the text of a new one. It names the
digests of both versions, so a receiver detects that it lacks the old one or that the result differs.
This module performs no I/O.
"""

from __future__ import annotations

import json
from _blake2 import blake2b  # importing hashlib would load OpenSSL
from dataclasses import dataclass

from honeywood.gateway.configuration.check import need, read_json
from honeywood.gateway.configuration.packing import MAX_UNPACKED_BYTES, pack, unpack
from honeywood.gateway.dissemination.record import PATH
from honeywood.gateway.errors import InvalidInput, InvalidMessage

TYPE_CHECKING = False
if TYPE_CHECKING:
    from typing import TypeAlias

SEPARATOR = b"}"
DIGEST_BYTES = 16
WHERE = f"{PATH}: delta"


@dataclass(frozen=True, slots=True)
class SegmentRange:
    """The `count` segments of the old version that begin with the one at index `start`."""

    start: int
    count: int

    @property
    def end(self) -> int:
        """The index after the last segment of the range."""
        return self.start + self.count


if TYPE_CHECKING:
    Operation: TypeAlias = SegmentRange | str
    """Segments of the old version, or the text of one new segment."""


def content_digest(content: bytes) -> str:
    """Return the digest that identifies a version."""
    return blake2b(content, digest_size=DIGEST_BYTES).hexdigest()


@dataclass(frozen=True, slots=True)
class Delta:
    """The operations that produce the version with digest `result` from the one with digest `base`."""

    base: str
    result: str
    operations: tuple[Operation, ...]

    @classmethod
    def between(cls, base: bytes, result: bytes) -> Delta:
        """Return the delta that produces `result` from `base`; both are UTF-8."""
        operations = _operations(base.split(SEPARATOR), result.split(SEPARATOR))
        return cls(content_digest(base), content_digest(result), operations)

    def apply(self, base: bytes) -> bytes:
        """Return the new version.

        Raises InvalidMessage if `base` is another text, or if the result differs or is longer than
        MAX_UNPACKED_BYTES.
        """
        if content_digest(base) != self.base:
            raise InvalidMessage(WHERE, "it is for another base")
        base_segments, segments, size = base.split(SEPARATOR), [], 0
        for operation in self.operations:
            if isinstance(operation, str):
                added = [operation.encode()]
            else:
                added = base_segments[operation.start : operation.end]
            size += sum(len(segment) + len(SEPARATOR) for segment in added)
            if size > MAX_UNPACKED_BYTES:
                raise InvalidMessage(WHERE, "the result is too long")
            segments += added
        result = SEPARATOR.join(segments)
        if content_digest(result) != self.result:
            raise InvalidMessage(WHERE, "the result has another digest")
        return result

    def encode(self) -> str:
        """Return the compressed text in which a delta is sent."""
        operations = [
            operation if isinstance(operation, str) else [operation.start, operation.count]
            for operation in self.operations
        ]
        table = {"base": self.base, "result": self.result, "operations": operations}
        return pack(json.dumps(table, separators=(",", ":")).encode())

    @classmethod
    def decode(cls, text: str, peer: str = "") -> Delta:
        """Decode a delta; raises InvalidMessage, which names the field and the peer."""
        try:
            table = read_json(unpack(text, peer), WHERE, peer)
            operations = need(table, "operations", list, WHERE, peer=peer)
            base, result = (need(table, name, str, WHERE, peer=peer) for name in ("base", "result"))
        except InvalidInput as error:
            raise InvalidMessage(WHERE, error.reason, peer) from None
        return cls(base, result, tuple(_decode_operation(operation, peer) for operation in operations))


def _operations(base: list[bytes], result: list[bytes]) -> tuple[Operation, ...]:
    """Return the operations that produce the segments `result` from the segments `base`."""
    indexes = {segment: index for index, segment in reversed(list(enumerate(base)))}
    operations: list[Operation] = []
    start = end = 0  # the range of the base that the latest segments repeat
    for segment in result:
        if start < end < len(base) and base[end] == segment:
            end += 1
            continue
        if start < end:
            operations.append(SegmentRange(start, end - start))
        start = indexes.get(segment, -1)
        end = start + 1
        if start < 0:
            start = end
            operations.append(segment.decode())
    if start < end:
        operations.append(SegmentRange(start, end - start))
    return tuple(operations)


def _decode_operation(value: object, peer: str) -> Operation:
    if isinstance(value, str):
        return value
    if isinstance(value, list) and len(value) == 2 and all(type(number) is int for number in value):
        start, count = value
        if start >= 0 and count > 0:
            return SegmentRange(start, count)
    raise InvalidMessage(WHERE, "operations must be texts, or a start and a count of segments", peer)
