"""The clock of the process: monotonic, in whole tenths of a millisecond."""

from __future__ import annotations

import time

NS_PER_TENTH_OF_MS = 100_000
TENTHS_PER_MS = 10


def now() -> int:
    """The current time."""
    return time.monotonic_ns() // NS_PER_TENTH_OF_MS


# The Unix epoch on this clock. It is computed once, so that a Unix time always converts to the same value.
UNIX_START = now() - time.time_ns() // NS_PER_TENTH_OF_MS


def from_unix(milliseconds: float) -> int:
    """Convert a Unix time in milliseconds to a time of this clock."""
    return UNIX_START + int(milliseconds * TENTHS_PER_MS)
