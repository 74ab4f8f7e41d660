"""The log of a program: one JSON object a line on standard output, named by its event."""

from __future__ import annotations

import logging
import sys

import structlog

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Callable


LIBRARY_FORMAT = '{"event":"library","why":"%(message)s"}'


class EventLog:
    """Events with their fields, and with the version of the configuration that is in force."""

    def __init__(
        self,
        node: str,
        incarnation: str,
        clock: Callable[[], float],
        configuration_version: Callable[[], str | None],
    ) -> None:
        """Write events of a node's incarnation; `clock` gives steady seconds."""
        self._logger = structlog.get_logger().bind(node=node, life=incarnation)
        self._clock, self._configuration_version = clock, configuration_version
        self._logged_at: dict[str, float] = {}  # steady seconds, by event

    def info(self, event: str, min_interval_s: float = 0.0, **fields: object) -> None:
        """Write a line, unless one of the same event was written less than `min_interval_s` seconds ago."""
        now = self._clock()
        if now - self._logged_at.get(event, -min_interval_s) >= min_interval_s:
            self._logged_at[event] = now
            self._logger.info(event, config=self._configuration_version(), **fields)


def configure() -> None:
    """Set up the process's logging: times in UTC, errors of libraries as lines of the same form."""
    structlog.configure(
        processors=[
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.JSONRenderer(),
        ],
        logger_factory=structlog.PrintLoggerFactory(sys.stdout),
    )
    logging.basicConfig(level=logging.ERROR, stream=sys.stdout, format=LIBRARY_FORMAT)
