"""The changes of a store since another program polled it, in batches that fit into a response."""

from __future__ import annotations

import json
from dataclasses import dataclass

from honeywood.gateway.dissemination.keys import is_controller_only
from honeywood.gateway.dissemination.record import Record

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Container, Mapping, Sequence

    from honeywood.gateway.dissemination.chunks import Chunk, ChunkProgress
    from honeywood.gateway.dissemination.record import Stamp
    from honeywood.gateway.dissemination.store import Store

LATER_CHANGES_SHARE = 0.5  # of the space for a chunk that later changes may take, so that chunks progress
MIN_CHUNK_BYTES = 1024  # with less space left in a response, a chunk is not worth sending


def encode_text(record: Record) -> str:
    """Returns a record as the JSON text that a response contains."""
    return json.dumps(record.encode(), separators=(",", ":"))


@dataclass(frozen=True, slots=True)
class Batch:
    """The records of a response, and a chunk of a further record that is too long for it.

    With the records of the batch, a receiver has all changes up to `revision`.
    """

    records: list[Record]
    chunk: Chunk | None
    revision: int


class ChangeFeed:
    """Finds the changes of one store."""

    def __init__(self, store: Store) -> None:
        """`store` may change while the feed is used."""
        self.store = store

    def encoded_size(self, key: str) -> int:
        """Returns the size of a record in a response, in bytes."""
        stored = self.store.records[key]
        if stored.encoded_size is None:
            stored.encoded_size = len(encode_text(self._record(key)))
        return stored.encoded_size

    def since(
        self,
        incarnation: str,
        revision: int,
        include_controller_only: bool,
        known_stamps: Mapping[str, Stamp] | None = None,
    ) -> list[Record]:
        """Returns the records that changed after `revision`, in the order of their changes.

        `incarnation` and `revision` are those that the receiver knows; if the incarnation is not that of the
        store, all records have changed. Records that the receiver has from other stores are left out:
        `known_stamps` are their stamps.
        """
        start = revision if incarnation == self.store.incarnation else 0
        if start >= self.store.revision:
            return []
        stamps = known_stamps or {}
        changed = [
            (stored.revision, key)
            for key, stored in self.store.records.items()
            if stored.revision > start
            if include_controller_only or not is_controller_only(key)
            if not (key in stamps and stamps[key] >= stored.stamp)
        ]
        return [self._record(key) for _, key in sorted(changed)]

    def batch(
        self,
        changes: Sequence[Record],
        max_bytes: int,
        progress: Mapping[str, ChunkProgress] | None = None,
        bases: Mapping[str, str] | None = None,
        known_keys: Container[str] = (),
    ) -> Batch:
        """Returns as many of `changes`, which were returned by `since`, as fit into `max_bytes`.

        `progress` is how much the receiver has of large records that it has not completed, and `bases` are
        the digests of its versions of large records. Later changes don't wait for one among `known_keys`, of
        which the receiver has an earlier version: the newest ones are sent beside its chunk, again with each
        chunk.
        """
        records: list[Record] = []
        remaining_bytes = max_bytes
        for index, record in enumerate(changes):
            key, size = record.key, self.encoded_size(record.key)
            revision, base = self.store.records[key].revision, (bases or {}).get(key)
            has_delta = self.store.large_records.has_delta(key, base)
            if size <= remaining_bytes and not has_delta:
                records.append(record)
                remaining_bytes -= size
            elif self._fits_chunk(key, size, remaining_bytes, max_bytes, has_delta):
                if key in known_keys:
                    later = self._newest(changes[index + 1 :], remaining_bytes * LATER_CHANGES_SHARE)
                    records += later
                    remaining_bytes -= sum(self.encoded_size(one.key) for one in later)
                begun = (progress or {}).get(key)
                chunk = self.store.large_records.next_chunk(key, remaining_bytes, begun, base)
                return Batch(records, chunk, revision - 1)
            elif records or size <= max_bytes:
                return Batch(records, None, revision - 1)
            else:  # a longer record that cannot be split is sent alone
                return Batch([record], None, revision)
        return Batch(records, None, self.store.revision)

    def _newest(self, changes: Sequence[Record], max_bytes: float) -> list[Record]:
        """Returns the newest ones of `changes` that fit into `max_bytes`."""
        newest: list[Record] = []
        for record in reversed(changes):
            max_bytes -= self.encoded_size(record.key)
            if max_bytes < 0:
                break
            newest.append(record)
        return newest

    def _fits_chunk(self, key: str, size: int, remaining_bytes: int, max_bytes: int, has_delta: bool) -> bool:
        if key not in self.store.large_records or (size <= max_bytes and not has_delta):
            return False
        return remaining_bytes >= min(MIN_CHUNK_BYTES, max_bytes)

    def _record(self, key: str) -> Record:
        stored = self.store.records[key]
        return Record(key, stored.stamp, stored.value)
