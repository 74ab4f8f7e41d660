"""What has changed on a store since another program polled it, in batches that fit a response."""

from __future__ import annotations

import json
from dataclasses import dataclass

from honeywood.gateway.dissemination.keys import is_controller_only
from honeywood.gateway.dissemination.record import Record

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from honeywood.gateway.dissemination.chunks import Chunk, ChunkProgress
    from honeywood.gateway.dissemination.record import Stamp
    from honeywood.gateway.dissemination.store import Store

MIN_CHUNK_BYTES = 1024  # of a response, below which a chunk isn't worth sending


def encode_text(record: Record) -> str:
    """A record as text of a response."""
    return json.dumps(record.encode(), separators=(",", ":"))


@dataclass(frozen=True, slots=True)
class Batch:
    """The next records of a response, and a chunk of one that is too long for it.

    With them a receiver has all changes up to `revision`.
    """

    records: list[Record]
    chunk: Chunk | None
    revision: int


class ChangeFeed:
    """The changes of one store."""

    def __init__(self, store: Store) -> None:
        """`store` may change while the feed is used."""
        self.store = store

    def encoded_size(self, key: str) -> int:
        """The bytes of a record in a response."""
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
        """The records that changed after `revision` of the store's incarnation, in their order.

        These are all records where the receiver knows another incarnation. `known_stamps` are those of the
        records that it has from other stores.
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
        self, changes: Sequence[Record], max_bytes: int, progress: Mapping[str, ChunkProgress] | None = None
    ) -> Batch:
        """As much of `changes`, which `since` has found, as fits in `max_bytes`.

        `progress` is what the receiver has of large records.
        """
        records: list[Record] = []
        remaining_bytes = max_bytes
        for record in changes:
            key, size = record.key, self.encoded_size(record.key)
            revision = self.store.records[key].revision
            if size <= remaining_bytes:
                records.append(record)
                remaining_bytes -= size
            elif self._fits_a_chunk(key, size, remaining_bytes, max_bytes):
                chunk = self.store.large_records.next_chunk(key, remaining_bytes, (progress or {}).get(key))
                return Batch(records, chunk, revision - 1)
            elif records or size <= max_bytes:
                return Batch(records, None, revision - 1)
            else:  # one that can't be split goes alone
                return Batch([record], None, revision)
        return Batch(records, None, self.store.revision)

    def _fits_a_chunk(self, key: str, size: int, remaining_bytes: int, max_bytes: int) -> bool:
        if size <= max_bytes or key not in self.store.large_records:
            return False
        return remaining_bytes >= min(MIN_CHUNK_BYTES, max_bytes)

    def _record(self, key: str) -> Record:
        stored = self.store.records[key]
        return Record(key, stored.stamp, stored.value)
