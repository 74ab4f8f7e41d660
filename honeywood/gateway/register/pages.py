"""Splits long responses into pages that a slow link can carry within one request's timeout. Pure.

The caller sends the position up to which it has a response, and receives the next page of the same response.
Each page has a checksum, and the complete response has a digest. A response that the sender no longer keeps
is sent again from the first page.
"""

from __future__ import annotations

import json
import zlib
from dataclasses import dataclass
from typing import NamedTuple

from honeywood.gateway.register.message_fields import MessageFields
from honeywood.gateway.rpc.text_chunks import PartialText, TextChunk, text_digest

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Hashable

    from honeywood.gateway.register.json_value import JsonValue

PAGE_CHARACTERS = 1 << 14
"""The size of a page; it takes 0.55 s at 30,000 B/s, which is within the timeout of a request."""

MAX_OPEN_RESPONSES = 8
"""How many responses are kept; the oldest one is discarded beyond that."""

RESPONSE_TTL_S = 10.0
"""How long a response is kept after its first page was sent."""

PAGE_FIELD = "part"
"""The field that only a page has, with its text; a message without it is a complete response."""


class PagePosition(NamedTuple):
    """The position in a response: its digest, and the number of characters already received."""

    digest: str
    characters: int


@dataclass(frozen=True, slots=True)
class Page:
    """A chunk of a response's text, with its checksum."""

    chunk: TextChunk
    checksum: int

    @classmethod
    def from_response(cls, digest: str, response: str, start: int) -> Page:
        """Return the page of a response's text that begins at `start`."""
        chunk = TextChunk.cut(response, digest, start, PAGE_CHARACTERS)
        return cls(chunk, zlib.crc32(chunk.text.encode()))

    @property
    def is_intact(self) -> bool:
        """Whether the text matches its checksum."""
        return zlib.crc32(self.chunk.text.encode()) == self.checksum

    def encode(self) -> dict[str, JsonValue]:
        """Return the JSON form."""
        return {
            PAGE_FIELD: self.chunk.text,
            "at": self.chunk.offset,
            "of": self.chunk.length,
            "mark": self.chunk.digest,
            "sum": self.checksum,
        }

    @classmethod
    def decode(cls, fields: MessageFields) -> Page:
        """Read a page from the fields of a message."""
        offset, length = fields.take("at", int, least=0), fields.take("of", int, least=0)
        text, digest = fields.take(PAGE_FIELD, str), fields.take("mark", str)
        return cls(TextChunk(digest, length, offset, text), fields.take("sum", int))


@dataclass(frozen=True, slots=True)
class _OpenResponse:
    started_at: float
    digest: str
    text: str


class PageSender:
    """The responses that are being sent, by the key of their call."""

    def __init__(self) -> None:
        """Start without responses."""
        self.open: dict[Hashable, _OpenResponse] = {}

    def next_page(self, now: float, call_key: Hashable, position: PagePosition | None) -> Page | None:
        """Return the page that follows `position`, or None if its response isn't kept or has expired."""
        response = self.open.get(call_key)
        if response is None or position is None or position.digest != response.digest:
            return None
        if now - response.started_at > RESPONSE_TTL_S:
            return None
        return Page.from_response(response.digest, response.text, position.characters)

    def start(self, now: float, call_key: Hashable, response: JsonValue) -> Page | None:
        """Return the first page of a long response, or None for one short enough to be sent complete."""
        text = json.dumps(response, separators=(",", ":"))
        if len(text) <= PAGE_CHARACTERS:
            return None
        self.open.pop(call_key, None)
        digest = text_digest(text)
        self.open[call_key] = _OpenResponse(now, digest, text)
        _discard_oldest(self.open)
        return Page.from_response(digest, text, 0)


class PageReceiver:
    """The responses that are being received, by the key of their call."""

    def __init__(self) -> None:
        """Start without responses."""
        self.open: dict[Hashable, PartialText] = {}

    def position(self, call_key: Hashable) -> PagePosition | None:
        """Return the position up to which a response has been received, or None if nothing has been."""
        partial = self.open.get(call_key)
        return None if partial is None else PagePosition(partial.digest, len(partial.text))

    def add(
        self, call_key: Hashable, response: dict[str, JsonValue], peer: str = ""
    ) -> dict[str, JsonValue] | None:
        """Add a response or a page of one; return the response once it is complete, else None.

        A page that is damaged, or doesn't start where the previous one ended, is ignored. A first page
        replaces what was received before. Raises InvalidMessage if the fields of a page are invalid.
        """
        if PAGE_FIELD not in response:
            self.open.pop(call_key, None)
            return response
        page = Page.decode(MessageFields(response, "page of a response", peer))
        if not page.is_intact:
            return None
        partial = self.open.get(call_key)
        if page.chunk.offset == 0:
            partial = PartialText(page.chunk.digest)
        elif partial is None or not partial.is_continued_by(page.chunk):
            return None
        partial = self.open[call_key] = partial.extended(page.chunk)
        _discard_oldest(self.open)
        if len(partial.text) < page.chunk.length:
            return None
        del self.open[call_key]
        complete: dict[str, JsonValue] | None = json.loads(partial.text) if partial.is_intact else None
        return complete


def _discard_oldest(responses: dict[Hashable, JsonValue]) -> None:
    while len(responses) > MAX_OPEN_RESPONSES:
        del responses[next(iter(responses))]
