"""Values as messages carry them: a small one inline, a large one by reference to its content hash. Pure.

Invariant: a value is taken for the one of a reference only if its complete text has that hash.
"""

from __future__ import annotations

import json
import zlib
from _blake2 import blake2b  # hashlib would bring OpenSSL
from dataclasses import dataclass

TYPE_CHECKING = False
if TYPE_CHECKING:
    from typing import TypeAlias

    from honeywood.gateway.register.json_value import JsonValue
    from honeywood.gateway.register.message_fields import MessageFields

    CarriedValue: TypeAlias = "InlineValue | ValueReference | None"
    """How a message carries a value; None where the key has none, or where the receiver has it."""

MAX_INLINE_CHARACTERS = 2048
"""Of a value's text; 30,000 B/s carry it in 70 ms, less than the two calls of a transfer take."""

MAX_VALUE_CHARACTERS = 8 << 20
"""Of a value's text; an operator's call is no longer."""

MAX_CHUNK_CHARACTERS = 1 << 16
"""Of a chunk's text."""

DIGEST_CHARACTERS = 32
"""Of a digest in hexadecimal digits: 128 bits."""


@dataclass(frozen=True, slots=True)
class InlineValue:
    """A value that stands in the message itself."""

    value: JsonValue

    def encode(self) -> dict[str, JsonValue]:
        """Return the JSON form."""
        return {"inline": self.value}


@dataclass(frozen=True, slots=True)
class CompleteValue:
    """A value that is here; a type of its own, since the value itself may be None."""

    value: JsonValue


@dataclass(frozen=True, slots=True)
class ValueReference:
    """A value by the hash and the length, in characters, of its text."""

    digest: str
    length: int

    def encode(self) -> dict[str, JsonValue]:
        """Return the JSON form."""
        return {"digest": self.digest, "length": self.length}

    @classmethod
    def decode(cls, fields: MessageFields) -> ValueReference:
        """Return the reference in the fields of a message."""
        digest = fields.take("digest", str)
        if len(digest) != DIGEST_CHARACTERS:
            raise fields.error("digest has another length")
        return cls(digest, fields.take("length", int, least=1, most=MAX_VALUE_CHARACTERS))


@dataclass(frozen=True, slots=True)
class ValueChunk:
    """A part of a value's text, from the character `start` on, with its CRC-32."""

    reference: ValueReference
    start: int
    text: str
    checksum: int

    @classmethod
    def from_text(cls, reference: ValueReference, text: str, start: int, size: int) -> ValueChunk:
        """Return the part of a value's `text` from `start` on, of at most `size` characters."""
        part = text[start : start + min(size, MAX_CHUNK_CHARACTERS)]
        return cls(reference, start, part, zlib.crc32(part.encode()))

    @property
    def is_intact(self) -> bool:
        """Whether the text has its checksum and lies within the value."""
        end = self.start + len(self.text)
        return len(self.text) > 0 and end <= self.reference.length and self._has_checksum

    @property
    def _has_checksum(self) -> bool:
        return zlib.crc32(self.text.encode()) == self.checksum

    def encode(self) -> dict[str, JsonValue]:
        """Return the JSON form."""
        part = {"start": self.start, "text": self.text, "checksum": self.checksum}
        return {**self.reference.encode(), **part}

    @classmethod
    def decode(cls, fields: MessageFields) -> ValueChunk:
        """Return the chunk in the fields of a message; it may be damaged."""
        text = fields.take("text", str)
        if len(text) > MAX_CHUNK_CHARACTERS:
            raise fields.error("text is too long")
        start = fields.take("start", int, least=0)
        checksum = fields.take("checksum", int)
        return cls(ValueReference.decode(fields), start, text, checksum)


def canonical_text(value: JsonValue) -> str:
    """Return the text of a value, the same wherever it is written."""
    return json.dumps(value, sort_keys=True, separators=(",", ":"))


def reference_to(text: str) -> ValueReference:
    """Return the reference to the value with that text."""
    digest = blake2b(text.encode(), digest_size=DIGEST_CHARACTERS // 2).hexdigest()
    return ValueReference(digest, len(text))


def carried_form(value: JsonValue) -> CarriedValue:
    """Return how messages carry a value: inline where it is small, else by reference."""
    if value is None:
        return None
    text = canonical_text(value)
    return InlineValue(value) if len(text) <= MAX_INLINE_CHARACTERS else reference_to(text)


def encode_carried(value: CarriedValue) -> JsonValue:
    """Return the JSON form of a carried value."""
    return None if value is None else value.encode()


def decode_carried(fields: MessageFields, name: str = "value") -> CarriedValue:
    """Return the carried value in the field `name` of a message."""
    if not fields.has(name):
        return None
    content = fields.object(name)
    if "inline" in content.names():
        return InlineValue(content.get("inline"))
    return ValueReference.decode(content)
