"""How long a peer that didn't answer is left alone. Pure."""

FIRST, GROWTH = 0.1, 2.0  # seconds of the first pause; by how much each next is longer


class Backoff:
    """Peers that didn't answer, and until when each is left alone: longer each time, up to `most` seconds,
    and by chance down to half of it, so that not all ask one that returns in the same moment."""

    def __init__(self, random, most):
        """`random` is handed in; `most` is in seconds."""
        self.random, self.most, self.failed = random, most, {}

    def answered(self, peer, again=0.0):
        """The next silence begins anew; `again` is when it wants to be asked again."""
        self.failed[peer] = again, FIRST / GROWTH

    def silent(self, peer, now):
        """A peer didn't answer: its pause begins."""
        length = min(self.most, self.failed.get(peer, (0.0, FIRST / GROWTH))[1] * GROWTH)
        self.failed[peer] = now + length * (0.5 + 0.5 * self.random.random()), length

    def forget(self, peer):
        """A peer is asked no more."""
        self.failed.pop(peer, None)

    def rest(self, peer, now):
        """Seconds for which a peer isn't asked."""
        return max(0.0, self.failed.get(peer, (0.0,))[0] - now)

    def fit(self, peers, now):
        """The peers that may be asked, in their order; where none may, the one whose pause ends first."""
        found = [peer for peer in peers if not self.rest(peer, now)]
        return found or sorted(peers, key=lambda peer: self.rest(peer, now))[:1]
