"""The bound on a new version's exposure, which each proxy enforces without communicating.

Summed over all proxies, the attempts at the version stay within a share of all requests plus a slack,
regardless of which proxies have received which updates: docs/design/system.md.
"""

from __future__ import annotations

# Seconds after the order until the number of proxies is taken as final. A proxy that has just started knows
# too few of the others, and would keep too large a part of the slack.
PROXY_COUNT_DISCOVERY_S = 3.0


class ExposureAllowance:
    """One proxy's allowance for attempts at the version of one order.

    It is a share of the requests that the proxy has received since the order, plus its part of the slack.
    """

    __slots__ = ("share", "slack", "started_at", "proxy_count", "proxy_count_final", "requests", "attempts")

    def __init__(self, share: float, slack: float, started_at: float) -> None:
        """Create an allowance that starts at `started_at` (seconds).

        `share` is a fraction of requests. `slack` is a number of attempts that all proxies share; it is 0 for
        a proxy that gets none of it.
        """
        self.share = share
        self.slack = slack
        self.started_at = started_at
        self.proxy_count = 1
        self.proxy_count_final = False
        self.requests = 0
        self.attempts = 0

    def record_request(self, now: float, proxy_count: int) -> None:
        """Count a request that arrives while `proxy_count` proxies are known.

        The slack is divided by the number of proxies at the time of the order, which is known
        PROXY_COUNT_DISCOVERY_S later. Later changes of the number are ignored: a proxy that has ended since
        may have used its part of the slack.
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
