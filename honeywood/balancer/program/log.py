"""The log: one line per event, as key=value pairs, on standard output."""

from __future__ import annotations

import sys

import structlog

from honeywood.balancer.transport.mailbox import Mailbox, MailboxFull

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Callable
    from typing import Any

    from honeywood.balancer.protocol.discovery import Address

MAX_LINES = 2000  # queued to be written


class Output:
    """Writes lines on a separate thread, so that a reader of the log that stalls does not block any actor.

    Lines that do not fit into the queue meanwhile are dropped and counted.
    """

    def __init__(self, fail: Callable[[str, BaseException], Any]) -> None:
        """Create the output and start its thread."""
        self._mailbox, self._dropped = Mailbox("log", MAX_LINES, fail), 0
        self._mailbox.start()

    def write(self, text: str) -> None:
        """Queue a line (part of the interface of a text file that structlog needs)."""
        try:
            self._mailbox.post(self._write, text)
        except MailboxFull:
            self._dropped += 1

    def flush(self) -> None:
        """Do nothing, since each written line is flushed (needed by structlog)."""

    def call_when_written(self, call: Callable[[], Any]) -> None:
        """Run a call once all lines queued so far are written."""
        self._mailbox.post(call)

    def _write(self, text: str) -> None:
        if self._dropped:
            text += f"level=warning event=lines_dropped lines={self._dropped}\n"
            self._dropped = 0
        sys.stdout.write(text)
        sys.stdout.flush()


def make_logger(name: str, output: Output) -> Any:
    """A structlog logger that adds the name of the balancer to each line."""
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            structlog.processors.LogfmtRenderer(key_order=["timestamp", "level", "event"]),
        ],
        logger_factory=structlog.WriteLoggerFactory(output),  # type: ignore[arg-type]  # only write and flush are used
        cache_logger_on_first_use=True,
    )
    return structlog.get_logger().bind(front=name)


def format_address(address: Address) -> str:
    """Format an address for a log line."""
    return f"{address.host}:{address.port}"
