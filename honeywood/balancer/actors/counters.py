"""What a balancer did, counted: a line of the log every few seconds; those of a fleet can be added up.

docs/operate/fleet.md says what each counter tells.
"""

from __future__ import annotations

import threading
import time

TYPE_CHECKING = False
if TYPE_CHECKING:
    from typing import Any

REPORT_EVERY = 5  # calls of report(), one a second, between two lines


class Counters:
    """Each name counts from the start of the program; any actor may count."""

    def __init__(self) -> None:
        """Nothing is counted yet."""
        self._counts: dict[str, int] = {}
        self._reported: dict[str, int] = {}
        self._lock, self._calls = threading.Lock(), 0

    def add(self, name: str, count: int = 1) -> None:
        """Count something."""
        with self._lock:
            self._counts[name] = self._counts.get(name, 0) + count

    def report(self, log: Any, **gauges: int) -> None:
        """Once in REPORT_EVERY calls a line with what came since the last one; CPU in milliseconds."""
        self._calls += 1
        if self._calls % REPORT_EVERY:
            return
        with self._lock:
            counts = dict(self._counts)
        counts["cpu_ms"] = int(time.process_time() * 1000)
        new = {name: count - self._reported.get(name, 0) for name, count in counts.items()}
        self._reported = counts
        log.info("counts", **{name: count for name, count in new.items() if count}, **gauges)
