"""The rate of attempts that each route may make at a version on trial."""

from __future__ import annotations

# Attempts that a route may save up. With more, all proxies would spend what they saved at once on the few
# endpoints on trial, which would look slow by that.
MAX_CREDIT = 1.5
ATTEMPT_COST = 1


class TrialCredit:
    """Credits of one proxy by service and route: requests earn parts of an attempt, an attempt costs one."""

    __slots__ = ("share", "_credits")

    def __init__(self, share: float) -> None:
        """No route has a credit; each request will earn its route `share` of an attempt."""
        self.share = share
        self._credits: dict[tuple[str, str], float] = {}

    def earn(self, service: str, route: str) -> None:
        """Return a request on a route has come."""
        key = service, route
        self._credits[key] = min(MAX_CREDIT, self._credits.get(key, 0.0) + self.share)

    def covers_attempt(self, service: str, route: str) -> bool:
        """Return whether a route may make an attempt at a version on trial."""
        return self._credits.get((service, route), 0.0) >= ATTEMPT_COST

    def spend(self, service: str, route: str) -> None:
        """Return an attempt at a version on trial begins; the credit may become negative."""
        key = service, route
        self._credits[key] = self._credits.get(key, 0.0) - ATTEMPT_COST

    def reset(self, service: str) -> None:
        """Drop the credits of a service's routes: none was earned for the order that has come."""
        self._credits = {key: credit for key, credit in self._credits.items() if key[0] != service}
