"""The epoch: a number that all programs share, by which the records of owners that have ended expire.

The owner of a record publishes it again in each epoch, and the last number of the record's stamp is the epoch
of its publication. A record that was not published again for EXPIRY_EPOCHS epochs has no owner any more:
every store that knows the epoch drops the record, and accepts no copy of it from another store. The epoch
only increases. A controller in quorum advances it after EPOCH_S seconds of its own monotonic clock, so the
time of day is not involved.

This module performs no I/O: times come from the caller.
"""

from __future__ import annotations

from honeywood.gateway.dissemination.keys import RecordKind

TYPE_CHECKING = False
if TYPE_CHECKING:
    from honeywood.gateway.dissemination.record import Stamp

EPOCH_S = 300.0  # minimum duration of an epoch; owners that have contact publish again within 5 s
EXPIRY_EPOCHS = 2  # until a record expires; its owner had at least one complete epoch to publish it again
MAX_EPOCH = 1 << 40  # higher numbers in stamps are not epochs
# The kinds that are published again in each epoch, with the length of a stamp that ends with the epoch.
STAMP_LENGTHS: dict[str, int] = {
    RecordKind.PROXY_COUNTS: 2,
    RecordKind.PROXY_LOCATION: 3,
    RecordKind.CONTROLLER: 3,
}


def publication_epoch(key: str, stamp: Stamp) -> int | None:
    """Returns the epoch in which a record was last published.

    This is None for kinds without epochs, for stamps of old releases, and for numbers out of range.
    """
    kind, slash, _ = key.partition("/")
    length = STAMP_LENGTHS.get(kind)
    if not slash or length is None or len(stamp) < length:
        return None
    epoch = stamp[length - 1]
    return epoch if 0 <= epoch <= MAX_EPOCH else None


def is_expired(published_epoch: int | None, epoch: int) -> bool:
    """Whether a record that was last published in `published_epoch` has expired in `epoch`."""
    return published_epoch is not None and published_epoch + EXPIRY_EPOCHS <= epoch


class EpochClock:
    """Measures how long the current epoch has lasted, by the monotonic clock of one controller."""

    def __init__(self) -> None:
        """Initially no epoch is known."""
        self.epoch: int | None = None
        self.began_at = 0.0

    def advance(self, now: float, epoch: int, in_quorum: bool) -> int:
        """Returns the epoch at `now`; `epoch` is the highest known one.

        The next epoch begins once the current one has lasted for EPOCH_S seconds. A controller that is not in
        quorum begins none.
        """
        if epoch != self.epoch:
            self.epoch, self.began_at = epoch, now
        elif in_quorum and now - self.began_at >= EPOCH_S:
            self.epoch, self.began_at = epoch + 1, now
        return self.epoch
