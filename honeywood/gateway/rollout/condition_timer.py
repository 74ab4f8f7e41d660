"""Measures how long a condition has held, by periodic checks."""

from __future__ import annotations

# After a longer gap between checks the time starts again: the process was suspended or cut off from the
# network, and whether the condition held in the meantime is unknown.
MAX_CHECK_GAP_S = 1.5
NOT_HOLDING_S = -1.0  # result of a check at which the condition does not hold


class ConditionTimer:
    """Measures for how long a condition has held at every check, without a long gap between checks."""

    __slots__ = ("true_since", "checked_at")

    def __init__(self) -> None:
        """Create a timer that has made no check."""
        self.true_since: float | None = None
        self.checked_at = 0.0  # not used before the first check

    @property
    def holds(self) -> bool:
        """Whether the condition held at the last check."""
        return self.true_since is not None

    def check(self, now: float, holds: bool) -> float:
        """Record whether the condition holds, and return for how many seconds it has held.

        Returns NOT_HOLDING_S if it doesn't hold.
        """
        if not holds:
            self.true_since = None
        elif self.true_since is None or now - self.checked_at > MAX_CHECK_GAP_S:
            self.true_since = now
        self.checked_at = now
        return NOT_HOLDING_S if self.true_since is None else now - self.true_since
