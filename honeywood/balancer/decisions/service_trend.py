"""Detects whether more RPCs are degraded than before a release.

A release may slow down the servers of all builds; a comparison between builds does not show that.
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

# By how much the share of degraded RPCs may exceed the share before the release, without a hold or a
# rollback.
HOLD_MARGIN, ROLLBACK_MARGIN = 0.20, 0.30
CONFIRMATION = 14 * SECOND  # how long the trend must be worse before a rollback


def _degraded_share(counts: list[float]) -> float:
    """The share of degraded RPCs; `counts` are those degraded and all."""
    return counts[0] / (counts[1] or 1)


class ServiceTrend:
    """The share of degraded RPCs: recently, and as a baseline before the release."""

    def __init__(self, levels: VoteLevels) -> None:
        """Starts without RPCs."""
        self._levels = levels
        self._recent = [0.0, 0.0]  # degraded RPCs, all RPCs
        self._baseline = [0.0, 0.0]
        self._halved_at: Time = 0
        self.worse_since: Time | None = None

    def record(self, degraded: bool, is_baseline: bool) -> None:
        """Count an RPC; `is_baseline` is False while the newest release may be the cause of its outcome."""
        self._recent = column_sums((self._recent, (degraded, 1)))
        if is_baseline:
            self._baseline = column_sums((self._baseline, (degraded, 1)))

    def begin_release(self, previous_released: bool) -> None:
        """Start the observation of a new release.

        Degradation that existed before is not attributed to it: if the previous release was released, the
        worse of the baseline and the recent share becomes the baseline.
        """
        if previous_released:
            self._baseline = max((self._baseline, self._recent), key=_degraded_share)
        self.worse_since = None

    def decay(self, now: Time) -> None:
        """Halve the recent counts once per second, if there are enough of them."""
        if self._recent[1] >= MIN_OUTCOMES / 2 and now - self._halved_at >= SECOND:
            self._recent, self._halved_at = [count / 2 for count in self._recent], now

    def check(self, now: Time, comparable: bool) -> str | None:
        """Update `worse_since` and return the reason to roll back, None if there is none.

        `comparable` is False if RPCs of this balancer may be degraded for another reason.
        """
        (degraded, rpcs), (earlier_degraded, earlier_rpcs) = self._recent, self._baseline
        hold_p_value, rollback_p_value = (
            inferiority_p_value(degraded, rpcs, earlier_degraded, earlier_rpcs, margin)
            if comparable and earlier_rpcs and rpcs >= MIN_EXPECTED_FAILURES
            else 1.0
            for margin in (HOLD_MARGIN, ROLLBACK_MARGIN)
        )
        self.worse_since = None if hold_p_value > self._levels.hold_level else self.worse_since or now
        persists = now - (self.worse_since or now) >= CONFIRMATION
        if persists and rollback_p_value * self._levels.p_value_factor <= FALSE_DISCOVERY_RATE:
            return (
                f"{degraded:.0f} of {rpcs:.0f} RPCs fare badly, "
                f"{earlier_degraded:.0f} of {earlier_rpcs:.0f} before it; it stays"
            )
        return None
