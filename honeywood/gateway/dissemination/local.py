"""Records that a program tells of itself. Its clock may have been set back since its last incarnation: who
hears one of its own records from before goes above the stamp (as OSPF does, RFC 2328, 13.4)."""


class LocalRecords:
    """Keys of ours on the store; stamps are [incarnation, a number that rises, epoch]. `mine(key)` knows our
    keys."""

    def __init__(self, store, incarnation, mine):
        """Nothing has been told; `incarnation` rises from start to start, clocks willing."""
        self.store, self.incarnation, self.mine, self.number, self.values = store, incarnation, mine, 0, {}
        self.telling, self.epoch = False, store.epoch

    def tell(self, key, value):
        """Tells all of a value, in place of the one before."""
        self.values[key] = value
        self.number += 1
        self.telling = True
        try:
            self.store.put(key, [self.incarnation, self.number, self.store.epoch], value)
        finally:
            self.telling = False

    def refresh(self):
        """In a new epoch: tells all again, but what was taken back."""
        if self.epoch == self.store.epoch:
            return
        self.epoch = self.store.epoch
        self.values = {key: value for key, value in self.values.items() if value is not None}
        for key, value in self.values.items():
            self.tell(key, value)

    def heard(self, key):
        """A record has come to the store: where it is of an earlier incarnation of ours, all is told again
        above it; what this one hasn't told is taken back with the value None."""
        if self.telling or not self.mine(key):
            return
        earlier = self.store.stamp(key)[0]
        again = {key: self.values.get(key)}
        if earlier >= self.incarnation:
            self.incarnation, again = earlier + 1, {**self.values, **again}
        for one, value in again.items():
            self.tell(one, value)
