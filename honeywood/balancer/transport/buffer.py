"""The one buffer of a connection: bytes come in at its end and leave at its front."""

COPIED = 4096  # what is larger and all there is, is handed over as it is


class Buffer:
    """Grows as needed; what has left is cut off in place, by and by.

    >>> b = Buffer(); b.add(b"GET / "); b.add(b"HTTP"); b.take(4), len(b), b.find(b"HT"), bytes(b.view(0, 3))
    (b'GET ', 6, 2, b'/ H')

    What ends a part is looked for only where it was not yet: a part may come byte by byte.

    >>> b.until(b"X"), b.looked, b.add(b"PX"), b.until(b"X")
    (-1, 6, None, 7)

    What was taken is let go of, also where nothing more comes.

    >>> b.take(99), len(b.data)
    (b'/ HTTPPX', 0)
    """

    __slots__ = ("data", "gone", "looked", "passed")

    def __init__(self):
        self.data, self.gone = bytearray(), 0
        self.looked = 0  # so much of what is here was searched by until()
        self.passed = 0  # bytes passed over since a message began, for those who bound that

    def __len__(self):
        return len(self.data) - self.gone

    def add(self, some):
        if self.gone * 2 >= len(self.data):
            del self.data[: self.gone]
            self.gone = 0
        self.data += some

    def find(self, what):
        at = self.data.find(what, self.gone)
        return at if at < 0 else at - self.gone

    def until(self, what):
        at = self.data.find(what, self.gone + max(0, self.looked - len(what) + 1))
        self.looked = len(self)
        return at if at < 0 else at - self.gone

    def view(self, start, end):
        return self.data[self.gone + start : self.gone + end]

    def take(self, size):
        self.looked = 0
        if size >= len(self):  # nothing is kept for a connection between two messages
            some, self.data = self.data, bytearray()
            del some[: self.gone]
            self.gone = 0
            return some if len(some) > COPIED else bytes(some)
        with memoryview(self.data) as here:
            some = bytes(here[self.gone : self.gone + size])
        self.gone += size
        return some
