"""Long texts that are sent in chunks: cut by the sender, assembled and verified by the receiver. Pure.

All chunks of one text repeat its digest and length, so a receiver can continue at any sender with the same
text. The messages that carry chunks encode them in their own ways.
"""

from __future__ import annotations

from _blake2 import blake2b  # hashlib would load OpenSSL
from dataclasses import dataclass

DIGEST_BYTES = 16


def text_digest(text: str) -> str:
    """The 128-bit digest by which the chunks of a text belong together."""
    return blake2b(text.encode(), digest_size=DIGEST_BYTES).hexdigest()


@dataclass(frozen=True, slots=True)
class TextChunk:
    """Some characters of a text, from `offset` on; the whole text has `length` of them."""

    digest: str
    length: int
    offset: int
    text: str

    @classmethod
    def cut(cls, text: str, digest: str, offset: int, max_characters: int) -> TextChunk:
        """The chunk of a text from `offset` on."""
        return cls(digest, len(text), offset, text[offset : offset + max_characters])


@dataclass(frozen=True, slots=True)
class PartialText:
    """The beginning of a text, up to where it has been received."""

    digest: str
    text: str = ""

    def is_continued_by(self, chunk: TextChunk) -> bool:
        """Whether a chunk begins where this text ends."""
        return (chunk.digest, chunk.offset) == (self.digest, len(self.text))

    def extended(self, chunk: TextChunk) -> PartialText:
        """The text with a chunk that continues it."""
        return PartialText(self.digest, self.text + chunk.text)

    @property
    def is_intact(self) -> bool:
        """Whether it is a whole text, as the sender had it."""
        return text_digest(self.text) == self.digest
