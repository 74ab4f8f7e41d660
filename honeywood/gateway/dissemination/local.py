"""MachineRecords that a program tells of itself. Its clock may have been set back since its last life: who
hears one of its own notes from before goes above the stamp (as OSPF does, RFC 2328, 13.4)."""


class LocalRecords:
    """Keys of ours on the store; stamps are [incarnation, a number that rises, epoch]. `mine` knows our
    keys."""

    def __init__(self, store, incarnation, mine):
        self.store, self.incarnation, self.mine, self.n, self.values = store, incarnation, mine, 0, {}
        self.telling, self.epoch = False, store.epoch

    def tell(self, key, value):
        self.values[key] = value
        self.n += 1
        self.telling = True
        try:
            self.store.put(key, [self.incarnation, self.n, self.store.epoch], value)
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
        """A note has come to the store: where it is of an earlier life of ours, all is told again above it;
        what this life hasn't told is taken back with the value None."""
        if self.telling or not self.mine(key):
            return
        past = self.store.notes[key][0][0]
        again = {key: self.values.get(key)}
        if past >= self.incarnation:
            self.incarnation, again = past + 1, {**self.values, **again}
        for one, value in again.items():
            self.tell(one, value)
