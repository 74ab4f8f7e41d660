"""The file operations of the row store. Power may be lost or an error may occur at each of them."""

from __future__ import annotations

import os

import lmdb

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Mapping

MAP_SIZE_BYTES = 64 << 20
"""The maximum size of each LMDB file."""

READ_SIZE_BYTES = 1 << 16
"""How much is read at a time to compute a file's checksum."""


class FileOperations:
    """Operations on LMDB files, on their checksum files, and on their folder; tests replace them.

    All of them raise OSError or lmdb.Error.
    """

    def open(self, path: str, read_only: bool) -> lmdb.Environment:
        """Open an LMDB environment that is synced only by `sync`."""
        return lmdb.open(
            path,
            map_size=MAP_SIZE_BYTES,
            subdir=False,
            lock=False,
            readonly=read_only,
            readahead=False,
            sync=False,
        )

    def commit(self, environment: lmdb.Environment, rows: Mapping[bytes, bytes | None]) -> None:
        """Write rows, and remove those that are None; the changes are durable only after a sync."""
        with environment.begin(write=True) as transaction:
            for key, row in rows.items():
                if row is None:
                    transaction.delete(key)
                else:
                    transaction.put(key, row)

    def sync(self, environment: lmdb.Environment) -> None:
        """Make the committed rows durable."""
        environment.sync(True)

    def write(self, path: str, content: bytes) -> None:
        """Write a small file durably."""
        with open(path, "wb") as file:
            file.write(content)
            file.flush()
            os.fsync(file.fileno())

    def remove(self, path: str) -> None:
        """Remove a file; the removal isn't durable, so the file may reappear after a loss of power."""
        os.unlink(path)

    def sync_path(self, path: str) -> None:
        """Make the content of an existing file durable, or the file names in a folder."""
        descriptor = os.open(path, os.O_RDONLY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)
