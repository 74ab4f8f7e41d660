"""Counting events in a sliding window of time."""

from __future__ import annotations

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections import deque

    from honeywood.balancer.model import Time


def trimmed(times: deque[Time], since: float) -> deque[Time]:
    """The same deque without the times before `since`; times are in ascending order."""
    while times and times[0] < since:
        times.popleft()
    return times
