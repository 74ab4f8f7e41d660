"""The deadline for the retries of a change. Pure: times are passed in, in seconds of one monotonic clock."""

from __future__ import annotations

from honeywood.gateway.register.value_transfer import VALUE_TIMEOUT_S

CHANGE_TIMEOUT_S = 0.6
"""How long a change starts new ballots. Its caller tries another controller after 1 s."""


class RetryDeadline:
    """The time after which a change fails instead of starting another ballot.

    The time spent on transferring a large value is added, up to VALUE_TIMEOUT_S, since the next ballot finds
    the value already transferred.
    """

    def __init__(self, now: float) -> None:
        """Set the deadline of a change that starts at `now`."""
        self.at = now + CHANGE_TIMEOUT_S
        self._latest = self.at + VALUE_TIMEOUT_S

    def extend(self, transfer_s: float) -> None:
        """Extend the deadline by the time that a value transfer took."""
        self.at = min(self.at + transfer_s, self._latest)
