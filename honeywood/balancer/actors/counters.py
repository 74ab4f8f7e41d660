"""Counters of what a balancer did, logged every few seconds; those of several balancers can be added up.

docs/operate/fleet.md describes each counter.
"""

from __future__ import annotations

import threading
import time

TYPE_CHECKING = False
if TYPE_CHECKING:
    from typing import Any

REPORT_EVERY = 5  # calls of report(), made once a second, per log line


class Counters:
    """Counters by name, since the start of the program; any thread may increment them."""

    def __init__(self) -> None:
        """Create an empty set of counters."""
        self._counts: dict[str, int] = {}
        self._reported: dict[str, int] = {}
        self._lock, self._calls = threading.Lock(), 0

    def add(self, name: str, count: int = 1) -> None:
        """Increment a counter, which starts at 0."""
        with self._lock:
            self._counts[name] = self._counts.get(name, 0) + count

    def report(self, log: Any, **gauges: int) -> None:
        """Every REPORT_EVERY calls, log the increments since the last line, the CPU time (ms) and gauges."""
        self._calls += 1
        if self._calls % REPORT_EVERY:
            return
        with self._lock:
            counts = dict(self._counts)
        counts["cpu_ms"] = int(time.process_time() * 1000)
        increments = {name: count - self._reported.get(name, 0) for name, count in counts.items()}
        self._reported = counts
        log.info("counts", **{name: count for name, count in increments.items() if count}, **gauges)
