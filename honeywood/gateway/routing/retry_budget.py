"""A retry budget that all proxies share without communicating.

Each proxy is allowed retries in proportion to its own requests, and an equal part of the fixed slack.
"""

from __future__ import annotations

from collections import deque

# Fraction of the configured ratio and slack that is used: windows and proxy counts differ between proxies.
SAFETY_FACTOR = 0.75


class RetryBudget:
    """The retries of one service at one proxy in a sliding window."""

    def __init__(self, ratio: float, slack: float, window_s: float) -> None:
        """Allows `ratio` retries per request, plus `slack` retries; both apply to all proxies together."""
        self.ratio = ratio * SAFETY_FACTOR
        self.slack = slack * SAFETY_FACTOR
        self.window_s = window_s
        self.request_times: deque[float] = deque()
        self.retry_times: deque[float] = deque()

    def record_request(self, now: float) -> None:
        """Records a client's request for the service."""
        self.request_times.append(now)

    def allows(self, now: float, proxy_count: int) -> bool:
        """Whether one more retry is within the budget; `proxy_count` proxies share the slack."""
        self._discard_before(now - self.window_s)
        earned = self.ratio * len(self.request_times) + self.slack / max(1, proxy_count)
        return len(self.retry_times) + 1 <= earned

    def record_retry(self, now: float) -> None:
        """Records the start of a retry: an attempt after a request's first one."""
        self.retry_times.append(now)

    def _discard_before(self, start: float) -> None:
        for times in (self.request_times, self.retry_times):
            while times and times[0] < start:
                times.popleft()
