"""Durable rows in LMDB: each write is a checksummed snapshot of all rows, synced before `put` returns.

LMDB's pages carry no checksums. A write torn by a loss of power may leave a file that opens and is damaged,
and reading it may end the process. Therefore:

- The checksum of each file is stored beside it, with the number of the attempt that wrote it. A file that
  doesn't match its checksum isn't opened.
- There are two files, written in turn, and each write has the rows of the previous one as well. So each file
  is complete as of its attempt, and the one that isn't being written has all that earlier puts returned with.
- Of the intact files that are found, the one of the highest attempt is read, alone. Attempts are numbered in
  order, refused ones too, so that what a refused one left is never taken for what was written after it.
- A file on which an attempt failed is not written again, nor is one that has grown to twice its live pages:
  the next put writes all rows to a new file. Files of earlier processes are only read.

Invariants: a put that returned is found by every later open, whatever became of the attempts after it. Of a
put that was refused all rows or none are found, and none once a later put has returned. The folder is synced
after a file is made, since only then is the file sure to be found; a removed file that comes back does no
harm. What an open found is found by later ones: it is synced before it is returned, since the process that
wrote it may have been killed before it did.
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
"""Of the text beside a file."""

SPARE_PAGES = 64
"""That a file may have beyond twice its live ones."""


class RowStore:
    """The rows in a folder, by key; used by one thread. All methods raise OSError."""

    def __init__(self, folder: str, operations: FileOperations | None = None) -> None:
        """Open the folder and read the newest intact file; `operations` are replaced by tests."""
        self._folder = folder
        self._operations = operations or FileOperations()
        self._rows: dict[str, JsonValue] = {}
        self._previous_write: dict[bytes, bytes | None] = {}
        self._environments: list[lmdb.Environment | None] = [None, None]
        self._turn = 0  # of the two files the one that is written next
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
        """Sync what was found, or that nothing was: the process that wrote or removed it may not have."""
        if name is not None:
            self._operations.sync_path(self._path(name))
            self._operations.sync_path(self._path(name) + CHECKSUM_SUFFIX)
        self._operations.sync_path(self._folder)

    def _path(self, name: str) -> str:
        return os.path.join(self._folder, name)

    def _read_checksum(self, name: str) -> tuple[int, bytes]:
        """Return the attempt that wrote a file, 0 where that is unknown, and the stored checksum.

        Raises OSError where it can't be read: an older file must not be taken for the newest.
        """
        try:
            with open(self._path(name) + CHECKSUM_SUFFIX, "rb") as file:
                checksum = file.read(MAX_CHECKSUM_BYTES)
        except FileNotFoundError:
            return 0, b""
        attempt = checksum.partition(b" ")[0]
        return int(attempt) if attempt.isdigit() else 0, checksum

    def _compute_checksum(self, name: str, attempt: int) -> bytes | None:
        """Return attempt, length and CRC-32 of a whole file, as stored beside it; None without a file."""
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
        """Write rows, or remove those that are None; once it returned, every later open finds them."""
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
        self._turn = 1 - self._turn
        self._superseded_files = self._remove(self._superseded_files)
        if self._has_outgrown_its_pages():
            self._superseded_files += self._abandon_file()

    def _write_snapshot(self, written: dict[bytes, bytes | None]) -> None:
        """Bring the file in turn to all rows with `written` applied, durably, with its checksum."""
        environment = self._environments[self._turn]
        if environment is None:
            environment = self._make_file()
            earlier = {key.encode(): _encoded(row) for key, row in self._rows.items()}
            is_new = True
        else:
            earlier = self._previous_write  # the file has all that was written before that
            is_new = False
        self._operations.commit(environment, {**earlier, **written})
        self._operations.sync(environment)
        checksum = self._compute_checksum(os.path.basename(environment.path()), self._attempt)
        assert checksum is not None, "the file that was just synced is gone"
        self._operations.write(environment.path() + CHECKSUM_SUFFIX, checksum)
        if is_new:
            self._operations.sync_path(self._folder)

    def _abandon_failed_file(self) -> None:
        """Leave the file on which an attempt failed, and free what room can be freed."""
        self._failed_files += self._abandon_file()
        if self._environments[1 - self._turn] is not None:  # it has all rows: older files may go
            self._failed_files += self._superseded_files
            self._superseded_files = []
        self._failed_files = self._remove(self._failed_files)

    def _apply(self, rows: Mapping[str, JsonValue]) -> None:
        for key, row in rows.items():
            if row is None:
                self._rows.pop(key, None)
            else:
                self._rows[key] = row

    def _make_file(self) -> lmdb.Environment:
        self._last_file_number += 1
        environment = self._operations.open(self._path(self._last_file_name()), False)
        self._environments[self._turn] = environment
        return environment

    def _last_file_name(self) -> str:
        return f"{self._last_file_number:08d}{DATA_SUFFIX}"

    def _abandon_file(self) -> list[str]:
        """Stop writing to the file in turn; return its name."""
        environment = self._environments[self._turn]
        self._environments[self._turn] = None
        if environment is None:
            return [self._last_file_name()]  # opening it failed, which may have made it
        name = os.path.basename(environment.path())
        environment.close()
        return [name]

    def _has_outgrown_its_pages(self) -> bool:
        """Return whether the file in turn has grown to twice its live pages."""
        environment = self._environments[self._turn]
        if environment is None:
            return False
        statistics = environment.stat()
        live_pages = sum(statistics[kind] for kind in ("branch_pages", "leaf_pages", "overflow_pages"))
        last_page: int = environment.info()["last_pgno"]
        return last_page > 2 * live_pages + SPARE_PAGES

    def _remove(self, names: list[str]) -> list[str]:
        """Remove files; return those that couldn't be removed, to be tried again."""
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
        """Close the files; what was put is on disk."""
        for environment in self._environments:
            if environment is not None:
                environment.close()


def _encoded(row: JsonValue) -> bytes | None:
    return None if row is None else json.dumps(row, separators=(",", ":")).encode()
