"""Until when a change starts new ballots. Pure: times are passed in, in seconds of one steady clock."""

from __future__ import annotations

from honeywood.gateway.register.value_transfer import VALUE_TIMEOUT_S

CHANGE_TIMEOUT_S = 0.6
"""In which a change starts new ballots: its caller goes to another controller after 1 s."""


class RetryDeadline:
    """The time after which a change that lost a ballot fails.

    Time in which a large value was transferred is added, up to a limit, since the next ballot finds the
    value there.
    """

    def __init__(self, now: float) -> None:
        """Start the change now."""
        self.at = now + CHANGE_TIMEOUT_S
        self._latest = self.at + VALUE_TIMEOUT_S

    def extend(self, transfer_s: float) -> None:
        """Add the time for which a value was on its way."""
        self.at = min(self.at + transfer_s, self._latest)
