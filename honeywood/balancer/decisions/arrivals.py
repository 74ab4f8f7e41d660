"""Measures the mean time between the RPCs of this balancer."""

from __future__ import annotations

from math import inf

from honeywood.balancer.decisions.limits import RETURN_TIME
from honeywood.balancer.model import SECOND

TYPE_CHECKING = False
if TYPE_CHECKING:
    from honeywood.balancer.model import Time

MEAN_GAPS = 16  # the last gap has a weight of 1 / MEAN_GAPS in the moving average


class Arrivals:
    """An exponentially weighted moving average of the time between RPCs; gaps are capped at RETURN_TIME."""

    def __init__(self) -> None:
        """Starts with a mean gap of one second."""
        self.mean_gap: float = SECOND
        self._last = -inf

    def on_request(self, now: Time) -> None:
        """Add the gap before an RPC to the mean."""
        self.mean_gap += (min(RETURN_TIME, now - self._last) - self.mean_gap) / MEAN_GAPS
        self._last = now
