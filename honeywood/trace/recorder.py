"""Writes the records that a call recorder queues to files in a folder, on a separate thread."""

from __future__ import annotations

import fcntl
import os
import secrets
import time
from contextlib import suppress

from honeywood.trace import writer
from honeywood.trace.rules.retention import TraceFile, files_to_delete
from honeywood.trace.rules.write_schedule import MAX_BLOCK_RECORDS, WriteSchedule
from honeywood.trace.schema import InvalidRecord

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Callable, Mapping, Sequence
    from typing import Any

    from honeywood.balancer.transport.mailbox import Mailbox
    from honeywood.operator.operator_file import TraceBlock
    from honeywood.trace.call_recorder import CallRecorder

CHECK_INTERVAL = 1000  # tenths of a ms between checks of the queue; the block age if that is less
COLUMNS_PER_YIELD = 4  # columns encoded, at about 0.2 ms each, before other threads may run
NS_PER_TENTH_OF_MS = 100_000
FILE_SUFFIX = ".trace"


class Recorder:
    """Rotates files by age and size, deletes old ones, and recovers after a full disk."""

    def __init__(
        self,
        settings: TraceBlock,
        calls: CallRecorder,
        metadata: Mapping[str, Any],
        name: str,
        mailbox: Mailbox,
        clock: Callable[[], int],
        log: Any,
    ) -> None:
        """`metadata` describes the balancer in each file's header, `name` is the prefix of the files' names.

        The thread of `mailbox` must not have started; `clock` returns tenths of a millisecond.
        """
        self._settings, self.calls, self._log, self._clock = settings, calls, log, clock
        self.mailbox = mailbox
        self._run = secrets.token_hex(8)
        self._metadata = {**metadata, "run": self._run}
        self._name = "".join(character if character.isalnum() else "_" for character in name)
        self._schedule = WriteSchedule(settings.block_age, settings.file_bytes, settings.file_age)
        self.file: Any = None  # the open file
        self._writer: Any = None
        self._opened_at = 0
        self._sequence, self._stopped = 0, False
        self._interval = min(CHECK_INTERVAL, settings.block_age)

    def start(self) -> None:
        """Start writing."""
        self.mailbox.post(self._on_timer)
        self.mailbox.start()

    def stop(self) -> None:
        """Write the queued records and end the file; posted to the mailbox at shutdown."""
        self._stopped = True
        self.write_due(self._clock(), everything=True)
        if self._writer:
            try:
                self._close()
            except OSError as error:
                self._log.error("trace_stopped", what=str(error), lost=0)

    def write_due(self, now: int, everything: bool = False) -> None:
        """Write the blocks that are due, with `everything` all queued records."""
        queue, unix_start = self.calls.queue, self.calls.unix_start
        while queue and (
            everything or self._schedule.block_is_due(len(queue), queue[0][0] + unix_start, now)
        ):
            records = [queue.popleft() for _ in range(min(len(queue), MAX_BLOCK_RECORDS))]
            if self._schedule.may_write(now):
                self._write(now, records)
            else:
                self.calls.shedding.lost += len(records)

    def _on_timer(self) -> None:
        if not self._stopped:
            self.mailbox.after(self._interval, self._on_timer)
            self.write_due(self._clock())

    def _write(self, now: int, records: Sequence[Any]) -> None:
        try:
            if self._writer and self._schedule.file_is_due(self._writer.size, self._opened_at, now):
                self._close()
            if not self._writer:
                self._open(now)
            self._write_block([*self.calls.loss_records(now, "queue, disk or unfit"), *records])
            if self._settings.sync == "block":
                self._writer.sync()
            if self._schedule.on_success():
                self._log.info("trace_goes_on", file=self.file.name)
        except OSError as error:
            self.calls.shedding.lost += len(records)
            self._abandon_file()
            if self._schedule.on_failure(now):
                self._log.error("trace_stopped", what=str(error), lost=self.calls.shedding.lost)

    def _write_block(self, records: Sequence[Any]) -> None:
        """Write a block.

        An invalid record (such as a server name of a megabyte) is dropped and counted; others are written.
        """
        try:
            self._writer.block(records, ThreadYield())
        except InvalidRecord:
            half = len(records) // 2
            if not half:
                self.calls.shedding.lost += 1
                return
            self._write_block(records[:half])
            self._write_block(records[half:])

    def _open(self, now: int) -> None:
        self._sequence += 1
        os.makedirs(self._settings.folder, exist_ok=True)
        self._delete_old()
        name = f"{self._name}-{self._run}-{self._sequence:06d}{FILE_SUFFIX}"
        created = time.time_ns() // NS_PER_TENTH_OF_MS
        metadata = {**self._metadata, "sequence": self._sequence, "created": created}
        self._writer = writer.create(os.path.join(self._settings.folder, name), metadata)
        self.file, self._opened_at = self._writer.file, now
        # The lock keeps other balancers from deleting the file as an old one.
        fcntl.flock(self.file, fcntl.LOCK_EX | fcntl.LOCK_NB)

    def _delete_old(self) -> None:
        """Delete this balancer's files that are too old or exceed the total size, but none that is open."""
        settings = self._settings
        files = [
            TraceFile(entry.name, entry.stat().st_size, entry.stat().st_mtime_ns // NS_PER_TENTH_OF_MS)
            for entry in self._own_files()
        ]
        now = time.time_ns() // NS_PER_TENTH_OF_MS
        for name in files_to_delete(
            files, now, settings.most_bytes, settings.longest_age, settings.file_bytes
        ):
            path = os.path.join(settings.folder, name)
            # Another process has the file open, or has just deleted it.
            with suppress(BlockingIOError, FileNotFoundError), open(path, "rb") as file:
                fcntl.flock(file, fcntl.LOCK_EX | fcntl.LOCK_NB)
                os.remove(path)

    def _own_files(self) -> list[os.DirEntry[str]]:
        with os.scandir(self._settings.folder) as entries:
            return [
                entry
                for entry in entries
                if entry.name.startswith(f"{self._name}-") and entry.name.endswith(FILE_SUFFIX)
            ]

    def _close(self) -> None:
        self._writer.close()
        if self._settings.sync != "never":
            self._writer.sync()
        self.file.close()
        self._writer = self.file = None

    def _abandon_file(self) -> None:
        """Close the file after a failed write; readers use it up to its last complete block."""
        if self.file:
            with suppress(OSError):  # the file descriptor is released even if close() fails
                self.file.close()
        self._writer = self.file = None


class ThreadYield:
    """Lets other threads run after every few columns.

    The interpreter's switch interval is long in this program: without it they would wait for a whole block,
    10 ms or more.
    """

    def __init__(self) -> None:
        """Start with no encoded column."""
        self._columns = 0

    def __call__(self) -> None:
        """Count an encoded column; yield after every COLUMNS_PER_YIELD."""
        self._columns += 1
        if self._columns % COLUMNS_PER_YIELD == 0:
            time.sleep(0)
