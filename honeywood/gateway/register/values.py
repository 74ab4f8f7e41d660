"""Values as messages carry them: small ones inline, large ones by reference to a content hash. Pure.

Invariant: a value is used for a reference only if its complete text has the hash in that reference.
"""

from __future__ import annotations

import json
import zlib
from _blake2 import blake2b  # importing hashlib would load OpenSSL
from dataclasses import dataclass

TYPE_CHECKING = False
if TYPE_CHECKING:
    from typing import TypeAlias

    from honeywood.gateway.register.json_value import JsonValue
    from honeywood.gateway.register.message_fields import MessageFields

    CarriedValue: TypeAlias = "InlineValue | ValueReference | None"
    """How a message carries a value; None if the key has no value, or if the receiver has it already."""

MAX_INLINE_CHARACTERS = 2048
"""The longest text of an inline value; it takes 70 ms at 30,000 B/s, less than two calls of a transfer."""

MAX_VALUE_CHARACTERS = 8 << 20
"""The longest text of a value; operators' calls are not longer."""

MAX_CHUNK_CHARACTERS = 1 << 16
"""The longest text of a chunk."""

DIGEST_CHARACTERS = 32
"""The number of hexadecimal digits of a digest, which has 128 bits."""


@dataclass(frozen=True, slots=True)
class InlineValue:
    """A value that is contained in the message itself."""

    value: JsonValue

    def encode(self) -> dict[str, JsonValue]:
        """Return the JSON form."""
        return {"inline": self.value}


@dataclass(frozen=True, slots=True)
class CompleteValue:
    """A value that this disk has; a separate type, since the value itself may be None."""

    value: JsonValue


@dataclass(frozen=True, slots=True)
class ValueReference:
    """A reference to a value by the hash of its text and the text's length in characters."""

    digest: str
    length: int

    def encode(self) -> dict[str, JsonValue]:
        """Return the JSON form."""
        return {"digest": self.digest, "length": self.length}

    @classmethod
    def decode(cls, fields: MessageFields) -> ValueReference:
        """Read a reference from the fields of a message."""
        digest = fields.take("digest", str)
        if len(digest) != DIGEST_CHARACTERS:
            raise fields.error("digest has another length")
        return cls(digest, fields.take("length", int, least=1, most=MAX_VALUE_CHARACTERS))


@dataclass(frozen=True, slots=True)
class ValueChunk:
    """A chunk of a value's text that begins at the character `start`, with its CRC-32."""

    reference: ValueReference
    start: int
    text: str
    checksum: int

    @classmethod
    def from_text(cls, reference: ValueReference, text: str, start: int, size: int) -> ValueChunk:
        """Return the chunk of a value's `text` that begins at `start`, with at most `size` characters."""
        chunk_text = text[start : start + min(size, MAX_CHUNK_CHARACTERS)]
        return cls(reference, start, chunk_text, zlib.crc32(chunk_text.encode()))

    @property
    def is_intact(self) -> bool:
        """Whether the text matches its checksum and lies within the value."""
        end = self.start + len(self.text)
        return len(self.text) > 0 and end <= self.reference.length and self._has_checksum

    @property
    def _has_checksum(self) -> bool:
        return zlib.crc32(self.text.encode()) == self.checksum

    def encode(self) -> dict[str, JsonValue]:
        """Return the JSON form."""
        own_fields = {"start": self.start, "text": self.text, "checksum": self.checksum}
        return {**self.reference.encode(), **own_fields}

    @classmethod
    def decode(cls, fields: MessageFields) -> ValueChunk:
        """Read a chunk, which may be damaged, from the fields of a message."""
        text = fields.take("text", str)
        if len(text) > MAX_CHUNK_CHARACTERS:
            raise fields.error("text is too long")
        start = fields.take("start", int, least=0)
        checksum = fields.take("checksum", int)
        return cls(ValueReference.decode(fields), start, text, checksum)


def canonical_text(value: JsonValue) -> str:
    """Return the canonical JSON text of a value, which is the same on every controller."""
    return json.dumps(value, sort_keys=True, separators=(",", ":"))


def reference_to(text: str) -> ValueReference:
    """Return the reference to the value with this text."""
    digest = blake2b(text.encode(), digest_size=DIGEST_CHARACTERS // 2).hexdigest()
    return ValueReference(digest, len(text))


def carried_form(value: JsonValue) -> CarriedValue:
    """Return the form in which messages carry a value: inline if it is small, else a reference."""
    if value is None:
        return None
    text = canonical_text(value)
    return InlineValue(value) if len(text) <= MAX_INLINE_CHARACTERS else reference_to(text)


def encode_carried(value: CarriedValue) -> JsonValue:
    """Return the JSON form of a carried value."""
    return None if value is None else value.encode()


def decode_carried(fields: MessageFields, name: str = "value") -> CarriedValue:
    """Read a carried value from the field `name` of a message."""
    if not fields.has(name):
        return None
    content = fields.object(name)
    if "inline" in content.names():
        return InlineValue(content.get("inline"))
    return ValueReference.decode(content)
