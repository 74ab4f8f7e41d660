"""Detects that this process stood still: its machine was suspended, or it got no processor time.

What lies unread in its sockets then may be old, and whoever sent it may have gone to another controller.
"""

from __future__ import annotations

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Callable

    from honeywood.gateway.event_log import EventLog

TICK_INTERVAL_S = 0.1  # seconds between two ticks
STALL_THRESHOLD_S = 0.5  # seconds without a tick that count as a stall
RECOVERY_S = 1.0  # seconds after a stall in which what arrives may have been sent before or during it


class StallDetector:
    """Compares the times of its own ticks, which a periodic task drives every TICK_INTERVAL_S seconds."""

    def __init__(self, clock: Callable[[], float], log: EventLog) -> None:
        """Start without a stall; `clock` gives steady seconds."""
        self._clock, self._log = clock, log
        self._last_tick_at = clock()
        self._resumed_at = clock() - RECOVERY_S

    async def tick(self) -> None:
        """Take note that this process runs, and log a stall that has just ended."""
        now = self._clock()
        gap_s = now - self._last_tick_at
        if gap_s > STALL_THRESHOLD_S:
            self._resumed_at = now
            self._log.info("process stalled", gap_s=round(gap_s, 1))
        self._last_tick_at = now

    @property
    def resumed_recently(self) -> bool:
        """Whether a message that is read now may have waited for a stall to end."""
        now = self._clock()
        return now - self._last_tick_at > STALL_THRESHOLD_S or now - self._resumed_at < RECOVERY_S
