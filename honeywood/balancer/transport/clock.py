"""The front's clock, in whole tenths of a millisecond; it never goes back."""

import time


def now():
    return time.monotonic_ns() // 100_000


UNIX_START = now() - time.time_ns() // 100_000  # taken once: the same time is the same figure ever after


def from_unix(ms):
    """A Unix time in milliseconds on this clock."""
    return UNIX_START + int(ms * 10)
