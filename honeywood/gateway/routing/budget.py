"""The budget for retries, shared by all proxies without asking: each earns by its own requests, and the slack
is divided by the number of proxies."""

from collections import deque

SAFETY = 0.75  # of the ratio and slack that are told; proxies' windows and numbers are never quite alike


class RetryBudget:
    """One service's retries at one proxy over a sliding window (seconds)."""

    def __init__(self, ratio, slack, window_s):
        """As the site's bounds say, for all proxies together."""
        self.ratio, self.slack, self.window_s = ratio * SAFETY, slack * SAFETY, window_s
        self.requests, self.retries = deque(), deque()  # times

    def _forget_before(self, since):
        for times in (self.requests, self.retries):
            while times and times[0] < since:
                times.popleft()

    def record_request(self, now):
        """A client's request for the service has come."""
        self.requests.append(now)

    def allows(self, now, proxies):
        """Whether one more attempt beyond a request's first fits, where `proxies` share the slack."""
        self._forget_before(now - self.window_s)
        return len(self.retries) + 1 <= self.ratio * len(self.requests) + self.slack / max(1, proxies)

    def record_retry(self, now):
        """An attempt beyond a request's first begins."""
        self.retries.append(now)
