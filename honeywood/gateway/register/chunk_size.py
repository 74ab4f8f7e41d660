"""The adaptive chunk size for value transfers to one peer, by how long earlier chunks took. Pure."""

from __future__ import annotations

from honeywood.gateway.register.values import MAX_CHUNK_CHARACTERS

MIN_CHUNK_CHARACTERS = 1 << 12
"""Takes 140 ms at 30,000 B/s."""

FIRST_CHUNK_CHARACTERS = 1 << 14
"""Takes 0.55 s at 30,000 B/s, which is within the timeout of a request."""

FAST_S = 0.1
"""The size is doubled after a chunk that took less than this."""

SLOW_S = 0.25
"""The size is halved after a chunk that took more than this."""


class ChunkSize:
    """The size of the next chunk between this disk and one peer, in characters."""

    def __init__(self) -> None:
        """Start with the size for a link of unknown speed."""
        self.characters = FIRST_CHUNK_CHARACTERS

    def record(self, elapsed_s: float, arrived: bool) -> None:
        """Adapt the size to the time that a chunk took and to whether it arrived."""
        if not arrived or elapsed_s > SLOW_S:
            self.characters = max(MIN_CHUNK_CHARACTERS, self.characters // 2)
        elif elapsed_s < FAST_S:
            self.characters = min(MAX_CHUNK_CHARACTERS, self.characters * 2)
