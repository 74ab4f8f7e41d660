"""Whether RPCs fare worse than before a release: it may slow old and new servers alike.

No comparison of builds shows that.
"""

from __future__ import annotations

from honeywood.balancer.model import SECOND
from honeywood.release_analysis.multiple_testing import (
    FALSE_DISCOVERY_RATE,
    MIN_EXPECTED_FAILURES,
    MIN_OUTCOMES,
    inferiority_p_value,
)
from honeywood.release_analysis.outcome_statistics import column_sums

TYPE_CHECKING = False
if TYPE_CHECKING:
    from honeywood.balancer.decisions.vote_levels import VoteLevels
    from honeywood.balancer.model import Time

HOLD_MARGIN, ROLLBACK_MARGIN = 0.20, 0.30  # share of RPCs that fare worse than before
CONFIRMATION = 14 * SECOND  # a worse trend of so long rolls back


def _poor_share(counts: list[float]) -> float:
    """The share of RPCs that fared poorly, of (poorly, all)."""
    return counts[0] / (counts[1] or 1)


class ServiceTrend:
    """Shares of RPCs that fared poorly: of late, and before the release."""

    def __init__(self, levels: VoteLevels) -> None:
        """No RPC was seen yet."""
        self._levels = levels
        self._recent = [0.0, 0.0]  # poorly, all
        self._normal = [0.0, 0.0]
        self._halved_at: Time = 0
        self.worse_since: Time | None = None

    def record(self, poorly: bool, is_normal: bool) -> None:
        """Count an RPC; `is_normal` is False while the newest release may be why."""
        self._recent = column_sums((self._recent, (poorly, 1)))
        if is_normal:
            self._normal = column_sums((self._normal, (poorly, 1)))

    def begin_release(self, after_released: bool) -> None:
        """A new release has come; what ailed the service before it is not its doing."""
        if after_released:
            self._normal = max((self._normal, self._recent), key=_poor_share)
        self.worse_since = None

    def decay(self, now: Time) -> None:
        """Halve what is old."""
        if self._recent[1] >= MIN_OUTCOMES / 2 and now - self._halved_at >= SECOND:
            self._recent, self._halved_at = [count / 2 for count in self._recent], now

    def check(self, now: Time, comparable: bool) -> str | None:
        """Update `worse_since`; the reason to roll back, if there is one.

        `comparable` is False where this balancer fares poorly for another reason.
        """
        (poorly, rpcs), (earlier_poorly, earlier_rpcs) = self._recent, self._normal
        hold, roll_back = (
            inferiority_p_value(poorly, rpcs, earlier_poorly, earlier_rpcs, margin)
            if comparable and earlier_rpcs and rpcs >= MIN_EXPECTED_FAILURES
            else 1.0
            for margin in (HOLD_MARGIN, ROLLBACK_MARGIN)
        )
        self.worse_since = None if hold > self._levels.hold_level else self.worse_since or now
        lasts = now - (self.worse_since or now) >= CONFIRMATION
        if lasts and roll_back * self._levels.p_value_factor <= FALSE_DISCOVERY_RATE:
            return (
                f"{poorly:.0f} of {rpcs:.0f} RPCs fare badly, "
                f"{earlier_poorly:.0f} of {earlier_rpcs:.0f} before it; it stays"
            )
        return None
