"""The epoch: a number that all programs agree on, by which records of owners that have ended lapse. Pure.

Whoever owns a record tells it again in each epoch, and the last number of its stamp says in which. A record
that was last told LAPSE epochs ago has no owner any more: every store that knows the epoch drops it, and
takes no copy of it from one that doesn't. The epoch only rises; a controller in quorum brings it on once it
has stood for EPOCH_S by that controller's own steady clock, so no time of day is in it.
"""

EPOCH_S = 300.0  # seconds that an epoch stands at least; any owner in touch tells its records again within 5
LAPSE = 2  # epochs after which a record lapses: so its owner always had one whole epoch for telling it again
MOST = 1 << 40  # the highest number that is taken for an epoch
OWNED = ("count/", "fleet/", "bourse/")  # keys of records that are told again in each epoch
TAGGED = {"count/": 2, "fleet/": 3, "bourse/": 3}  # numbers in the stamps of those that carry their epoch


def told_in(key, stamp):
    """The epoch in which a record was told last; None where that isn't known, as with programs of before."""
    if not key.startswith(OWNED):
        return None
    length = TAGGED[key[: key.index("/") + 1]]
    if len(stamp) < length or not 0 <= stamp[length - 1] <= MOST:
        return None
    return stamp[length - 1]


def lapsed(told, epoch):
    """Whether a record told last in the epoch `told` has lapsed in `epoch`."""
    return told is not None and told + LAPSE <= epoch


class EpochClock:
    """For how long an epoch has stood, by one controller's steady clock."""

    def __init__(self):
        """No epoch has been heard of."""
        self.epoch, self.since = None, 0.0

    def next(self, now, epoch, in_quorum):
        """The epoch that holds now, where `epoch` was heard last: the same, or the next one once this has
        stood for long enough. Who is cut off brings on none."""
        if epoch != self.epoch:
            self.epoch, self.since = epoch, now
        elif in_quorum and now - self.since >= EPOCH_S:
            self.epoch, self.since = epoch + 1, now
        return self.epoch
