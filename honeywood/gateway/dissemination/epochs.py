"""The epoch: a number that all programs agree on, by which records whose owners have ended expire. Pure.

A record's owner publishes it again in each epoch, and the last number of its stamp says in which. A record
that wasn't published for EXPIRY_EPOCHS has no owner any more: every store that knows the epoch drops it,
and takes no copy of it from another store. The epoch only rises; a controller in quorum advances it after
EPOCH_S by its own steady clock, so no time of day is involved.
"""

from __future__ import annotations

from honeywood.gateway.dissemination.keys import RecordKind

TYPE_CHECKING = False
if TYPE_CHECKING:
    from honeywood.gateway.dissemination.record import Stamp

EPOCH_S = 300.0  # seconds that an epoch lasts at least; owners in contact publish again within 5 of them
EXPIRY_EPOCHS = 2  # after which a record expires: its owner always had a whole epoch to publish it again
MAX_EPOCH = 1 << 40  # higher numbers in stamps are no epochs
# The length of a stamp that ends with its epoch, of the kinds that are published again in each epoch.
STAMP_LENGTHS: dict[str, int] = {
    RecordKind.PROXY_COUNTS: 2,
    RecordKind.PROXY_LOCATION: 3,
    RecordKind.CONTROLLER: 3,
}


def published_in(key: str, stamp: Stamp) -> int | None:
    """The epoch in which a record was last published; None for kinds without one and for old releases."""
    kind, slash, _ = key.partition("/")
    length = STAMP_LENGTHS.get(kind)
    if not slash or length is None or len(stamp) < length:
        return None
    epoch = stamp[length - 1]
    return epoch if 0 <= epoch <= MAX_EPOCH else None


def is_expired(published: int | None, epoch: int) -> bool:
    """Whether a record that was last published in the epoch `published` has expired in `epoch`."""
    return published is not None and published + EXPIRY_EPOCHS <= epoch


class EpochClock:
    """How long the present epoch has lasted, by one controller's steady clock."""

    def __init__(self) -> None:
        """No epoch is known."""
        self.epoch: int | None = None
        self.began_at = 0.0

    def advance(self, now: float, epoch: int, in_quorum: bool) -> int:
        """The epoch at `now`, where `epoch` is the highest that is known.

        It is the next one if this one has lasted long enough. A controller out of quorum begins none.
        """
        if epoch != self.epoch:
            self.epoch, self.began_at = epoch, now
        elif in_quorum and now - self.began_at >= EPOCH_S:
            self.epoch, self.began_at = epoch + 1, now
        return self.epoch
