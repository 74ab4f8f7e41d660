"""Writes what a front's calls holds to files in a folder, on a thread of its own; the front never waits for
it."""

import fcntl
import os
import secrets
import time

from honeywood.trace import writer
from honeywood.trace.rules.keeping import BLOCK_RECORDS, Recording, to_delete
from honeywood.trace.schema import Unfit

LOOKS = 1000  # tenths of a ms: the queue is looked at so often, at a block's age if sooner
COLUMNS = 4  # are packed, at some 0.2 ms each, before other threads go on
ENDING = ".trace"


class Recorder:
    """`given`: the trace block of the operator file. `mailbox` is one with a thread, made by the caller, as
    are `clock` (now in tenths of a ms) and `log`. `about` describes the front in each file's header."""

    def __init__(self, given, calls, about, name, mailbox, clock, log):
        self.given, self.calls, self.log, self.clock, self.mailbox = given, calls, log, clock, mailbox
        self.run = secrets.token_hex(8)
        self.about, self.name = {**about, "run": self.run}, "".join(c if c.isalnum() else "_" for c in name)
        self.recording = Recording(given.block_age, given.file_bytes, given.file_age)
        self.file = self.writer = self.opened = None
        self.sequence, self.ended = 0, False
        self.every = min(LOOKS, given.block_age)

    def start(self):
        self.mailbox.post(self.look)
        self.mailbox.start()

    def look(self):
        if not self.ended:
            self.mailbox.after(self.every, self.look)
            self.go_on(self.clock())

    def go_on(self, now, all=False):
        queue, start = self.calls.queue, self.calls.unix_start
        while queue and (all or self.recording.block_due(len(queue), queue[0][0] + start, now)):
            waiting = [queue.popleft() for _ in range(min(len(queue), BLOCK_RECORDS))]
            if self.recording.may_write(now):
                self.write(now, waiting)
            else:
                self.calls.intake.lost += len(waiting)

    def write(self, now, waiting):
        try:
            if self.writer and self.recording.file_due(self.writer.size, self.opened, now):
                self.close()
            if not self.writer:
                self.open(now)
            self.pack([*self.calls.drop_note(now, "queue, disk or unfit"), *waiting])
            if self.given.sync == "block":
                self.writer.sync()
            if self.recording.wrote():
                self.log.info("trace_goes_on", file=self.file.name)
        except OSError as wrong:
            self.calls.intake.lost += len(waiting)
            self.give_up()
            if self.recording.failed(now):
                self.log.error("trace_stopped", what=str(wrong), lost=self.calls.intake.lost)

    def pack(self, waiting):
        """Writes a block; a record that no trace may hold (a server's name of a megabyte) is left out and
        counted, and costs no other its place."""
        try:
            self.writer.block(waiting, GiveWay())
        except Unfit:
            half = len(waiting) // 2
            if not half:
                self.calls.intake.lost += 1
                return
            self.pack(waiting[:half])
            self.pack(waiting[half:])

    def open(self, now):
        self.sequence += 1
        os.makedirs(self.given.folder, exist_ok=True)
        self.clear()
        path = os.path.join(self.given.folder, f"{self.name}-{self.run}-{self.sequence:06d}{ENDING}")
        about = {**self.about, "sequence": self.sequence, "created": time.time_ns() // 100_000}
        self.writer, self.opened = writer.create(path, about), now
        self.file = self.writer.file
        fcntl.flock(self.file, fcntl.LOCK_EX | fcntl.LOCK_NB)  # no other front takes it for an old one

    def clear(self):
        """Deletes what is too old or too much, of this front's name only, and nothing that is being
        written."""
        files = []
        with os.scandir(self.given.folder) as entries:
            for entry in entries:
                if entry.name.startswith(f"{self.name}-") and entry.name.endswith(ENDING):
                    stat = entry.stat()
                    files.append((entry.name, stat.st_size, stat.st_mtime_ns // 100_000))
        for name in to_delete(
            files,
            time.time_ns() // 100_000,
            self.given.most_bytes,
            self.given.longest_age,
            self.given.file_bytes,
        ):
            path = os.path.join(self.given.folder, name)
            try:
                with open(path, "rb") as file:
                    fcntl.flock(file, fcntl.LOCK_EX | fcntl.LOCK_NB)
                    os.remove(path)
            except (BlockingIOError, FileNotFoundError):
                pass  # another process writes it, or has just deleted it

    def close(self):
        self.writer.close()
        if self.given.sync != "never":
            self.writer.sync()
        self.file.close()
        self.writer = self.file = None

    def give_up(self):
        """After a failed write the file ends with its last whole block."""
        if self.file:
            try:
                self.file.close()
            except OSError:
                pass  # what the failed write left is given back all the same
        self.writer = self.file = None

    def stop(self):
        """Writes what waits and ends the file; posted to the mailbox by the life cycle."""
        self.ended = True
        now = self.clock()
        self.go_on(now, all=True)
        if self.writer:
            try:
                self.close()
            except OSError as wrong:
                self.log.error("trace_stopped", what=str(wrong), lost=0)


class GiveWay:
    """Lets other threads go on after every few columns: the interpreter switches seldom by itself in this
    program, and they would wait until a block is packed, 10 ms and more."""

    def __init__(self):
        self.columns = 0

    def __call__(self):
        self.columns += 1
        if self.columns % COLUMNS == 0:
            time.sleep(0)
