"""Durable rows in LMDB: each write is a checksummed snapshot of all rows, synced before `put` returns.

LMDB's pages have no checksums. If a loss of power tears a write, the damaged file may still open, and reading
it may crash the process. Therefore:

- Beside each file a checksum is stored, with the number of the write attempt. A file that doesn't match its
  checksum isn't opened.
- There are two files, written alternately, and each write includes the rows of the previous one. So each file
  has all rows as of its attempt, and the file that isn't being written has the rows of all earlier puts that
  returned.
- An open reads only the intact file with the highest attempt number. Failed attempts are numbered too, so
  that the file of a failed attempt is never taken for one that was written after it.
- A file is no longer written after an attempt on it failed, or after it has grown beyond twice its live
  pages: the next put writes all rows to a new file. Files of earlier processes are only read.

Invariants:

- A put that returned is found by every later open, whatever happened to the attempts after it.
- Of a put that failed, either all rows or none are found, and none after a later put has returned.
- The folder is synced after a file is created, since only then the file is certain to be found. A removed
  file that reappears does no harm.
- The rows that an open returned are found by later opens: they are synced first, since the process that wrote
  them may have been killed before it synced them.
"""

from __future__ import annotations

import json
import os
import zlib

import lmdb

from honeywood.gateway.register.file_operations import READ_SIZE_BYTES, FileOperations

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from honeywood.gateway.register.json_value import JsonValue

DATA_SUFFIX, CHECKSUM_SUFFIX = ".mdb", ".sum"

MAX_CHECKSUM_BYTES = 64
"""The maximum size of a checksum file."""

COMPACTION_SLACK_PAGES = 64
"""How many pages a file may have beyond twice its live pages before it is replaced."""


class RowStore:
    """The rows in a folder, by key; used by one thread. All methods raise OSError."""

    def __init__(self, folder: str, operations: FileOperations | None = None) -> None:
        """Open the folder and read its newest intact file; tests replace `operations`."""
        self._folder = folder
        self._operations = operations or FileOperations()
        self._rows: dict[str, JsonValue] = {}
        self._previous_write: dict[bytes, bytes | None] = {}
        self._environments: list[lmdb.Environment | None] = [None, None]
        self._write_index = 0  # the index in `_environments` of the file that is written next
        self._failed_files: list[str] = []
        os.makedirs(folder, exist_ok=True)
        stems = {name.partition(".")[0] for name in os.listdir(folder)}
        self._last_file_number = max((int(stem) for stem in stems if stem.isdigit()), default=0)
        self._superseded_files = [stem + DATA_SUFFIX for stem in stems if stem.isdigit()]
        checksums = [(*self._read_checksum(name), name) for name in self._superseded_files]
        checksums.sort(reverse=True)
        self._attempt = max((attempt for attempt, *_ in checksums), default=0)
        newest = self._newest_intact(checksums)
        self._sync_found(newest)
        if newest is not None:
            self._rows = self._read(newest)

    def _newest_intact(self, checksums: Iterable[tuple[int, bytes, str]]) -> str | None:
        for attempt, checksum, name in checksums:
            if checksum == self._compute_checksum(name, attempt):
                return name
        return None

    def _sync_found(self, name: str | None) -> None:
        """Sync the file that was found, if any, and the folder: an earlier process may not have done so."""
        if name is not None:
            self._operations.sync_path(self._path(name))
            self._operations.sync_path(self._path(name) + CHECKSUM_SUFFIX)
        self._operations.sync_path(self._folder)

    def _path(self, name: str) -> str:
        return os.path.join(self._folder, name)

    def _read_checksum(self, name: str) -> tuple[int, bytes]:
        """Return the attempt that wrote a file, or 0 if that is unknown, and the stored checksum.

        Raises OSError if it can't be read, since otherwise an older file would be taken for the newest.
        """
        try:
            with open(self._path(name) + CHECKSUM_SUFFIX, "rb") as file:
                checksum = file.read(MAX_CHECKSUM_BYTES)
        except FileNotFoundError:
            return 0, b""
        attempt = checksum.partition(b" ")[0]
        return int(attempt) if attempt.isdigit() else 0, checksum

    def _compute_checksum(self, name: str, attempt: int) -> bytes | None:
        """Return attempt, length and CRC-32 of a file, in their stored form, or None if it doesn't exist."""
        length, crc = 0, zlib.crc32(b"%d" % attempt)
        try:
            with open(self._path(name), "rb") as file:
                while content := file.read(READ_SIZE_BYTES):
                    length += len(content)
                    crc = zlib.crc32(content, crc)
        except FileNotFoundError:
            return None
        return b"%d %d %08x" % (attempt, length, crc)

    def _read(self, name: str) -> dict[str, JsonValue]:
        try:
            environment = self._operations.open(self._path(name), True)
            try:
                with environment.begin() as transaction:
                    rows = transaction.cursor()
                    return {bytes(key).decode(): json.loads(bytes(row)) for key, row in rows}
            finally:
                environment.close()
        except lmdb.Error as error:
            raise OSError(str(error)) from None

    def rows(self) -> dict[str, JsonValue]:
        """Return all rows by key."""
        return dict(self._rows)

    def put(self, rows: Mapping[str, JsonValue]) -> None:
        """Write rows, and remove those that are None; every open after the return finds the changes."""
        self._attempt += 1
        self._failed_files = self._remove(self._failed_files)
        written = {key.encode(): _encoded(row) for key, row in rows.items()}
        try:
            self._write_snapshot(written)
        except (OSError, lmdb.Error) as error:
            self._abandon_failed_file()
            raise OSError(str(error)) from None
        self._previous_write = written
        self._apply(rows)
        self._write_index = 1 - self._write_index
        self._superseded_files = self._remove(self._superseded_files)
        if self._needs_compaction():
            self._superseded_files += self._abandon_file()

    def _write_snapshot(self, written: dict[bytes, bytes | None]) -> None:
        """Write a durable snapshot of all rows, with `written` applied, and its checksum."""
        environment = self._environments[self._write_index]
        if environment is None:
            environment = self._create_file()
            earlier = {key.encode(): _encoded(row) for key, row in self._rows.items()}
            is_new = True
        else:
            earlier = self._previous_write  # the file already has all rows written before that
            is_new = False
        self._operations.commit(environment, {**earlier, **written})
        self._operations.sync(environment)
        checksum = self._compute_checksum(os.path.basename(environment.path()), self._attempt)
        assert checksum is not None, "the file that was just synced does not exist"
        self._operations.write(environment.path() + CHECKSUM_SUFFIX, checksum)
        if is_new:
            self._operations.sync_path(self._folder)

    def _abandon_failed_file(self) -> None:
        """Stop writing to the file on which an attempt failed, and remove the files that aren't needed."""
        self._failed_files += self._abandon_file()
        if self._environments[1 - self._write_index] is not None:  # has all rows, so older files can go
            self._failed_files += self._superseded_files
            self._superseded_files = []
        self._failed_files = self._remove(self._failed_files)

    def _apply(self, rows: Mapping[str, JsonValue]) -> None:
        for key, row in rows.items():
            if row is None:
                self._rows.pop(key, None)
            else:
                self._rows[key] = row

    def _create_file(self) -> lmdb.Environment:
        self._last_file_number += 1
        environment = self._operations.open(self._path(self._last_file_name()), False)
        self._environments[self._write_index] = environment
        return environment

    def _last_file_name(self) -> str:
        return f"{self._last_file_number:08d}{DATA_SUFFIX}"

    def _abandon_file(self) -> list[str]:
        """Stop writing to the current file; return its name in a list."""
        environment = self._environments[self._write_index]
        self._environments[self._write_index] = None
        if environment is None:
            return [self._last_file_name()]  # opening the file failed, but may have created it
        name = os.path.basename(environment.path())
        environment.close()
        return [name]

    def _needs_compaction(self) -> bool:
        """Return whether the current file has grown beyond twice its live pages and the slack."""
        environment = self._environments[self._write_index]
        if environment is None:
            return False
        statistics = environment.stat()
        live_pages = sum(statistics[kind] for kind in ("branch_pages", "leaf_pages", "overflow_pages"))
        last_page: int = environment.info()["last_pgno"]
        return last_page > 2 * live_pages + COMPACTION_SLACK_PAGES

    def _remove(self, names: list[str]) -> list[str]:
        """Remove files; return those that couldn't be removed, so that it can be retried."""
        remaining = []
        for name in names:
            try:
                self._remove_with_checksum(name)
            except OSError:
                remaining.append(name)
        return remaining

    def _remove_with_checksum(self, name: str) -> None:
        for suffix in ("", CHECKSUM_SUFFIX):
            path = self._path(name + suffix)
            if os.path.exists(path):
                self._operations.remove(path)

    def close(self) -> None:
        """Close the files; all rows that were put are already on disk."""
        for environment in self._environments:
            if environment is not None:
                environment.close()


def _encoded(row: JsonValue) -> bytes | None:
    return None if row is None else json.dumps(row, separators=(",", ":")).encode()
