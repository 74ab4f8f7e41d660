"""Decides when statistical tests have rejected a version for long enough to act on it."""

from __future__ import annotations

from honeywood.gateway.rollout.comparison import compare, pool, rejections
from honeywood.gateway.rollout.condition_timer import ConditionTimer
from honeywood.release_analysis.multiple_testing import FALSE_DISCOVERY_RATE

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Sequence

    from honeywood.gateway.rollout.record import Rollout
    from honeywood.gateway.rollout.report import OutcomeCounts

CONFIRMATION_S = 1.0  # seconds for which a rejection must persist to be confirmed


class RejectionMonitor:
    """Tests the version of a rollout at each update, and confirms a rejection that persists."""

    __slots__ = ("level", "reason", "is_doubtful", "_timer")

    def __init__(self, level: float = FALSE_DISCOVERY_RATE) -> None:
        """Create a monitor without a rejection; `level` is the false discovery rate of each update."""
        self.level = level
        self.reason = ""  # of the last rejection, for the log
        self.is_doubtful = False  # whether a single test of the last update is below the level
        self._timer = ConditionTimer()

    @property
    def rejects(self) -> bool:
        """Whether the last update rejected the version."""
        return self._timer.holds

    def update(self, now: float, rollout: Rollout, outcome_counts: Sequence[OutcomeCounts]) -> bool:
        """Test the version, and return whether it has been rejected for at least CONFIRMATION_S seconds."""
        results = compare(pool(outcome_counts, rollout.service, rollout.version))
        rejected = rejections(results, self.level)
        self.is_doubtful = any(result.p_value <= self.level for result in results)
        if rejected:
            strongest = min(results)
            self.reason = f"{strongest.kind} of {strongest.route}, p {strongest.p_value:.2g}"
        return self._timer.check(now, bool(rejected)) >= CONFIRMATION_S
