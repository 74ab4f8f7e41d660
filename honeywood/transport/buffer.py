"""The one buffer of a connection: bytes come in at its end and leave at its front."""


class Buffer:
    """Grows as needed; what has left is cut off in place, by and by.

    >>> b = Buffer(); b.add(b"GET / "); b.add(b"HTTP"); b.take(4), len(b), b.find(b"HT"), bytes(b.view(0, 3))
    (b'GET ', 6, 2, b'/ H')
    """
    __slots__ = ("data", "gone")

    def __init__(self):
        self.data, self.gone = bytearray(), 0

    def __len__(self):
        return len(self.data) - self.gone

    def add(self, some):
        if self.gone * 2 >= len(self.data):
            del self.data[:self.gone]
            self.gone = 0
        self.data += some

    def find(self, what, start=0):
        at = self.data.find(what, self.gone + start)
        return at if at < 0 else at - self.gone

    def view(self, start, end):
        return self.data[self.gone + start:self.gone + end]

    def take(self, size):
        some = bytes(self.view(0, size))
        self.gone += len(some)
        return some
