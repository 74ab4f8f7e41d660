"""Timers of one thread."""

from __future__ import annotations

from heapq import heappop, heappush
from itertools import count

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Callable
    from typing import Any

TENTHS_OF_MS_PER_SECOND = 10_000


class Timers:
    """A queue of timers that fire once; they cannot be cancelled: a call checks if it still applies."""

    def __init__(self) -> None:
        """Create an empty queue."""
        self._heap: list[tuple[int, int, Callable[..., Any], tuple[Any, ...]]] = []
        self._order = count()

    def at(self, due: int, call: Callable[..., Any], *arguments: Any) -> None:
        """Run a call at the time `due` of the clock."""
        heappush(self._heap, (due, next(self._order), call, arguments))

    def wait_s(self, now: int) -> float | None:
        """Seconds until the next timer is due, None if there is none."""
        return max(0, self._heap[0][0] - now) / TENTHS_OF_MS_PER_SECOND if self._heap else None

    def run(self, now: int) -> None:
        """Run the calls that are due."""
        while self._heap and self._heap[0][0] <= now:
            _, _, call, arguments = heappop(self._heap)
            call(*arguments)
