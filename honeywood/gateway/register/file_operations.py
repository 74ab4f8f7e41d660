"""The file operations of the row store, each a moment at which power may fail or the operation be refused."""

from __future__ import annotations

import os

import lmdb

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Mapping

MAP_SIZE_BYTES = 64 << 20
"""To which each LMDB file may grow."""

READ_SIZE_BYTES = 1 << 16
"""Read at a time when a file's checksum is computed."""


class FileOperations:
    """Operations on LMDB files, small files beside them, and their folder; tests replace them.

    All raise OSError or lmdb.Error.
    """

    def open(self, path: str, read_only: bool) -> lmdb.Environment:
        """Open an LMDB environment that syncs only on request."""
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
        """Write rows, or remove those that are None; nothing of it is durable before a sync."""
        with environment.begin(write=True) as transaction:
            for key, row in rows.items():
                if row is None:
                    transaction.delete(key)
                else:
                    transaction.put(key, row)

    def sync(self, environment: lmdb.Environment) -> None:
        """Make durable what was committed."""
        environment.sync(True)

    def write(self, path: str, content: bytes) -> None:
        """Write a small file durably."""
        with open(path, "wb") as file:
            file.write(content)
            file.flush()
            os.fsync(file.fileno())

    def remove(self, path: str) -> None:
        """Remove a file; the removal may be lost with power and the file come back."""
        os.unlink(path)

    def sync_path(self, path: str) -> None:
        """Make durable the content of a file that was found, or the names in a folder."""
        descriptor = os.open(path, os.O_RDONLY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)
