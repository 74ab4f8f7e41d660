"""Splitting a long text into chunks, and reassembling and verifying it at the receiver. No I/O.

Every chunk carries the digest and the length of its text, so a receiver can get the next chunk from any
sender that has the same text. Each kind of message that carries chunks has an encoding for them.
"""

from __future__ import annotations

from _blake2 import blake2b  # importing hashlib would load OpenSSL
from dataclasses import dataclass

DIGEST_BYTES = 16


def text_digest(text: str) -> str:
    """Return the 128-bit digest, in hexadecimal, that identifies a text and its chunks."""
    return blake2b(text.encode(), digest_size=DIGEST_BYTES).hexdigest()


@dataclass(frozen=True, slots=True)
class TextChunk:
    """The part of a text that begins at `offset`; `length` is that of the complete text, in characters."""

    digest: str
    length: int
    offset: int
    text: str

    @classmethod
    def cut(cls, text: str, digest: str, offset: int, max_characters: int) -> TextChunk:
        """Return the chunk of `text` that begins at `offset`, with up to `max_characters`."""
        return cls(digest, len(text), offset, text[offset : offset + max_characters])

    @property
    def is_complete(self) -> bool:
        """Whether the chunk has the complete text."""
        return self.offset == 0 and len(self.text) == self.length


@dataclass(frozen=True, slots=True)
class PartialText:
    """The beginning of a text, as far as it has been received."""

    digest: str
    text: str = ""

    def is_continued_by(self, chunk: TextChunk) -> bool:
        """Return whether `chunk` belongs to this text and begins where the received part ends."""
        return (chunk.digest, chunk.offset) == (self.digest, len(self.text))

    def extended(self, chunk: TextChunk) -> PartialText:
        """Return this text with `chunk` appended."""
        return PartialText(self.digest, self.text + chunk.text)

    @property
    def is_intact(self) -> bool:
        """Whether the text is complete and equal to the sender's, by its digest."""
        return text_digest(self.text) == self.digest
