"""Detects that this process was stalled: its machine was suspended, or it got no processor time.

Requests that were in its sockets during the stall may be old, and their senders may have switched to another
controller.
"""

from __future__ import annotations

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Callable

    from honeywood.gateway.event_log import EventLog

TICK_INTERVAL_S = 0.1  # seconds between two ticks
STALL_THRESHOLD_S = 0.5  # a longer time without a tick is a stall
RECOVERY_S = 1.0  # seconds after a stall in which a received message may have been sent before its end


class StallDetector:
    """Measures the time between ticks, which a periodic task triggers every TICK_INTERVAL_S seconds."""

    def __init__(self, clock: Callable[[], float], log: EventLog) -> None:
        """Start without a stall; `clock` returns monotonic seconds."""
        self._clock, self._log = clock, log
        self._last_tick_at = clock()
        self._resumed_at = clock() - RECOVERY_S

    async def tick(self) -> None:
        """Record that this process is running, and log a stall that has just ended."""
        now = self._clock()
        gap_s = now - self._last_tick_at
        if gap_s > STALL_THRESHOLD_S:
            self._resumed_at = now
            self._log.info("process stalled", gap_s=round(gap_s, 1))
        self._last_tick_at = now

    @property
    def resumed_recently(self) -> bool:
        """Whether a message that is read now may have waited through a stall."""
        now = self._clock()
        return now - self._last_tick_at > STALL_THRESHOLD_S or now - self._resumed_at < RECOVERY_S
