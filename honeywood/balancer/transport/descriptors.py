"""The one count of descriptors held, so that the bound of the process is never met by surprise."""

import threading


class Descriptors:
    """Of `limit`, clients may hold so many that servers, list and platform keep theirs."""

    def __init__(self, limit):
        self.free, self.lock = limit, threading.Lock()

    def take(self, keep=0):
        """Takes one where more than `keep` are left."""
        with self.lock:
            if self.free <= keep:
                return False
            self.free -= 1
            return True

    def give(self):
        with self.lock:
            self.free += 1
