"""Calls to be made later by one thread. A timer fires once and is never taken back: the call looks whether
it still matters."""

from heapq import heappop, heappush
from itertools import count


class Timers:
    def __init__(self):
        self.heap, self.order = [], count()

    def at(self, due, call, *given):
        heappush(self.heap, (due, next(self.order), call, given))

    def wait(self, now):
        """Seconds until the next is due, None where there is none."""
        return max(0, self.heap[0][0] - now) / 10_000 if self.heap else None

    def run(self, now):
        while self.heap and self.heap[0][0] <= now:
            _, _, call, given = heappop(self.heap)
            call(*given)
