"""The bound on the exposure of a version that is being rolled out, kept by each proxy on its own.

The sum over all proxies stays within a share of all requests and a slack, whatever news reaches whom:
docs/design/system.md.
"""

from __future__ import annotations

# A proxy that has just started believes in too few others, and would take too large a part of the slack.
PROXY_COUNT_DISCOVERY_S = 3.0


class ExposureAllowance:
    """One proxy's allowance for attempts at the version of one order.

    It is its share of the requests that the proxy has taken since the order, and its part of the slack.
    """

    __slots__ = ("share", "slack", "started_at", "proxy_count", "proxy_count_final", "requests", "attempts")

    def __init__(self, share: float, slack: float, started_at: float) -> None:
        """Begin an allowance at `started_at` (seconds).

        `share` is a part of requests; `slack` is a number of attempts that all proxies have together, 0 for a
        proxy that has no part in it.
        """
        self.share = share
        self.slack = slack
        self.started_at = started_at
        self.proxy_count = 1
        self.proxy_count_final = False
        self.requests = 0
        self.attempts = 0

    def record_request(self, now: float, proxy_count: int) -> None:
        """Count a request, taken while `proxy_count` proxies are known.

        The number of proxies at the order divides the slack. It is known PROXY_COUNT_DISCOVERY_S later: a
        proxy that ends afterwards has used its part.
        """
        self.requests += 1
        if not self.proxy_count_final:
            self.proxy_count = proxy_count
            self.proxy_count_final = now - self.started_at >= PROXY_COUNT_DISCOVERY_S

    def record_attempt(self) -> None:
        """Count an attempt at the version."""
        self.attempts += 1

    @property
    def permits_attempt(self) -> bool:
        """Whether one more attempt is within the allowance."""
        return self.attempts + 1 <= self.share * self.requests + self.slack / self.proxy_count
