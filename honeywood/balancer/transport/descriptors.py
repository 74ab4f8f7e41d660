"""The one count of file descriptors, so that the process's bound is never met by surprise."""

from __future__ import annotations

import threading


class Descriptors:
    """Of `limit`, clients may hold so many that servers, list and platform keep theirs."""

    def __init__(self, limit: int) -> None:
        """All are free."""
        self.free, self._lock = limit, threading.Lock()

    def take(self, keep: int = 0) -> bool:
        """Take one where more than `keep` are left; whether it was taken."""
        with self._lock:
            if self.free <= keep:
                return False
            self.free -= 1
            return True

    def release(self) -> None:
        """Give one back."""
        with self._lock:
            self.free += 1
