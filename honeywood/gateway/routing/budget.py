"""The budget for further arrivals, shared by all fronts without asking: each earns by its own requests, and
the slack is divided by the number of fronts."""

from collections import deque

SAFETY = 0.75  # of the ratio and slack that are told; fronts' windows and numbers are never quite alike


class Budget:
    """One service's further arrivals at one front over a sliding window (seconds)."""

    def __init__(self, ratio, slack, window):
        self.ratio, self.slack, self.window = ratio * SAFETY, slack * SAFETY, window
        self.taken, self.spent = deque(), deque()

    def _trim(self, now):
        since = now - self.window
        for times in (self.taken, self.spent):
            while times and times[0] < since:
                times.popleft()

    def request(self, now):
        self.taken.append(now)

    def allows(self, now, fronts):
        """Whether one more arrival beyond a request's first fits, where `fronts` share the slack."""
        self._trim(now)
        return len(self.spent) + 1 <= self.ratio * len(self.taken) + self.slack / max(1, fronts)

    def spend(self, now):
        self.spent.append(now)
