"""Least rates, judged a phase of a connection: what a peer must move, and how long it may take in all.

Free of I/O, clock and threads. Times are tenths of a millisecond of the time in which the front was there
(Attendance), so that nobody is blamed for the front's own absence. Bytes are those that the peer took or
sent, as far as the system tells: what only stands in the kernel's buffers has not moved.
"""

from honeywood.balancer.model import SECOND

PARTS = 8  # of a window: bytes are counted by parts, so a peer costs the same for ever
LOOKED = SECOND // 4  # peers are looked at so often; what is longer than two of these was an absence
TOO_SLOW, TOO_LONG = "too_slow", "too_long"


class Phase:
    """What is asked of a peer in one phase (head, body, answer, ...): over any `window` that begins after the
    `grace`, `least` bytes a second; and an end after `most`."""

    def __init__(self, name, grace, window, least, most):
        self.name, self.grace, self.window, self.least, self.most = name, grace, window, least, most
        self.part = max(1, window // PARTS)
        self.need = least * window / SECOND  # bytes in a window


class Attendance:
    """The time in which the front was there. Between two looks at most 2 * LOOKED passes: what is more was an
    absence (a stopped process, a machine that stood still), in which peers could not move a byte."""

    def __init__(self, now):
        self.last, self.away = now, 0

    def at(self, now):
        """The time attended until now; it never goes back, whatever the clock does."""
        gap = now - self.last
        self.away += gap if gap < 0 else max(0, gap - 2 * LOOKED)
        self.last = now
        return now - self.away


class Pace:
    """One peer in one phase, from `now` on. `moved` is told of bytes, `judged` says whether it is cut off."""

    __slots__ = ("phase", "began", "counts", "part")

    def __init__(self, phase, now):
        self.phase, self.began = phase, now
        self.counts, self.part = [0] * (PARTS + 1), 0  # the window's parts, and the one that is not over

    def turn(self, now):
        """Lets go of the parts that are older than a window."""
        part = (now - self.began) // self.phase.part
        for number in range(self.part + 1, min(part, self.part + PARTS + 1) + 1):
            self.counts[number % (PARTS + 1)] = 0
        if part > self.part + PARTS + 1:
            self.counts = [0] * (PARTS + 1)
        self.part = max(part, self.part)

    def moved(self, now, count):
        self.turn(now)
        self.counts[self.part % (PARTS + 1)] += count

    def judged(self, now):
        """None, or the code with which the peer is cut off: its phase has taken too long in all, or less than
        the least rate has moved in a window and the part of one that is not over."""
        age = now - self.began
        if age >= self.phase.most:
            return f"{TOO_LONG}_{self.phase.name}"
        self.turn(now)
        if age >= self.phase.grace + self.phase.window and sum(self.counts) < self.phase.need:
            return f"{TOO_SLOW}_{self.phase.name}"
        return None
