"""The count of file descriptors, which keeps the process below the limit of the system."""

from __future__ import annotations

import threading


class Descriptors:
    """Counts free descriptors out of `limit`.

    Clients leave some free, so that servers, discovery and the platform always get theirs.
    """

    def __init__(self, limit: int) -> None:
        """Create the count with all descriptors free."""
        self.free, self._lock = limit, threading.Lock()

    def take(self, keep: int = 0) -> bool:
        """Take one if more than `keep` are free; return whether it was taken."""
        with self._lock:
            if self.free <= keep:
                return False
            self.free -= 1
            return True

    def release(self) -> None:
        """Release one."""
        with self._lock:
            self.free += 1
