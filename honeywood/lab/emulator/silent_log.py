"""A program's log that writes nothing."""

from __future__ import annotations

from honeywood.gateway.event_log import EventLog


class SilentLog(EventLog):
    """Takes the place of an EventLog in worlds and tests."""

    def __init__(self) -> None:
        """Need neither a node nor a clock."""

    def info(self, event: str, min_interval_s: float = 0.0, **fields: object) -> None:
        """Write nothing."""
