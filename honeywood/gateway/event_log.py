"""The log of a program: one JSON object per line on standard output, each with the name of its event."""

from __future__ import annotations

import logging
import sys

import structlog

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Callable


LIBRARY_FORMAT = '{"event":"library","why":"%(message)s"}'


class EventLog:
    """Writes events with their fields and the version of the configuration in force."""

    def __init__(
        self,
        node: str,
        incarnation: str,
        clock: Callable[[], float],
        configuration_version: Callable[[], str | None],
    ) -> None:
        """Log for one incarnation of a node; `clock` returns monotonic seconds."""
        self._logger = structlog.get_logger().bind(node=node, life=incarnation)
        self._clock, self._configuration_version = clock, configuration_version
        self._logged_at: dict[str, float] = {}  # monotonic seconds, by event

    def info(self, event: str, min_interval_s: float = 0.0, **fields: object) -> None:
        """Write a line, unless one for the same event was written less than `min_interval_s` seconds ago."""
        now = self._clock()
        if now - self._logged_at.get(event, -min_interval_s) >= min_interval_s:
            self._logged_at[event] = now
            self._logger.info(event, config=self._configuration_version(), **fields)


def configure() -> None:
    """Set up the logging of the process: UTC timestamps, and errors of libraries as JSON lines too."""
    structlog.configure(
        processors=[
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.JSONRenderer(),
        ],
        logger_factory=structlog.PrintLoggerFactory(sys.stdout),
    )
    logging.basicConfig(level=logging.ERROR, stream=sys.stdout, format=LIBRARY_FORMAT)
