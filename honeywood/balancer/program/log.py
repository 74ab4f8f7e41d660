"""Log lines: one line an event, as key=value, on standard output."""

import sys

import structlog

from honeywood.balancer.transport.mailbox import Mailbox, Overflow

MOST_LINES = 2000


class Output:
    """Writes lines on a thread of its own: a reader of the log that stands still stops no actor. What does
    not fit meanwhile is dropped and counted."""

    def __init__(self, fail):
        self.mailbox, self.dropped = Mailbox("log", MOST_LINES, fail), 0
        self.mailbox.start()

    def write(self, text):
        try:
            self.mailbox.post(self.put, text)
        except Overflow:
            self.dropped += 1

    def put(self, text):
        if self.dropped:
            text, self.dropped = f"{text}level=warning event=lines_dropped lines={self.dropped}\n", 0
        sys.stdout.write(text)
        sys.stdout.flush()

    def flush(self):
        pass


def make(name, output):
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            structlog.processors.LogfmtRenderer(key_order=["timestamp", "level", "event"]),
        ],
        logger_factory=structlog.WriteLoggerFactory(output),
        cache_logger_on_first_use=True,
    )
    return structlog.get_logger().bind(front=name)


def name(address):
    return ":".join(map(str, address))
