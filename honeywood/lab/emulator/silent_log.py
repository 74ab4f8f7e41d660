"""An event log that discards all events."""

from __future__ import annotations

from honeywood.gateway.event_log import EventLog


class SilentLog(EventLog):
    """Replaces a program's EventLog in worlds and tests."""

    def __init__(self) -> None:
        """Create the log, without the node and the clock that an EventLog needs."""

    def info(self, event: str, min_interval_s: float = 0.0, **fields: object) -> None:
        """Discard an event."""
