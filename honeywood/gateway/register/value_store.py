"""Large values on their way to or from this disk, in memory, by reference. Pure: time is handed in.

Nothing rests on what is here: a value that is lost with the process is asked for and carried again.
"""

import json
from dataclasses import dataclass, field

from honeywood.gateway.register.values import ValueChunk, ValueReference, reference_to

STAGED_VALUES = 4  # of more, the one that was used longest ago goes
EXPECTED_S = 1.0  # seconds in which the next part of a value that is handed over comes
STAGED_S = 20.0  # seconds that an unused one is kept: a transfer that was given up goes on where it stopped


@dataclass(slots=True)
class StagedValue:
    """A value of which `held` characters are there."""

    reference: ValueReference
    used_at: float
    parts: list = field(default_factory=list)
    held: int = 0


class ValueStore:
    """Values that are whole or are being put together."""

    def __init__(self):
        self.staged = {}
        self.expected = None, 0.0  # the value that a peer hands over, and until when the next part is awaited

    def held(self, now, reference):
        """How many characters of a value are there."""
        self.prune(now)
        staged = self.staged.get(reference)
        return staged.held if staged else 0

    def expect(self, now, reference):
        """Notes that a peer hands over parts of a value just now."""
        self.expected = reference, now + EXPECTED_S

    def is_expected(self, now, reference):
        """Whether a peer hands over a value just now, so that it need not be asked for."""
        return self.expected[0] == reference and now < self.expected[1]

    def hold(self, now, text):
        """Keeps a whole value; the reference to it."""
        reference = reference_to(text)
        self._keep(StagedValue(reference, now, [text], len(text)))
        self.prune(now)
        return reference

    def take(self, now, chunk):
        """Takes a part that goes on where the last one ended and is sound, no other; how many characters are
        there then."""
        reference = chunk.reference
        staged = self.staged.get(reference) or StagedValue(reference, now)
        if not chunk.sound or chunk.start != staged.held:
            return staged.held
        staged.parts.append(chunk.text)
        staged.held, staged.used_at = staged.held + len(chunk.text), now
        self._keep(staged)
        self.prune(now)
        if staged.held == reference.length:
            staged.parts = ["".join(staged.parts)]
            if reference_to(staged.parts[0]) != reference:
                del self.staged[reference]  # what was sent is not what was referred to
                return 0
        return staged.held

    def text(self, now, reference):
        """The whole text of a value, or None."""
        staged = self.staged.get(reference)
        if staged is None or staged.held < reference.length:
            return None
        staged.used_at = now
        self._keep(staged)
        return staged.parts[0]

    def chunk(self, now, reference, start, size):
        """A part of a whole value, or None."""
        text = self.text(now, reference)
        return None if text is None or start >= len(text) else ValueChunk.cut(reference, text, start, size)

    def value(self, now, reference):
        """(whether the value is whole, the value)."""
        text = self.text(now, reference)
        return (False, None) if text is None else (True, json.loads(text))

    def drop(self, reference):
        """Forgets a value, which is on disk now."""
        self.staged.pop(reference, None)

    def _keep(self, staged):
        self.staged.pop(staged.reference, None)
        self.staged[staged.reference] = staged  # in the order of use

    def prune(self, now):
        """Forgets what was not used lately, and of too many those used longest ago."""
        for reference, staged in list(self.staged.items()):
            if now - staged.used_at > STAGED_S or len(self.staged) > STAGED_VALUES:
                del self.staged[reference]
