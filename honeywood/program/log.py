"""Log lines: one line an event, as key=value, on standard output."""
import sys

import structlog


def make(name):
    structlog.configure(
        processors=[structlog.processors.add_log_level, structlog.processors.TimeStamper(fmt="iso", utc=True),
                    structlog.processors.format_exc_info,
                    structlog.processors.LogfmtRenderer(key_order=["timestamp", "level", "event"])],
        logger_factory=structlog.WriteLoggerFactory(sys.stdout), cache_logger_on_first_use=True)
    return structlog.get_logger().bind(front=name)
