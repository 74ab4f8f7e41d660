"""A retry budget that all proxies share without communicating.

Each proxy earns retries by its own requests, and the fixed slack is divided by the number of proxies.
"""

from __future__ import annotations

from collections import deque

SAFETY_FACTOR = 0.75  # of the configured ratio and slack: proxies' windows and counts are never quite alike


class RetryBudget:
    """One service's retries at one proxy over a sliding window."""

    def __init__(self, ratio: float, slack: float, window_s: float) -> None:
        """`ratio` retries a request and `slack` besides, as configured for all proxies together."""
        self.ratio = ratio * SAFETY_FACTOR
        self.slack = slack * SAFETY_FACTOR
        self.window_s = window_s
        self.request_times: deque[float] = deque()
        self.retry_times: deque[float] = deque()

    def record_request(self, now: float) -> None:
        """A client's request for the service has come."""
        self.request_times.append(now)

    def allows(self, now: float, proxy_count: int) -> bool:
        """Whether one retry more fits, where `proxy_count` proxies share the slack."""
        self._discard_before(now - self.window_s)
        earned = self.ratio * len(self.request_times) + self.slack / max(1, proxy_count)
        return len(self.retry_times) + 1 <= earned

    def record_retry(self, now: float) -> None:
        """An attempt beyond a request's first starts."""
        self.retry_times.append(now)

    def _discard_before(self, start: float) -> None:
        for times in (self.request_times, self.retry_times):
            while times and times[0] < start:
                times.popleft()
