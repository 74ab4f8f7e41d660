"""The one buffer of a connection: bytes come in at its end and leave at its front."""

from __future__ import annotations

MAX_COPIED = 4096  # what is larger and all there is, is handed over as it is


class Buffer:
    """Grows as needed; what has left is cut off in position, by and by.

    >>> b = Buffer(); b.add(b"GET / "); b.add(b"HTTP"); b.take(4), len(b), b.find(b"HT"), bytes(b.view(0, 3))
    (b'GET ', 6, 2, b'/ H')

    What ends a message is looked for only where it was not yet: a message may come byte by byte.

    >>> b.find_further(b"X"), b.searched, b.add(b"PX"), b.find_further(b"X")
    (-1, 6, None, 7)

    What was taken is let go of, also where nothing more comes.

    >>> b.take(99), len(b.data)
    (b'/ HTTPPX', 0)
    """

    __slots__ = ("data", "_start", "searched", "skipped")

    def __init__(self) -> None:
        """It is empty."""
        self.data = bytearray()
        self._start = 0  # bytes of `data` that were taken
        self.searched = 0  # so much of what is here was searched by find_further()
        self.skipped = 0  # bytes skipped since a message began, for those who bound that

    def __len__(self) -> int:
        return len(self.data) - self._start

    def add(self, data: bytes | bytearray) -> None:
        """Append bytes."""
        if self._start * 2 >= len(self.data):
            del self.data[: self._start]
            self._start = 0
        self.data += data

    def find(self, pattern: bytes) -> int:
        """Where a pattern begins; -1 where it is not here."""
        position = self.data.find(pattern, self._start)
        return position if position < 0 else position - self._start

    def find_further(self, pattern: bytes) -> int:
        """The same, where earlier calls since the last take() looked for this pattern in vain."""
        overlap = len(pattern) - 1
        position = self.data.find(pattern, self._start + max(0, self.searched - overlap))
        self.searched = len(self)
        return position if position < 0 else position - self._start

    def view(self, start: int, end: int) -> bytearray:
        """Some of it, which stays."""
        return self.data[self._start + start : self._start + end]

    def take(self, size: int) -> bytes | bytearray:
        """The first `size` bytes, or all there are, taken out."""
        self.searched = 0
        if size >= len(self):  # nothing is kept for a connection between two messages
            return self._take_all()
        with memoryview(self.data) as data:
            taken = bytes(data[self._start : self._start + size])
        self._start += size
        return taken

    def _take_all(self) -> bytes | bytearray:
        taken, self.data = self.data, bytearray()
        del taken[: self._start]
        self._start = 0
        return taken if len(taken) > MAX_COPIED else bytes(taken)
