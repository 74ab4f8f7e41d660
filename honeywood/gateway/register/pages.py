"""Long answers in pages, none longer than a slow link carries in one request's time. Pure.

The asker says how much of an answer it has, and gets the next page of that same answer; all pages together
are one answer that was long on its way. Each page has a checksum, the whole answer a digest. An answer that
is no longer kept starts anew.
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
"""30,000 B/s carry them in 0.55 s, less than a request may take."""

MAX_OPEN_ANSWERS = 8
"""Of more, the oldest is discarded."""

ANSWER_TTL_S = 10.0
"""For which an answer is kept after its first page was sent."""

PAGE_FIELD = "part"
"""The field that tells a page from a complete answer."""


class PagePosition(NamedTuple):
    """How much of an answer is there: its digest and the number of characters."""

    digest: str
    characters: int


@dataclass(frozen=True, slots=True)
class Page:
    """A chunk of an answer's text, with its checksum."""

    chunk: TextChunk
    checksum: int

    @classmethod
    def from_answer(cls, digest: str, answer: str, start: int) -> Page:
        """Return the page of an answer's text from `start` on."""
        chunk = TextChunk.cut(answer, digest, start, PAGE_CHARACTERS)
        return cls(chunk, zlib.crc32(chunk.text.encode()))

    @property
    def is_intact(self) -> bool:
        """Whether the text has its checksum."""
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
        """Return the page in the fields of a message."""
        offset, length = fields.take("at", int, least=0), fields.take("of", int, least=0)
        text, digest = fields.take(PAGE_FIELD, str), fields.take("mark", str)
        return cls(TextChunk(digest, length, offset, text), fields.take("sum", int))


@dataclass(frozen=True, slots=True)
class _OpenAnswer:
    started_at: float
    digest: str
    text: str


class PageSender:
    """Answers that are being sent, by the question to which they are."""

    def __init__(self) -> None:
        """Start with none."""
        self.open: dict[Hashable, _OpenAnswer] = {}

    def next_page(self, now: float, question: Hashable, position: PagePosition | None) -> Page | None:
        """Return the next page for an asker that has got to `position`, None where there is none."""
        answer = self.open.get(question)
        if answer is None or position is None or position.digest != answer.digest:
            return None
        if now - answer.started_at > ANSWER_TTL_S:
            return None
        return Page.from_answer(answer.digest, answer.text, position.characters)

    def start(self, now: float, question: Hashable, answer: JsonValue) -> Page | None:
        """Return the first page of a long answer, None for one that is short enough to be sent whole."""
        text = json.dumps(answer, separators=(",", ":"))
        if len(text) <= PAGE_CHARACTERS:
            return None
        self.open.pop(question, None)
        digest = text_digest(text)
        self.open[question] = _OpenAnswer(now, digest, text)
        _discard_oldest(self.open)
        return Page.from_answer(digest, text, 0)


class PageReceiver:
    """Answers that are being received, by the question to which they are."""

    def __init__(self) -> None:
        """Start with none."""
        self.open: dict[Hashable, PartialText] = {}

    def position(self, question: Hashable) -> PagePosition | None:
        """Return how much of an answer is here, None where nothing is."""
        partial = self.open.get(question)
        return None if partial is None else PagePosition(partial.digest, len(partial.text))

    def add(
        self, question: Hashable, answer: dict[str, JsonValue], peer: str = ""
    ) -> dict[str, JsonValue] | None:
        """Take an answer or a page of one; return the complete answer once it is here.

        A page that is damaged or doesn't start where the last one ended changes nothing; a first page starts
        anew. Raises InvalidMessage for what is no page.
        """
        if PAGE_FIELD not in answer:
            self.open.pop(question, None)
            return answer
        page = Page.decode(MessageFields(answer, "part of an answer", peer))
        if not page.is_intact:
            return None
        partial = self.open.get(question)
        if page.chunk.offset == 0:
            partial = PartialText(page.chunk.digest)
        elif partial is None or not partial.is_continued_by(page.chunk):
            return None
        partial = self.open[question] = partial.extended(page.chunk)
        _discard_oldest(self.open)
        if len(partial.text) < page.chunk.length:
            return None
        del self.open[question]
        complete: dict[str, JsonValue] | None = json.loads(partial.text) if partial.is_intact else None
        return complete


def _discard_oldest(answers: dict[Hashable, JsonValue]) -> None:
    while len(answers) > MAX_OPEN_ANSWERS:
        del answers[next(iter(answers))]
