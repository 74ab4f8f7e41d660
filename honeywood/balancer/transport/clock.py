"""The process's clock, in whole tenths of a millisecond; it never goes back."""

from __future__ import annotations

import time

NS_PER_TENTH_OF_MS = 100_000
TENTHS_PER_MS = 10


def now() -> int:
    """The time."""
    return time.monotonic_ns() // NS_PER_TENTH_OF_MS


# 1970 on this clock. Taken once: the same Unix time is the same figure ever after.
UNIX_START = now() - time.time_ns() // NS_PER_TENTH_OF_MS


def from_unix(milliseconds: float) -> int:
    """A Unix time in milliseconds on this clock."""
    return UNIX_START + int(milliseconds * TENTHS_PER_MS)
