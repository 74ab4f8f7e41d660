"""Writes one trace file: blocks as they come, index and trailer at the end."""

import os
import secrets

from honeywood.trace import format
from honeywood.trace.rules.selection import Entry
from honeywood.trace.schema import KINDS, MAJOR, MINOR


def write_whole(file, data):
    """Writes all of it to an unbuffered file: the kernel may take less at a time."""
    rest = memoryview(data)
    while rest:
        rest = rest[file.write(rest) :]


class Writer:
    """Appends to `file`, unbuffered and opened by the caller for writing alone; the first bytes are written
    at once. After an exception (OSError of a write) nothing more may be written: what is there ends with the
    last whole block, and a reader cuts off the rest. `about` goes into the header."""

    def __init__(self, file, about, kinds=KINDS, version=(MAJOR, MINOR)):
        self.file, self.kinds, self.entries = file, kinds, []
        self.seed = secrets.randbits(64)
        self.size = 0
        self.put(format.header({**about, "seed": self.seed}, *version))

    def put(self, data):
        write_whole(self.file, data)
        self.size += len(data)

    def block(self, records, between=None):
        """Records (time, source, kind, values) as one block; raises Unfit, with nothing written. `between` is
        called between columns."""
        data, entry = format.block(self.seed, len(self.entries), records, self.kinds, between)
        self.add(data, entry)

    def copy(self, entry, start, body):
        """A block of another file, as it is packed there: its head is made anew, its body is not unpacked."""
        entry = Entry.unpacked(entry.packed())
        entry.number = len(self.entries)
        self.add(format.headed(self.seed, start, entry, body), entry)

    def add(self, data, entry):
        at = self.size
        self.put(data)
        self.entries.append((at, len(data), entry))

    def sync(self):
        os.fsync(self.file.fileno())

    def close(self):
        """Ends the file with its index. Without it a reader goes through the whole file once."""
        for data in format.ending(self.seed, self.size, self.entries):
            self.put(data)


def private(path, flags):
    return os.open(path, flags, 0o600)


def create(path, about):
    """Writer of a new file; one that is there already is never written to (FileExistsError). Only its owner
    may read it: identifiers stand in it in clear."""
    file = open(path, "xb", buffering=0, opener=private)
    try:
        return Writer(file, about)
    except BaseException:
        file.close()
        raise
