"""For how long a condition has held, as seen by periodic checks."""

from __future__ import annotations

# Longer gaps between checks mean that the process was stopped or cut off: nothing is known of that time.
MAX_CHECK_GAP_S = 1.5
NEVER_S = -1.0


class ConditionTimer:
    """Times how long a condition has held at every check; it begins anew after a gap between checks."""

    __slots__ = ("true_since", "checked_at")

    def __init__(self) -> None:
        """Start without a check."""
        self.true_since: float | None = None
        self.checked_at = 0.0  # says nothing before the first check

    @property
    def holds(self) -> bool:
        """Whether the condition held at the last check."""
        return self.true_since is not None

    def check(self, now: float, holds: bool) -> float:
        """Note whether the condition holds, and return the seconds for which it has.

        Where it doesn't hold the result is NEVER_S.
        """
        if not holds:
            self.true_since = None
        elif self.true_since is None or now - self.checked_at > MAX_CHECK_GAP_S:
            self.true_since = now
        self.checked_at = now
        return NEVER_S if self.true_since is None else now - self.true_since
