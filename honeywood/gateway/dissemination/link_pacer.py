"""Pacing of responses on a program's link, so that dissemination leaves bandwidth for other traffic.

This module performs no I/O: times come from the caller.
"""

from __future__ import annotations

LINK_SHARE = 0.6  # of a link that responses may use; the rest is for the register, machines and clients
RESPONSE_LINK_TIME_S = 0.12  # longest time for which one response may occupy a link
MIN_RESPONSE_BYTES, MAX_RESPONSE_BYTES = 8 << 10, 64 << 10  # for links of any speed


def response_limit(link_bytes_per_s: float) -> int:
    """Returns the maximum size of one response on a link, in bytes."""
    return int(min(MAX_RESPONSE_BYTES, max(MIN_RESPONSE_BYTES, RESPONSE_LINK_TIME_S * link_bytes_per_s)))


class LinkPacer:
    """Schedules responses one after another within their share of a link."""

    def __init__(self, link_bytes_per_s: float) -> None:
        """Initially no response is scheduled."""
        self.bytes_per_s = LINK_SHARE * link_bytes_per_s
        self.free_at = 0.0

    def backlog_s(self, now: float) -> float:
        """Returns the seconds until all scheduled responses have been sent."""
        return max(0.0, self.free_at - now)

    def schedule(self, now: float, size: int) -> float:
        """Schedules a response of `size` bytes; returns the seconds that it waits for earlier responses."""
        wait_s = self.backlog_s(now)
        self.free_at = now + wait_s + size / self.bytes_per_s
        return wait_s
