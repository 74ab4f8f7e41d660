"""Large values on their way to or from this disk, in memory, by reference. Pure: times are passed in.

Nothing relies on what is here: a value that is lost with the process is asked for and transferred again.
"""

from __future__ import annotations

import json
from dataclasses import dataclass, field

from honeywood.gateway.register.values import CompleteValue, ValueChunk, reference_to

TYPE_CHECKING = False
if TYPE_CHECKING:
    from honeywood.gateway.register.values import ValueReference

MAX_STAGED_VALUES = 4
"""Of more, the one that was used longest ago is discarded."""

PUSH_INTERVAL_S = 1.0
"""In which the next chunk of a value that a peer pushes is expected."""

STAGED_TTL_S = 20.0
"""For which an unused value is kept: a transfer that was given up is resumed where it stopped."""


@dataclass(slots=True)
class StagedValue:
    """A value of which `received_characters` are here, in `parts`."""

    reference: ValueReference
    used_at: float
    parts: list[str] = field(default_factory=list)
    received_characters: int = 0


class ValueStore:
    """Values that are complete or are being assembled; all times are seconds of one steady clock."""

    def __init__(self) -> None:
        """Start empty."""
        self.staged: dict[ValueReference, StagedValue] = {}  # in the order of their last use
        self._pushed: ValueReference | None = None
        self._push_expected_until = 0.0

    def received_characters(self, now: float, reference: ValueReference) -> int:
        """Return how many characters of a value are here."""
        self.discard_expired(now)
        staged = self.staged.get(reference)
        return staged.received_characters if staged else 0

    def expect_push(self, now: float, reference: ValueReference) -> None:
        """Note that a peer is pushing a value just now."""
        self._pushed = reference
        self._push_expected_until = now + PUSH_INTERVAL_S

    def is_push_expected(self, now: float, reference: ValueReference) -> bool:
        """Return whether a peer is pushing a value, so that it need not be fetched."""
        return self._pushed == reference and now < self._push_expected_until

    def add(self, now: float, text: str) -> ValueReference:
        """Keep a complete value by its text; return the reference to it."""
        reference = reference_to(text)
        self._keep(StagedValue(reference, now, [text], len(text)))
        self.discard_expired(now)
        return reference

    def add_chunk(self, now: float, chunk: ValueChunk) -> int:
        """Append an intact chunk that starts where the last one ended, and ignore any other.

        Returns how many characters of the value are here then: none where the value is complete and hasn't
        the hash of its reference.
        """
        reference = chunk.reference
        staged = self.staged.get(reference) or StagedValue(reference, now)
        if not chunk.is_intact or chunk.start != staged.received_characters:
            return staged.received_characters
        staged.parts.append(chunk.text)
        staged.received_characters += len(chunk.text)
        staged.used_at = now
        self._keep(staged)
        self.discard_expired(now)
        if staged.received_characters == reference.length:
            staged.parts = ["".join(staged.parts)]
            if reference_to(staged.parts[0]) != reference:
                del self.staged[reference]
                return 0
        return staged.received_characters

    def text(self, now: float, reference: ValueReference) -> str | None:
        """Return the text of a value, None where it isn't complete."""
        staged = self.staged.get(reference)
        if staged is None or staged.received_characters < reference.length:
            return None
        staged.used_at = now
        self._keep(staged)
        return staged.parts[0]

    def chunk(self, now: float, reference: ValueReference, start: int, size: int) -> ValueChunk | None:
        """Return a chunk of a complete value, None where there is none from `start` on."""
        text = self.text(now, reference)
        if text is None or start >= len(text):
            return None
        return ValueChunk.from_text(reference, text, start, size)

    def value(self, now: float, reference: ValueReference) -> CompleteValue | None:
        """Return a value, None where it isn't complete."""
        text = self.text(now, reference)
        return None if text is None else CompleteValue(json.loads(text))

    def remove(self, reference: ValueReference) -> None:
        """Discard a value, which is on disk now."""
        self.staged.pop(reference, None)

    def _keep(self, staged: StagedValue) -> None:
        self.staged.pop(staged.reference, None)
        self.staged[staged.reference] = staged

    def discard_expired(self, now: float) -> None:
        """Discard values that were not used lately, and of too many those that were used longest ago."""
        for reference, staged in list(self.staged.items()):
            if now - staged.used_at > STAGED_TTL_S or len(self.staged) > MAX_STAGED_VALUES:
                del self.staged[reference]
