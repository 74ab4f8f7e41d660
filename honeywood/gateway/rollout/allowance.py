"""What one proxy may send to the version of an order: the bound on exposure in sum. Pure."""

KNOWN_S = 3.0  # after which a proxy that has just started, and guesses high, knows how many proxies there are


class Allowance:
    """A proxy's share of the requests that it has taken since an order, and its part of the slack. So all
    proxies together stay within the share of all requests and the slack (docs/design/system.md)."""

    __slots__ = ("share", "slack", "ordered_at", "proxies", "fixed", "requests", "attempts")

    def __init__(self, share, slack, ordered_at):
        """`slack` is that of all proxies, or 0 for one that has no part in it; `ordered_at` in seconds."""
        self.share, self.slack, self.ordered_at = share, slack, ordered_at
        self.proxies, self.fixed, self.requests, self.attempts = 1, False, 0, 0

    def taking(self, now, proxies):
        """A request is taken, while so many proxies are known. Their number at the order counts, and is known
        KNOWN_S later: one that dies afterwards has had its part."""
        self.requests += 1
        if not self.fixed:
            self.proxies, self.fixed = proxies, now - self.ordered_at >= KNOWN_S

    @property
    def room(self):
        """Whether one more attempt fits."""
        return self.attempts + 1 <= self.share * self.requests + self.slack / self.proxies
