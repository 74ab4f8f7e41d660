"""A store of records that converges with all others: of each key the record with the highest stamp wins.

Stores that have merged the same records, in any order and any number of times, are alike. The store counts
its changes in `revision`; change_feed.py finds what has changed since one.
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

STALE = Stamp.of(-1)  # below all stamps of records
MACHINE_PREFIXES = (RecordKind.MACHINE.prefix, RecordKind.HEARTBEAT.prefix)


def ignore_update(key: str, value: JsonValue) -> None:
    """The `on_update` of a store whose changes nobody observes."""


def retain_nothing(store: Store, key: str, value: JsonValue) -> bool:
    """The `is_retained` of a store on which every expired record is dropped."""
    return False


class Store:
    """The records of one program, by key. `incarnation` tells stores apart whose revisions began anew."""

    def __init__(
        self,
        incarnation: str,
        on_update: Callable[[str, JsonValue], None] = ignore_update,
        is_retained: Callable[[Store, str, JsonValue], bool] = retain_nothing,
    ) -> None:
        """An empty store.

        `on_update(key, value)` is called with each record that is taken; `is_retained(store, key, value)`
        says whether an expired record must stay.
        """
        self.incarnation = incarnation
        self.on_update = on_update
        self.is_retained = is_retained
        self.records: dict[str, StoredRecord] = {}
        self.revision = 0
        self.large_records = LargeRecords()
        self.epoch = 0
        self._digest = StoreDigest()
        self._pruned_in: int | None = 0  # the epoch whose expired records have all been dropped

    # changes
    def put(self, key: str, stamp: Stamp, value: JsonValue) -> bool:
        """Takes a record if it is newer than the one of its key; whether it was."""
        if key.startswith(RecordKind.TOMBSTONES.prefix):
            return self._merge_tombstones(key, stamp, value)
        published = epochs.published_in(key, stamp)
        if published is not None:
            self.observe_epoch(published)
            if self._must_expire(key, stamp, value):
                return False
            if epochs.is_expired(published, self.epoch):
                self._pruned_in = None  # it is retained: prune looks at it until it isn't
        stored = self.records.get(key)
        if stored is None:
            if key.startswith(MACHINE_PREFIXES) and self.has_tombstone(name_of(key)):
                return False
        elif stored.stamp >= stamp and not self._is_superseded(key, stored.stamp, published):
            return False
        self._set(key, stamp, value)
        return True

    def merge(self, records: Iterable[Record]) -> int:
        """Takes the records of another store; returns how many were new."""
        return sum([self.put(record.key, record.stamp, record.value) for record in records])

    def drop(self, key: str) -> None:
        """Drops a record; whoever publishes it brings it back."""
        self._toggle_digest(key)
        self.records.pop(key, None)

    def drop_machine(self, machine_id: str, permanently: bool) -> None:
        """Drops a machine's records; permanently: with a tombstone, so that none of them is taken again."""
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
        """Whether a machine is known to have left for good."""
        return tombstones.contains(self.get(tombstones.bucket_key(machine_id)), machine_id)

    @property
    def tombstone_count(self) -> int:
        """How many machines are known to have left for good."""
        return tombstones.count(value for _, value in self.items_of(RecordKind.TOMBSTONES))

    # expiry
    def observe_epoch(self, epoch: int) -> None:
        """Another program is in `epoch`."""
        self.epoch = max(self.epoch, epoch)

    def prune(self) -> list[str]:
        """Drops expired records; returns their keys. Does nothing more in an epoch without any left."""
        if self._pruned_in == self.epoch:
            return []
        expired = [
            key
            for key, stored in self.records.items()
            if epochs.is_expired(epochs.published_in(key, stored.stamp), self.epoch)
        ]
        dropped = [key for key in expired if not self.is_retained(self, key, self.records[key].value)]
        for key in dropped:
            self.drop(key)
        self._pruned_in = self.epoch if len(dropped) == len(expired) else None
        return dropped

    def _must_expire(self, key: str, stamp: Stamp, value: JsonValue) -> bool:
        """Whether a record has expired and needn't be retained."""
        is_expired = epochs.is_expired(epochs.published_in(key, stamp), self.epoch)
        return is_expired and not self.is_retained(self, key, value)

    @staticmethod
    def _is_superseded(key: str, stored: Stamp, published: int | None) -> bool:
        """Whether a stored record has expired in the epoch that another of its key was published in.

        Its incarnation counts no longer then: the owner's clock may have been set back meanwhile.
        """
        return published is not None and epochs.is_expired(epochs.published_in(key, stored), published)

    # staleness
    def mark_stale(self, kind: RecordKind) -> None:
        """Marks the records of a kind as possibly out of date: whatever comes under their keys is newer."""
        for key, stored in self._stored(kind):
            self._toggle_digest(key)
            stored.stamp = STALE
            self._toggle_digest(key)

    def stale_keys(self, kind: RecordKind) -> list[str]:
        """The keys of the records of a kind that were marked as stale and haven't come again."""
        return [key for key, stored in self._stored(kind) if stored.stamp is STALE]

    # reading
    def get(self, key: str) -> JsonValue:
        """The value of a record, or None."""
        stored = self.records.get(key)
        return None if stored is None else stored.value

    def stamp(self, key: str) -> Stamp | None:
        """The stamp of a record, or None."""
        stored = self.records.get(key)
        return None if stored is None else stored.stamp

    def items_of(self, kind: RecordKind) -> list[tuple[str, JsonValue]]:
        """The keys and values of the records of a kind."""
        return [(key, stored.value) for key, stored in self._stored(kind)]

    def items_by_revision(self, kind: RecordKind) -> list[tuple[str, JsonValue]]:
        """The same in the order in which the records came."""
        return sorted(self.items_of(kind), key=lambda item: self.records[item[0]].revision)

    def large_record_stamps(self) -> dict[str, Stamp]:
        """The stamps of the large records, by key."""
        return {key: self.records[key].stamp for key in LARGE_KEYS if key in self.records}

    def _stored(self, kind: RecordKind) -> Iterable[tuple[str, StoredRecord]]:
        prefix = kind.prefix
        return ((key, stored) for key, stored in self.records.items() if key.startswith(prefix))

    # the digest
    @property
    def digest(self) -> str:
        """The digest of the records that every program may have, as it stands in messages."""
        return self._digest.encode()

    def _toggle_digest(self, key: str) -> None:
        """Adds a record to the digest or removes it.

        Retired machines are left out: each store drops them in its own time.
        """
        stored = self.records.get(key)
        if stored is None or is_controller_only(key) or is_retired(stored.value):
            return
        self._digest.toggle(key, stored.stamp)
