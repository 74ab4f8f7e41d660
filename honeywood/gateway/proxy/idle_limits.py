"""How long a service's connections may be idle, learned from connections that broke."""

from __future__ import annotations

from dataclasses import dataclass
from math import inf

IMMEDIATE_BREAK_S = 0.01  # a connection that breaks this soon after a request had been dropped while idle
MIN_IDLE_S = 0.1  # a connection that was idle for less than this had not been dropped for being idle
SAFETY_FACTOR = 0.75  # of the idle time after which a connection was found dropped
LIMIT_VALID_S = 10.0  # for which a learned limit applies


@dataclass(frozen=True, slots=True)
class IdleLimit:
    """The seconds for which connections may be idle, and when they were learned."""

    idle_s: float
    learned_at: float


class IdleLimits:
    """The learned limits on idle time, by service."""

    def __init__(self) -> None:
        """Starts without limits."""
        self._limits: dict[str, IdleLimit] = {}

    def limit_s(self, now: float, service: str) -> float:
        """Returns the seconds for which a service's connections may be idle, infinite without a limit."""
        limit = self._limits.get(service)
        if limit is None or now - limit.learned_at >= LIMIT_VALID_S:
            return inf
        return limit.idle_s

    def record_break(self, now: float, service: str, idle_s: float, elapsed_s: float) -> None:
        """Learns a limit from a connection that broke.

        The connection broke `elapsed_s` after a request was sent on it, and had been idle for `idle_s` before
        that. A lower limit that is still valid is kept.
        """
        if elapsed_s < IMMEDIATE_BREAK_S and idle_s > MIN_IDLE_S:
            limit_s = min(idle_s * SAFETY_FACTOR, self.limit_s(now, service))
            self._limits[service] = IdleLimit(limit_s, now)
