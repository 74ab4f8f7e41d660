"""How much of a link news may take, and how long one who didn't answer is left alone. Pure."""

SHARE = 0.6  # of its link a program's news may take; the rest is for the register, machines and clients
PART = 0.12  # seconds of a link that one answer may take
LEAST, MOST = 8 << 10, 64 << 10  # bytes of one answer, whatever the link
FIRST, GROWTH = 0.1, 2.0  # seconds of the first pause; by how much each next is longer


def part(rate):
    """The bytes of one answer on a link of `rate` bytes a second."""
    return int(min(MOST, max(LEAST, PART * rate)))


class Pace:
    """Answers one after the other on the part of a link that is for news; `rate` is in bytes a second."""

    def __init__(self, rate):
        self.rate, self.free_at = SHARE * rate, 0.0

    def behind(self, now):
        """Seconds until what was promised has left."""
        return max(0.0, self.free_at - now)

    def take(self, now, size):
        """Seconds that an answer of `size` bytes waits for those before it."""
        wait = self.behind(now)
        self.free_at = now + wait + size / self.rate
        return wait


class Backoff:
    """Peers that didn't answer, and until when each is left alone: longer each time, up to `most` seconds,
    and by chance down to half of it, so that not all ask one that returns in the same moment."""

    def __init__(self, random, most):
        self.random, self.most, self.failed = random, most, {}

    def answered(self, peer, again=0.0):
        """The next silence begins anew; `again` is when it wants to be asked again."""
        self.failed[peer] = again, FIRST / GROWTH

    def silent(self, peer, now):
        length = min(self.most, self.failed.get(peer, (0.0, FIRST / GROWTH))[1] * GROWTH)
        self.failed[peer] = now + length * (0.5 + 0.5 * self.random.random()), length

    def rest(self, peer, now):
        """Seconds for which a peer isn't asked."""
        return max(0.0, self.failed.get(peer, (0.0,))[0] - now)

    def fit(self, peers, now):
        """The peers that may be asked, in their order; where none may, the one whose pause ends first."""
        found = [peer for peer in peers if not self.rest(peer, now)]
        return found or sorted(peers, key=lambda peer: self.rest(peer, now))[:1]
