"""Log lines: one line an event, as key=value, on standard output."""

from __future__ import annotations

import sys

import structlog

from honeywood.balancer.transport.mailbox import Mailbox, MailboxFull

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Callable
    from typing import Any

    from honeywood.balancer.protocol.discovery import Address

MAX_LINES = 2000  # that wait to be written


class Output:
    """Writes lines on a thread of its own: a reader of the log that stands still stops no actor.

    What does not fit meanwhile is dropped and counted.
    """

    def __init__(self, fail: Callable[[str, BaseException], Any]) -> None:
        """It writes at once."""
        self._mailbox, self._dropped = Mailbox("log", MAX_LINES, fail), 0
        self._mailbox.start()

    def write(self, text: str) -> None:
        """Have a line written (the part of a text file that structlog needs)."""
        try:
            self._mailbox.post(self._write, text)
        except MailboxFull:
            self._dropped += 1

    def flush(self) -> None:
        """Lines are flushed as they are written (the part of a text file that structlog needs)."""

    def call_when_written(self, call: Callable[[], Any]) -> None:
        """Make a call once all lines of now are written."""
        self._mailbox.post(call)

    def _write(self, text: str) -> None:
        if self._dropped:
            text += f"level=warning event=lines_dropped lines={self._dropped}\n"
            self._dropped = 0
        sys.stdout.write(text)
        sys.stdout.flush()


def make_logger(name: str, output: Output) -> Any:
    """A structlog logger of the balancer of this name."""
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            structlog.processors.LogfmtRenderer(key_order=["timestamp", "level", "event"]),
        ],
        logger_factory=structlog.WriteLoggerFactory(output),  # type: ignore[arg-type]  # it needs write and flush
        cache_logger_on_first_use=True,
    )
    return structlog.get_logger().bind(front=name)


def format_address(address: Address) -> str:
    """An address in a log line."""
    return f"{address.host}:{address.port}"
