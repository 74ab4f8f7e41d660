"""How much of a link dissemination may take. Pure."""

SHARE = 0.6  # of its link a program's answers may take; the rest is for the register, machines and clients
PART_S = 0.12  # seconds of a link that one answer may take
LEAST, MOST = 8 << 10, 64 << 10  # bytes of one answer, whatever the link


def answer_bytes(rate):
    """The bytes of one answer on a link of `rate` bytes a second."""
    return int(min(MOST, max(LEAST, PART_S * rate)))


class LinkPacer:
    """Answers one after the other on their share of a link; `rate` is in bytes a second."""

    def __init__(self, rate):
        """Nothing has been promised."""
        self.rate, self.free_at = SHARE * rate, 0.0

    def behind(self, now):
        """Seconds until what was promised has left."""
        return max(0.0, self.free_at - now)

    def take(self, now, size):
        """Seconds that an answer of `size` bytes waits for those before it."""
        wait = self.behind(now)
        self.free_at = now + wait + size / self.rate
        return wait
