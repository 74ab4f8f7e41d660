"""How long a service's connections may be idle, learned from those that broke."""

from __future__ import annotations

from dataclasses import dataclass
from math import inf

IMMEDIATELY_S = 0.01  # a connection that breaks so soon after a request had been dropped while it was idle
MIN_IDLE_S = 0.1  # one that was idle for less had not
SAFETY_FACTOR = 0.75  # of the idle time after which a connection had been dropped
VALID_S = 10.0  # for which a limit holds


@dataclass(frozen=True, slots=True)
class IdleLimit:
    """For how long connections may be idle, and when that was learned."""

    idle_s: float
    learned_at: float


class IdleLimits:
    """The learned limits by service."""

    def __init__(self) -> None:
        """Nothing has been learned."""
        self._limits: dict[str, IdleLimit] = {}

    def limit_s(self, now: float, service: str) -> float:
        """For how long a service's connections may be idle, infinite where nothing is known."""
        limit = self._limits.get(service)
        if limit is None or now - limit.learned_at >= VALID_S:
            return inf
        return limit.idle_s

    def record_break(self, now: float, service: str, idle_s: float, elapsed_s: float) -> None:
        """A connection broke `elapsed_s` after a request was sent on it, having been idle for `idle_s`."""
        if elapsed_s < IMMEDIATELY_S and idle_s > MIN_IDLE_S:
            limit_s = min(idle_s * SAFETY_FACTOR, self.limit_s(now, service))
            self._limits[service] = IdleLimit(limit_s, now)
