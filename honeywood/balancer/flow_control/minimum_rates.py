"""Minimum transfer rates by phase of a connection: what a peer must move, and how long it may take in all.

Free of I/O, clock and threads. Times are tenths of a millisecond of the time in which the balancer was
running (RunningTime), so that nobody is blamed for the balancer's own stalls. Bytes are those that the peer
took or sent, as far as the system tells: what only stands in the kernel's buffers has not moved.
"""

from __future__ import annotations

from dataclasses import dataclass

from honeywood.balancer.model import SECOND, Duration, Time

BUCKETS = 8  # of a window: bytes are counted by buckets, so a peer costs the same for ever
CHECK_INTERVAL = SECOND // 4  # between checks of a peer; what is longer than two of these was a stall
TOO_SLOW, TOO_LONG = "too_slow", "too_long"


@dataclass(frozen=True, slots=True)
class Phase:
    """What is asked of a peer in one phase (head, body, answer, ...).

    Over any `window` after the `grace` it must move `least` bytes a second, and it must end within `most`.
    """

    name: str
    grace: Duration
    window: Duration
    least: int
    most: Duration

    @property
    def bucket(self) -> Duration:
        """The length of a bucket of the window."""
        return max(1, self.window // BUCKETS)

    @property
    def bytes_per_window(self) -> float:
        """What must move in a window."""
        return self.least * self.window / SECOND


class RunningTime:
    """The time in which the balancer was running.

    Between two checks at most 2 * CHECK_INTERVAL passes: what is more was a stall (a stopped process, a
    machine that stood still), in which peers could not move a byte.
    """

    def __init__(self, now: Time) -> None:
        """It has not stalled yet."""
        self._last, self._stalled = now, 0

    def at(self, now: Time) -> Time:
        """The running time until now; it never goes back, whatever the clock does."""
        gap = now - self._last
        self._stalled += gap if gap < 0 else max(0, gap - 2 * CHECK_INTERVAL)
        self._last = now
        return now - self._stalled


class TransferMeter:
    """One peer in one phase: record() is told of bytes, violation() says whether it is to be cut off."""

    __slots__ = ("_phase", "_began_at", "_counts", "_bucket")

    def __init__(self, phase: Phase, now: Time) -> None:
        """Nothing has moved yet."""
        self._phase, self._began_at = phase, now
        self._counts = [0] * (BUCKETS + 1)  # the window's buckets, and the one that is not over
        self._bucket = 0

    def record(self, now: Time, count: int) -> None:
        """So many bytes have moved."""
        self._advance(now)
        self._counts[self._bucket % (BUCKETS + 1)] += count

    def violation(self, now: Time) -> str | None:
        """The code with which the peer is cut off, None while it is not.

        Its phase has taken too long in all, or less than the least rate has moved in a window and in the
        bucket that is not over.
        """
        age = now - self._began_at
        if age >= self._phase.most:
            return f"{TOO_LONG}_{self._phase.name}"
        self._advance(now)
        full_window = age >= self._phase.grace + self._phase.window
        if full_window and sum(self._counts) < self._phase.bytes_per_window:
            return f"{TOO_SLOW}_{self._phase.name}"
        return None

    def _advance(self, now: Time) -> None:
        """Let go of the buckets that are older than a window."""
        bucket = (now - self._began_at) // self._phase.bucket
        for number in range(self._bucket + 1, min(bucket, self._bucket + BUCKETS + 1) + 1):
            self._counts[number % (BUCKETS + 1)] = 0
        if bucket > self._bucket + BUCKETS + 1:
            self._counts = [0] * (BUCKETS + 1)
        self._bucket = max(bucket, self._bucket)
