"""The receive buffer of a connection: bytes are appended at its end and taken from its front."""

from __future__ import annotations

MAX_COPIED = 4096  # bytes; if more than that is taken at once and the buffer is emptied, it is not copied


class Buffer:
    """A byte queue that grows as needed; bytes that were taken are deleted lazily.

    >>> b = Buffer(); b.add(b"GET / "); b.add(b"HTTP"); b.take(4), len(b), b.find(b"HT"), bytes(b.view(0, 3))
    (b'GET ', 6, 2, b'/ H')

    find_incremental() does not search the same bytes again, since a message may arrive byte by byte.

    >>> b.find_incremental(b"X"), b.searched, b.add(b"PX"), b.find_incremental(b"X")
    (-1, 6, None, 7)

    The memory of taken bytes is freed even if no more bytes arrive.

    >>> b.take(99), len(b.data)
    (b'/ HTTPPX', 0)
    """

    __slots__ = ("data", "_start", "searched", "skipped")

    def __init__(self) -> None:
        """Create an empty buffer."""
        self.data = bytearray()
        self._start = 0  # bytes at the front of `data` that were taken
        self.searched = 0  # bytes already searched by find_incremental()
        self.skipped = 0  # bytes skipped before the current message; counted and limited by the parser

    def __len__(self) -> int:
        return len(self.data) - self._start

    def add(self, data: bytes | bytearray) -> None:
        """Append bytes."""
        if self._start * 2 >= len(self.data):
            del self.data[: self._start]
            self._start = 0
        self.data += data

    def find(self, pattern: bytes) -> int:
        """The offset of a pattern; -1 if it is not in the buffer."""
        position = self.data.find(pattern, self._start)
        return position if position < 0 else position - self._start

    def find_incremental(self, pattern: bytes) -> int:
        """Like find(), but skips the bytes that calls since the last take() searched for this pattern."""
        overlap = len(pattern) - 1
        position = self.data.find(pattern, self._start + max(0, self.searched - overlap))
        self.searched = len(self)
        return position if position < 0 else position - self._start

    def view(self, start: int, end: int) -> bytearray:
        """A copy of a range of bytes, which stay in the buffer."""
        return self.data[self._start + start : self._start + end]

    def take(self, size: int) -> bytes | bytearray:
        """Remove and return the first `size` bytes, or all if there are fewer."""
        self.searched = 0
        if size >= len(self):  # frees the memory, so that idle connections hold none
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
