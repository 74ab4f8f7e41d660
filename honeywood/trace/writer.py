"""Writes one trace file: blocks as they come, index and trailer at the end."""

from __future__ import annotations

import os
import secrets

from honeywood.trace import format
from honeywood.trace.rules.selection import Entry
from honeywood.trace.schema import KINDS, MAJOR, MINOR

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Callable, Mapping, Sequence
    from typing import Any

    from honeywood.trace.schema import Kind


def write_fully(file: Any, data: bytes) -> None:
    """Write all of it to an unbuffered file: the kernel may take less at a time."""
    rest = memoryview(data)
    while rest:
        rest = rest[file.write(rest) :]


class Writer:
    """Appends to a file that is unbuffered and opened by the caller for writing alone.

    After an exception (OSError of a write) nothing more may be written: what is there ends with the last
    complete block, and a reader cuts off the rest.
    """

    def __init__(
        self,
        file: Any,
        about: Mapping[str, Any],
        kinds: Mapping[int, Kind] = KINDS,
        version: tuple[int, int] = (MAJOR, MINOR),
    ) -> None:
        """The header, with `about`, is written at once."""
        self.file, self.kinds = file, kinds
        self.entries: list[tuple[int, int, Entry]] = []  # offset, size and index entry of each block
        self.seed = secrets.randbits(64)
        self.size = 0
        self._put(format.header({**about, "seed": self.seed}, *version))

    def block(self, records: Sequence[Any], between: Callable[[], Any] | None = None) -> None:
        """Write records (time, source, kind, values) as one block.

        Raises Unfit, with nothing written. `between` is called between columns.
        """
        data, entry = format.block(self.seed, len(self.entries), records, self.kinds, between)
        self._add(data, entry)

    def copy(self, entry: Entry, start: bytes, body: bytes) -> None:
        """Write a block of another file, as it is packed there.

        Its head is made anew, its body is not unpacked.
        """
        entry = Entry.unpacked(entry.packed())
        entry.number = len(self.entries)
        self._add(format.headed(self.seed, start, entry, body), entry)

    def sync(self) -> None:
        """Have the disk hold what is written."""
        os.fsync(self.file.fileno())

    def close(self) -> None:
        """End the file with its index. Without it a reader goes through the whole file once."""
        for data in format.ending(self.seed, self.size, self.entries):
            self._put(data)

    def _put(self, data: bytes) -> None:
        write_fully(self.file, data)
        self.size += len(data)

    def _add(self, data: bytes, entry: Entry) -> None:
        offset = self.size
        self._put(data)
        self.entries.append((offset, len(data), entry))


def create(path: str | os.PathLike[str], about: Mapping[str, Any]) -> Writer:
    """A writer of a new file, which only its owner may read: identifiers stand in it in clear.

    Raises FileExistsError: one that is there already is never written to.
    """
    file = open(path, "xb", buffering=0, opener=_open_private)
    try:
        return Writer(file, about)
    except BaseException:
        file.close()
        raise


def _open_private(path: str, flags: int) -> int:
    return os.open(path, flags, 0o600)
