"""A store of records that converges with all others: for each key, the record with the highest stamp wins.

Stores that have merged the same records, in any order and any number of times, have the same contents. The
store counts its changes in `revision`; change_feed.py finds the changes since a revision.
"""

from __future__ import annotations

from honeywood.gateway.dissemination import epochs, tombstones
from honeywood.gateway.dissemination.digest import StoreDigest
from honeywood.gateway.dissemination.keys import RecordKind, is_controller_only, name_of
from honeywood.gateway.dissemination.large_records import LARGE_KEYS, LargeRecords
from honeywood.gateway.dissemination.record import Stamp, StoredRecord
from honeywood.gateway.dissemination.retired_machines import is_retired

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from honeywood.gateway.dissemination.record import JsonValue, Record

STALE_STAMP = Stamp.of(-1)  # below the stamps of all records
MACHINE_PREFIXES = (RecordKind.MACHINE.prefix, RecordKind.HEARTBEAT.prefix)


def ignore_update(key: str, value: JsonValue) -> None:
    """Does nothing; the default of `on_update`."""


def retain_nothing(store: Store, key: str, value: JsonValue) -> bool:
    """Returns False, so that every expired record is dropped; the default of `is_retained`."""
    return False


class Store:
    """The records of one program, by key.

    `incarnation` distinguishes this store from those of earlier starts, since revisions begin at 0 again.
    """

    def __init__(
        self,
        incarnation: str,
        on_update: Callable[[str, JsonValue], None] = ignore_update,
        is_retained: Callable[[Store, str, JsonValue], bool] = retain_nothing,
    ) -> None:
        """Initially there are no records.

        `on_update(key, value)` is called for each record that is accepted; `is_retained(store, key, value)`
        returns whether an expired record must be kept.
        """
        self.incarnation = incarnation
        self.on_update = on_update
        self.is_retained = is_retained
        self.records: dict[str, StoredRecord] = {}
        self.revision = 0
        self.large_records = LargeRecords()
        self.epoch = 0
        self._digest = StoreDigest()
        self._pruned_epoch: int | None = 0  # in which no expired record is left; None if some are retained

    # changes
    def put(self, key: str, stamp: Stamp, value: JsonValue) -> bool:
        """Adds a record if it is newer than the stored one with its key; returns whether it was added."""
        if key.startswith(RecordKind.TOMBSTONES.prefix):
            return self._merge_tombstones(key, stamp, value)
        published_epoch = epochs.publication_epoch(key, stamp)
        if published_epoch is not None:
            self.observe_epoch(published_epoch)
            if self._must_expire(key, stamp, value):
                return False
            if epochs.is_expired(published_epoch, self.epoch):
                self._pruned_epoch = None  # it is retained: prune checks again whether it still is
        stored = self.records.get(key)
        if stored is None:
            if key.startswith(MACHINE_PREFIXES) and self.has_tombstone(name_of(key)):
                return False
        elif stored.stamp >= stamp and not self._is_superseded(key, stored.stamp, published_epoch):
            return False
        self._set(key, stamp, value)
        return True

    def merge(self, records: Iterable[Record]) -> int:
        """Adds the newer ones of the records of another store; returns how many were added."""
        return sum([self.put(record.key, record.stamp, record.value) for record in records])

    def drop(self, key: str) -> None:
        """Drops a record; it is added again if a program publishes it again."""
        self._toggle_digest(key)
        self.records.pop(key, None)

    def drop_machine(self, machine_id: str, permanently: bool) -> None:
        """Drops the records of a machine.

        If `permanently`, a tombstone is added, so that none of these records is accepted again.
        """
        for prefix in MACHINE_PREFIXES:
            self.drop(prefix + machine_id)
        if permanently and not self.has_tombstone(machine_id):
            key = tombstones.bucket_key(machine_id)
            stored = self.records.get(key)
            if stored is None:
                self._set(key, Stamp.of(1), tombstones.add(None, machine_id))
            else:
                bucket = tombstones.add(stored.value, machine_id)
                self._set(key, Stamp.of(stored.stamp[0] + 1), bucket)

    def _set(self, key: str, stamp: Stamp, value: JsonValue) -> None:
        self.revision += 1
        self._toggle_digest(key)
        self.records[key] = StoredRecord(stamp, value, self.revision)
        self._toggle_digest(key)
        self.large_records.add(key, stamp, value)
        self.on_update(key, value)

    def _merge_tombstones(self, key: str, stamp: Stamp, value: JsonValue) -> bool:
        stored = self.records.get(key)
        if stored is None:
            self._set(key, stamp, tombstones.merge(value, value))
            return True
        merged = tombstones.merge(stored.value, value)
        if merged == stored.value:
            return False
        if merged != value or stamp <= stored.stamp:
            stamp = Stamp.of(max(stored.stamp, stamp)[0] + 1)
        self._set(key, stamp, merged)
        return True

    def has_tombstone(self, machine_id: str) -> bool:
        """Whether a machine is known to have left permanently."""
        return tombstones.contains(self.get(tombstones.bucket_key(machine_id)), machine_id)

    @property
    def tombstone_count(self) -> int:
        """How many machines are known to have left permanently."""
        return tombstones.count(value for _, value in self.items_of(RecordKind.TOMBSTONES))

    # expiry
    def observe_epoch(self, epoch: int) -> None:
        """Advances the epoch to that of another program if it is higher."""
        self.epoch = max(self.epoch, epoch)

    def prune(self) -> list[str]:
        """Drops expired records and returns their keys.

        Once no expired record is left, further calls in the same epoch do nothing.
        """
        if self._pruned_epoch == self.epoch:
            return []
        expired = [
            key
            for key, stored in self.records.items()
            if epochs.is_expired(epochs.publication_epoch(key, stored.stamp), self.epoch)
        ]
        dropped = [key for key in expired if not self.is_retained(self, key, self.records[key].value)]
        for key in dropped:
            self.drop(key)
        self._pruned_epoch = self.epoch if len(dropped) == len(expired) else None
        return dropped

    def _must_expire(self, key: str, stamp: Stamp, value: JsonValue) -> bool:
        """Whether a record has expired and does not have to be retained."""
        is_expired = epochs.is_expired(epochs.publication_epoch(key, stamp), self.epoch)
        return is_expired and not self.is_retained(self, key, value)

    @staticmethod
    def _is_superseded(key: str, stored: Stamp, published_epoch: int | None) -> bool:
        """Whether a stored record has expired in the epoch in which another one with its key was published.

        The newer publication then wins whatever its incarnation, because the owner's clock may have been set
        back in the meantime.
        """
        return published_epoch is not None and epochs.is_expired(
            epochs.publication_epoch(key, stored), published_epoch
        )

    # staleness
    def mark_stale(self, kind: RecordKind) -> None:
        """Marks the records of a kind as possibly out of date; any record that arrives replaces them."""
        for key, stored in self._stored(kind):
            self._toggle_digest(key)
            stored.stamp = STALE_STAMP
            self._toggle_digest(key)

    def stale_keys(self, kind: RecordKind) -> list[str]:
        """Returns the keys of the records of a kind that were marked as stale and have not been replaced."""
        return [key for key, stored in self._stored(kind) if stored.stamp is STALE_STAMP]

    # reading
    def get(self, key: str) -> JsonValue:
        """Returns the value of a record, or None."""
        stored = self.records.get(key)
        return None if stored is None else stored.value

    def stamp(self, key: str) -> Stamp | None:
        """Returns the stamp of a record, or None."""
        stored = self.records.get(key)
        return None if stored is None else stored.stamp

    def items_of(self, kind: RecordKind) -> list[tuple[str, JsonValue]]:
        """Returns the keys and values of the records of a kind."""
        return [(key, stored.value) for key, stored in self._stored(kind)]

    def items_by_revision(self, kind: RecordKind) -> list[tuple[str, JsonValue]]:
        """Returns the keys and values of the records of a kind, in the order in which they were added."""
        return sorted(self.items_of(kind), key=lambda item: self.records[item[0]].revision)

    def large_record_stamps(self) -> dict[str, Stamp]:
        """Returns the stamps of the large records, by key."""
        return {key: self.records[key].stamp for key in LARGE_KEYS if key in self.records}

    def _stored(self, kind: RecordKind) -> Iterable[tuple[str, StoredRecord]]:
        prefix = kind.prefix
        return ((key, stored) for key, stored in self.records.items() if key.startswith(prefix))

    # the digest
    @property
    def digest(self) -> str:
        """The digest of the records that every program may have, as it appears in messages."""
        return self._digest.encode()

    def _toggle_digest(self, key: str) -> None:
        """Adds a record to the digest, or removes it.

        Records for controllers only are left out, and so are those of retired machines, which the stores drop
        at different times.
        """
        stored = self.records.get(key)
        if stored is None or is_controller_only(key) or is_retired(stored.value):
            return
        self._digest.toggle(key, stored.stamp)
