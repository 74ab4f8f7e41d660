"""Counts events in a sliding time window."""

from __future__ import annotations

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections import deque

    from honeywood.balancer.model import Time


def trimmed(times: deque[Time], since: float) -> deque[Time]:
    """Remove the times before `since` from a deque in ascending order, and return the same deque."""
    while times and times[0] < since:
        times.popleft()
    return times
