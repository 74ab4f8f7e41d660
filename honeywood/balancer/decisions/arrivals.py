"""How often a balancer is asked."""

from __future__ import annotations

from math import inf

from honeywood.balancer.decisions.limits import RETURN_TIME
from honeywood.balancer.model import SECOND

TYPE_CHECKING = False
if TYPE_CHECKING:
    from honeywood.balancer.model import Time

WEIGHT = 16  # the mean goes back over so many gaps


class Arrivals:
    """The mean time between RPCs, an exponentially weighted one; gaps count RETURN_TIME at most."""

    def __init__(self) -> None:
        """The first gap counts as one of a second."""
        self.mean_gap: float = SECOND
        self._last = -inf

    def on_request(self, now: Time) -> None:
        """An RPC has come."""
        self.mean_gap += (min(RETURN_TIME, now - self._last) - self.mean_gap) / WEIGHT
        self._last = now
