"""The front's clock, in whole tenths of a millisecond; it never goes back."""
import time


def now():
    return time.monotonic_ns() // 100_000


def from_unix(ms):
    """A Unix time in milliseconds on this clock."""
    return now() + int(ms * 10 - time.time() * 10_000)
