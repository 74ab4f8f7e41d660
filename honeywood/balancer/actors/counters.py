"""What a front did, counted: one line of the log every few seconds, so that the lines of a fleet can be added
up. docs/operate/fleet.md says what each counter tells."""

import threading
import time

EVERY = 5  # looks of the keeper at servers, one a second, between two lines


class Counters:
    """Each name counts from the start of the program; any actor may count."""

    def __init__(self):
        self.counts, self.told, self.lock, self.looks = {}, {}, threading.Lock(), 0

    def add(self, name, by=1):
        with self.lock:
            self.counts[name] = self.counts.get(name, 0) + by

    def look(self, log, **gauges):
        """Once in EVERY calls a line with what came since the last one; CPU in milliseconds."""
        self.looks += 1
        if self.looks % EVERY:
            return
        with self.lock:
            now = dict(self.counts)
        now["cpu_ms"] = int(time.process_time() * 1000)
        since = {name: count - self.told.get(name, 0) for name, count in now.items()}
        self.told = now
        log.info("counts", **{name: count for name, count in since.items() if count}, **gauges)
