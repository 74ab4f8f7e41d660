"""Limits the rate of attempts that each route may make at a version on trial."""

from __future__ import annotations

# Attempts that a route may accumulate. With more, all proxies would spend their credits at the same time on
# the few endpoints on trial, which would seem slow because of this load.
MAX_CREDIT = 1.5
ATTEMPT_COST = 1


class TrialCredit:
    """One proxy's credits by service and route; each request earns a fraction of an attempt."""

    __slots__ = ("share", "_credits")

    def __init__(self, share: float) -> None:
        """Create credits of 0 for all routes; each request earns its route `share` of an attempt."""
        self.share = share
        self._credits: dict[tuple[str, str], float] = {}

    def earn(self, service: str, route: str) -> None:
        """Credit a route for a request."""
        key = service, route
        self._credits[key] = min(MAX_CREDIT, self._credits.get(key, 0.0) + self.share)

    def covers_attempt(self, service: str, route: str) -> bool:
        """Return whether a route's credit suffices for an attempt at a version on trial."""
        return self._credits.get((service, route), 0.0) >= ATTEMPT_COST

    def spend(self, service: str, route: str) -> None:
        """Charge a route for an attempt at a version on trial; the credit may become negative."""
        key = service, route
        self._credits[key] = self._credits.get(key, 0.0) - ATTEMPT_COST

    def reset(self, service: str) -> None:
        """Drop the credits of a service's routes: requests from before an order earn nothing for it."""
        self._credits = {key: credit for key, credit in self._credits.items() if key[0] != service}
