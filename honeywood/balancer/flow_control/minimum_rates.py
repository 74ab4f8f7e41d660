"""Minimum transfer rate and maximum duration of each phase of a connection.

This module does no I/O, reads no clock and uses no threads. Times are tenths of a millisecond of RunningTime,
in which the balancer was running, so that peers are not charged for stalls of the balancer itself. Only bytes
that the peer has sent or acknowledged are counted, as far as the system reports it: bytes that are still in
the kernel's buffers have not been transferred.
"""

from __future__ import annotations

from dataclasses import dataclass

from honeywood.balancer.model import SECOND, Duration, Time

BUCKETS = 8  # per window; counting bytes per bucket bounds the memory used for a peer
CHECK_INTERVAL = SECOND // 4  # between checks of a peer; a gap longer than two of these counts as a stall
TOO_SLOW, TOO_LONG = "too_slow", "too_long"


@dataclass(frozen=True, slots=True)
class Phase:
    """The requirements on a peer in one phase (head, body, answer, ...).

    After the `grace` period it must transfer at least `min_rate` bytes per second, averaged over any
    `window`, and the phase must end within `max_duration`.
    """

    name: str
    grace: Duration
    window: Duration
    min_rate: int
    max_duration: Duration

    @property
    def bucket(self) -> Duration:
        """The length of a bucket, of which a window has BUCKETS."""
        return max(1, self.window // BUCKETS)

    @property
    def bytes_per_window(self) -> float:
        """The minimum number of bytes in a window."""
        return self.min_rate * self.window / SECOND


class RunningTime:
    """A clock that counts only the time in which the balancer was running.

    Between two checks at most 2 * CHECK_INTERVAL is counted. The rest of a longer gap was a stall (a stopped
    process or machine), in which peers could not transfer anything.
    """

    def __init__(self, now: Time) -> None:
        """Create the clock, with no stall so far."""
        self._last, self._stalled = now, 0

    def at(self, now: Time) -> Time:
        """The running time at `now`; it never decreases, even if the clock goes back."""
        gap = now - self._last
        self._stalled += gap if gap < 0 else max(0, gap - 2 * CHECK_INTERVAL)
        self._last = now
        return now - self._stalled


class TransferMeter:
    """Measures one peer in one phase: record() counts bytes, violation() checks the requirements."""

    __slots__ = ("_phase", "_began_at", "_counts", "_bucket")

    def __init__(self, phase: Phase, now: Time) -> None:
        """Create a meter for a phase that begins now."""
        self._phase, self._began_at = phase, now
        self._counts = [0] * (BUCKETS + 1)  # the buckets of a window and the current one
        self._bucket = 0

    def record(self, now: Time, count: int) -> None:
        """Count transferred bytes."""
        self._advance(now)
        self._counts[self._bucket % (BUCKETS + 1)] += count

    def violation(self, now: Time) -> str | None:
        """The code of the violated requirement, None if the peer meets all of them.

        The phase has lasted too long, or the bytes in the last full window and the current bucket are fewer
        than the minimum of one window.
        """
        age = now - self._began_at
        if age >= self._phase.max_duration:
            return f"{TOO_LONG}_{self._phase.name}"
        self._advance(now)
        full_window = age >= self._phase.grace + self._phase.window
        if full_window and sum(self._counts) < self._phase.bytes_per_window:
            return f"{TOO_SLOW}_{self._phase.name}"
        return None

    def _advance(self, now: Time) -> None:
        """Clear the buckets that are older than a window."""
        bucket = (now - self._began_at) // self._phase.bucket
        for number in range(self._bucket + 1, min(bucket, self._bucket + BUCKETS + 1) + 1):
            self._counts[number % (BUCKETS + 1)] = 0
        if bucket > self._bucket + BUCKETS + 1:
            self._counts = [0] * (BUCKETS + 1)
        self._bucket = max(bucket, self._bucket)
