"""Writes a trace file: blocks as they are passed in, the index and the trailer at the end."""

from __future__ import annotations

import os
import secrets

from honeywood.trace import format
from honeywood.trace.rules.selection import IndexEntry
from honeywood.trace.schema import KINDS, MAJOR, MINOR

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Callable, Mapping, Sequence
    from typing import Any

    from honeywood.trace.schema import Kind


def write_fully(file: Any, data: bytes) -> None:
    """Write all data to an unbuffered file: one write() may accept only a part of it."""
    rest = memoryview(data)
    while rest:
        rest = rest[file.write(rest) :]


class Writer:
    """Appends to an unbuffered file that the caller opened for writing only.

    After an OSError of a write nothing more may be written: readers ignore what follows the last complete
    block.
    """

    def __init__(
        self,
        file: Any,
        metadata: Mapping[str, Any],
        kinds: Mapping[int, Kind] = KINDS,
        version: tuple[int, int] = (MAJOR, MINOR),
    ) -> None:
        """Write the header, which contains `metadata`."""
        self.file, self.kinds = file, kinds
        self.entries: list[tuple[int, int, IndexEntry]] = []  # offset, size and index entry of each block
        self.seed = secrets.randbits(64)
        self.size = 0
        self._put(format.header({**metadata, "seed": self.seed}, *version))

    def block(self, records: Sequence[Any], on_column: Callable[[], Any] | None = None) -> None:
        """Write records (time, source, kind, values) as one block.

        Raises InvalidRecord, with nothing written. `on_column` is called after each column.
        """
        data, entry = format.block(self.seed, len(self.entries), records, self.kinds, on_column)
        self._add(data, entry)

    def copy(self, entry: IndexEntry, start: bytes, body: bytes) -> None:
        """Write a block of another file with a new head, without decompressing its body."""
        entry = IndexEntry.unpacked(entry.packed())
        entry.number = len(self.entries)
        self._add(format.with_new_head(self.seed, start, entry, body), entry)

    def sync(self) -> None:
        """Flush what is written to the disk."""
        os.fsync(self.file.fileno())

    def close(self) -> None:
        """Write the index and the trailer. Without them a reader has to scan the whole file."""
        for data in format.file_end(self.seed, self.size, self.entries):
            self._put(data)

    def _put(self, data: bytes) -> None:
        write_fully(self.file, data)
        self.size += len(data)

    def _add(self, data: bytes, entry: IndexEntry) -> None:
        offset = self.size
        self._put(data)
        self.entries.append((offset, len(data), entry))


def create(path: str | os.PathLike[str], metadata: Mapping[str, Any]) -> Writer:
    """Return a writer of a new file that only its owner may read: it contains identifiers in clear text.

    Raises:
        FileExistsError: an existing file is never overwritten.
    """
    file = open(path, "xb", buffering=0, opener=_open_private)
    try:
        return Writer(file, metadata)
    except BaseException:
        file.close()
        raise


def _open_private(path: str, flags: int) -> int:
    return os.open(path, flags, 0o600)
