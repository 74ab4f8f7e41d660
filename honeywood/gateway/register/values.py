"""Values as they travel: a small one inline, a large one by reference to its content hash. Pure.

What must hold: a value is taken for the one of a reference only when its whole text has that hash.
"""

import json
import zlib
from _blake2 import blake2b  # hashlib would bring OpenSSL
from dataclasses import dataclass
from typing import Any

INLINE_CHARACTERS = 2048  # of a value's text; 30,000 B/s carry it in 70 ms, less than a transfer's two calls
LARGEST_CHARACTERS = 8 << 20  # of a value's text; an operator's call is no longer
LARGEST_CHUNK = 1 << 16  # characters
DIGEST_CHARACTERS = 32


@dataclass(frozen=True, slots=True)
class InlineValue:
    """A value that stands in the message itself."""

    value: Any

    def encode(self):
        """As JSON."""
        return {"inline": self.value}


@dataclass(frozen=True, slots=True)
class ValueReference:
    """A value by the hash and the length, in characters, of its text."""

    digest: str
    length: int

    def encode(self):
        """As JSON."""
        return {"digest": self.digest, "length": self.length}

    @classmethod
    def decode(cls, fields):
        """The reference in fields of a message."""
        digest = fields.take("digest", str)
        if len(digest) != DIGEST_CHARACTERS:
            raise fields.wrong("digest has another length")
        return cls(digest, fields.take("length", int, least=1, most=LARGEST_CHARACTERS))


@dataclass(frozen=True, slots=True)
class ValueChunk:
    """A part of a value's text, from the character `start` on."""

    reference: ValueReference
    start: int
    text: str
    checksum: int

    @classmethod
    def cut(cls, reference, text, start, size):
        """The part of `text` from `start` on, of `size` characters at most."""
        part = text[start : start + min(size, LARGEST_CHUNK)]
        return cls(reference, start, part, zlib.crc32(part.encode()))

    @property
    def sound(self):
        """Whether the part is as it was cut, and within its value."""
        end = self.start + len(self.text)
        return 0 < len(self.text) and end <= self.reference.length and self._summed

    @property
    def _summed(self):
        return zlib.crc32(self.text.encode()) == self.checksum

    def encode(self):
        """As JSON."""
        place = {"start": self.start, "text": self.text, "checksum": self.checksum}
        return {**self.reference.encode(), **place}

    @classmethod
    def decode(cls, fields):
        """The chunk in fields of a message; whether it is sound is not looked at."""
        text = fields.take("text", str)
        if len(text) > LARGEST_CHUNK:
            raise fields.wrong("text is too long")
        start, checksum = fields.take("start", int, least=0), fields.take("checksum", int)
        return cls(ValueReference.decode(fields), start, text, checksum)


def text_of(value):
    """The text of a value, the same wherever it is written."""
    return json.dumps(value, sort_keys=True, separators=(",", ":"))


def reference_to(text):
    """The reference to the value of a text."""
    return ValueReference(blake2b(text.encode(), digest_size=DIGEST_CHARACTERS // 2).hexdigest(), len(text))


def carried(value):
    """How a value is carried: None where there is none, Inline where it is small, else a Reference."""
    if value is None:
        return None
    text = text_of(value)
    return InlineValue(value) if len(text) <= INLINE_CHARACTERS else reference_to(text)


def encode_carried(value):
    """As JSON."""
    return None if value is None else value.encode()


def decode_carried(fields, name="value"):
    """What is carried under `name`."""
    if fields.table.get(name) is None:
        return None
    inside = fields.within(name)
    return InlineValue(inside.table["inline"]) if "inline" in inside.table else ValueReference.decode(inside)
