"""How large the next chunk of a value is, by how long earlier ones took on the same link. Pure."""

from __future__ import annotations

from honeywood.gateway.register.values import MAX_CHUNK_CHARACTERS

MIN_CHUNK_CHARACTERS = 1 << 12
"""30,000 B/s carry it in 140 ms."""

FIRST_CHUNK_CHARACTERS = 1 << 14
"""30,000 B/s carry it in 0.55 s, less than a request may take."""

FAST_S = 0.1
"""A chunk that took less is followed by one of twice the size."""

SLOW_S = 0.25
"""A chunk that took more is followed by one of half the size."""


class ChunkSize:
    """The size of the next chunk between this disk and one peer, in characters."""

    def __init__(self) -> None:
        """Start with the size for an unknown link."""
        self.characters = FIRST_CHUNK_CHARACTERS

    def record(self, elapsed_s: float, arrived: bool) -> None:
        """Adapt the size to how long a chunk took."""
        if not arrived or elapsed_s > SLOW_S:
            self.characters = max(MIN_CHUNK_CHARACTERS, self.characters // 2)
        elif elapsed_s < FAST_S:
            self.characters = min(MAX_CHUNK_CHARACTERS, self.characters * 2)
