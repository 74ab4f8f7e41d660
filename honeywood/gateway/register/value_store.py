"""Large values in transfer to or from this disk, in memory, by reference. Pure: times are passed in.

Nothing here needs to be durable: a value that is lost with the process is requested and transferred again.
"""

from __future__ import annotations

import json
from dataclasses import dataclass, field

from honeywood.gateway.register.values import CompleteValue, ValueChunk, reference_to

TYPE_CHECKING = False
if TYPE_CHECKING:
    from honeywood.gateway.register.values import ValueReference

MAX_STAGED_VALUES = 4
"""How many values are kept; the least recently used one is discarded beyond that."""

PUSH_INTERVAL_S = 1.0
"""How long after a chunk that a peer pushed the next chunk is expected."""

STAGED_TTL_S = 20.0
"""How long an unused value is kept, so that an abandoned transfer can be resumed where it stopped."""


@dataclass(slots=True)
class StagedValue:
    """A value in transfer: `chunk_texts` hold the `received_characters` that have arrived."""

    reference: ValueReference
    used_at: float
    chunk_texts: list[str] = field(default_factory=list)
    received_characters: int = 0


class ValueStore:
    """Values that are complete or incomplete; all times are in seconds of one monotonic clock."""

    def __init__(self) -> None:
        """Start without values."""
        self.staged: dict[ValueReference, StagedValue] = {}  # least recently used first
        self._pushed: ValueReference | None = None
        self._push_expected_until = 0.0

    def received_characters(self, now: float, reference: ValueReference) -> int:
        """Return how many characters of a value have arrived."""
        self.discard_expired(now)
        staged = self.staged.get(reference)
        return staged.received_characters if staged else 0

    def expect_push(self, now: float, reference: ValueReference) -> None:
        """Record that a peer is pushing a value now."""
        self._pushed = reference
        self._push_expected_until = now + PUSH_INTERVAL_S

    def is_push_expected(self, now: float, reference: ValueReference) -> bool:
        """Return whether a peer is pushing a value, so that it needn't be fetched."""
        return self._pushed == reference and now < self._push_expected_until

    def add(self, now: float, text: str) -> ValueReference:
        """Store a complete value, given its text; return the reference to it."""
        reference = reference_to(text)
        self._put_last(StagedValue(reference, now, [text], len(text)))
        self.discard_expired(now)
        return reference

    def add_chunk(self, now: float, chunk: ValueChunk) -> int:
        """Append an intact chunk that starts where the previous one ended, and ignore any other.

        Returns how many characters of the value have arrived after that. The value is discarded, and 0 is
        returned, if it is complete but does not have the hash in its reference.
        """
        reference = chunk.reference
        staged = self.staged.get(reference) or StagedValue(reference, now)
        if not chunk.is_intact or chunk.start != staged.received_characters:
            return staged.received_characters
        staged.chunk_texts.append(chunk.text)
        staged.received_characters += len(chunk.text)
        staged.used_at = now
        self._put_last(staged)
        self.discard_expired(now)
        if staged.received_characters == reference.length:
            staged.chunk_texts = ["".join(staged.chunk_texts)]
            if reference_to(staged.chunk_texts[0]) != reference:
                del self.staged[reference]
                return 0
        return staged.received_characters

    def text(self, now: float, reference: ValueReference) -> str | None:
        """Return the text of a value, or None if it is incomplete."""
        staged = self.staged.get(reference)
        if staged is None or staged.received_characters < reference.length:
            return None
        staged.used_at = now
        self._put_last(staged)
        return staged.chunk_texts[0]

    def chunk(self, now: float, reference: ValueReference, start: int, size: int) -> ValueChunk | None:
        """Return a chunk of a complete value, or None if the value ends before `start` or is incomplete."""
        text = self.text(now, reference)
        if text is None or start >= len(text):
            return None
        return ValueChunk.from_text(reference, text, start, size)

    def value(self, now: float, reference: ValueReference) -> CompleteValue | None:
        """Return a value, or None if it is incomplete."""
        text = self.text(now, reference)
        return None if text is None else CompleteValue(json.loads(text))

    def remove(self, reference: ValueReference) -> None:
        """Discard a value, because it is on disk now."""
        self.staged.pop(reference, None)

    def _put_last(self, staged: StagedValue) -> None:
        self.staged.pop(staged.reference, None)
        self.staged[staged.reference] = staged

    def discard_expired(self, now: float) -> None:
        """Discard values unused for STAGED_TTL_S, and the least recently used ones beyond the limit."""
        for reference, staged in list(self.staged.items()):
            if now - staged.used_at > STAGED_TTL_S or len(self.staged) > MAX_STAGED_VALUES:
                del self.staged[reference]
