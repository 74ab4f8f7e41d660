"""Reads one trace file, of any size, a block at a time."""

import os

from honeywood.trace import format
from honeywood.trace.format import CHUNK, START, TRAILER
from honeywood.trace.rules.recovery import Walk
from honeywood.trace.rules.selection import Entry, Wanted, may_speak, may_take
from honeywood.trace.schema import KINDS, MAJOR, TAKEN, Unreadable

STRIDE = 1 << 20  # bytes looked through at a time for the next block behind a damaged one


class Reader:
    """A trace file. `about` is its header's map; `entries()` its blocks, by the index, or where that is
    missing or damaged by going through the file; `torn` is the count of bytes behind the last whole block
    that are no block, once that was done; `passed` counts records of kinds unknown here, as they are passed
    over.

    Damage with whole blocks behind it raises Unreadable, unless `skip`: then it is noted in `damage`."""

    def __init__(self, path, skip=False, kinds=KINDS, speaks=MAJOR):
        self.path, self.skip, self.kinds = path, skip, kinds
        self.passed, self.torn, self.damage = 0, 0, []
        self.file = open(path, "rb")
        try:
            self.size = os.fstat(self.file.fileno()).st_size
            start = self.at(0, START.size)
            self.major, self.minor, size = format.read_start(start, speaks)
            self.about = format.read_about(start + self.at(START.size, size), speaks)
        except BaseException:
            self.file.close()
            raise
        self.seed, self.begins = self.about["seed"], START.size + size
        self.known = None  # entries, where they were read already and are few

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.file.close()

    def at(self, offset, size):
        self.file.seek(offset)
        return self.file.read(size)

    # The blocks.
    def entries(self):
        """(offset, size, Entry) of each block in the file's order."""
        if self.known is None:
            try:
                self.known = self.indexed()
            except Unreadable:  # it only repeats what the blocks say
                self.known = None
            if self.known is None:
                self.known = list(self.scan())
        return self.known

    def indexed(self):
        """By the index, or None where there is none."""
        found = format.read_trailer(self.seed, self.at(max(0, self.size - TRAILER.size), TRAILER.size))
        if not found:
            return None
        at, chunks, records = found
        entries = []
        for _ in range(chunks):
            start, head, size = self.chunk(at)
            if start[:4] != format.INDEX:
                raise Unreadable("damaged index")
            entries += format.read_index(format.read_body(start, self.at(at + CHUNK.size + head, size)))
            at += CHUNK.size + head + size
        if sum(entry.count for _, _, entry in entries) != records:
            raise Unreadable("damaged index")
        return entries

    def chunk(self, at):
        """(its first bytes, size of its head, of its body) of the chunk at an offset, if it is whole in
        size."""
        start = self.at(at, CHUNK.size)
        if len(start) != CHUNK.size:
            raise Unreadable("cut short")
        _, head, body, *_ = format.read_chunk(start)
        if at + CHUNK.size + head + body > self.size:
            raise Unreadable("cut short")
        return start, head, body

    def scan(self):
        """Goes through the file without its index: every sum is looked at, also of bodies, since the tail may
        have holes after a crash of the machine."""
        walk = Walk(self.begins, self.size)
        while not walk.over and not self.ends(walk.at):
            at = walk.at
            try:
                found, size = self.look(at)
                data, wrong = walk.whole(found, size)
            except Unreadable as broken:
                data, wrong = False, walk.broken(broken, self.next_block(at + 1))
            if wrong:
                self.damaged(wrong)
            if data:
                yield at, size, found
        self.torn = walk.torn

    def ends(self, at):
        return self.size - at == TRAILER.size and format.read_trailer(self.seed, self.at(at, TRAILER.size))

    def look(self, at):
        """(Entry, size) of the whole chunk at an offset, None for the Entry of one of the index."""
        start, head, body = self.chunk(at)
        said = format.read_head(self.seed, start, self.at(at + CHUNK.size, head))
        format.read_body(start, self.at(at + CHUNK.size + head, body))
        return Entry.unpacked(said) if start[:4] == format.BLOCK else None, CHUNK.size + head + body

    def next_block(self, at):
        """The offset of the next whole block, None where there is none."""
        while at < self.size:
            part = self.at(at, STRIDE + 3)
            place = part.find(format.BLOCK)
            while place >= 0:
                try:
                    if self.look(at + place)[0]:
                        return at + place
                except Unreadable:
                    pass
                place = part.find(format.BLOCK, place + 1)
            at += STRIDE
        return None

    def damaged(self, what):
        if not self.skip:
            raise Unreadable(f"{self.path}: {what} (--skip-damaged goes on behind it)")
        self.damage.append(what)

    def packed(self, offset):
        """(first bytes, body as it is packed) of a block, its sums looked at."""
        start, head, size = self.chunk(offset)
        if start[:4] != format.BLOCK:
            raise Unreadable(f"no block at byte {offset}")
        format.read_head(self.seed, start, self.at(offset + CHUNK.size, head))
        return start, self.at(offset + CHUNK.size + head, size)

    def block(self, offset, size):
        """format.Columns of a block."""
        start, body = self.packed(offset)
        return format.Columns(format.read_body(start, body), self.kinds)

    # What stands in them.
    def blocks(self, wanted=None):
        """(Entry, format.Columns) of the blocks that may hold what is wanted."""
        for offset, size, entry in self.entries():
            if wanted is None or wanted.may_hold(entry):
                try:
                    found = self.block(offset, size)
                except Unreadable as wrong:
                    self.damaged(f"{wrong} at byte {offset}")
                    continue
                self.passed += sum(count for kind, count in entry.kinds.items() if kind not in self.kinds)
                yield entry, found

    def records(self, wanted=None, rpcs=None):
        """The records wanted, in the file's order. Ids: all records of the RPCs that were taken under them,
        or of `rpcs`, {(source, rpc)}, where their taking stands in another file."""
        wanted = wanted or Wanted()
        if wanted.ids and rpcs is None:
            rpcs = self.taken_as(wanted.ids)
        for entry, found in self.blocks(wanted):
            if rpcs is not None and not may_speak(entry, rpcs):
                continue
            for record in found.records(wanted.kinds or None):
                kind = self.kinds[record.kind]
                if wanted.takes(record, kind) and (
                    rpcs is None or (record.source, kind.value(record.values, "rpc")) in rpcs
                ):
                    yield record

    def taken_as(self, ids):
        """{(source, rpc)} of the RPCs taken under these ids; a client may use one again."""
        found = set()
        for offset, size, entry in self.entries():
            if may_take(entry, ids):
                columns = self.block(offset, size)
                sources = [s for s, kind in zip(columns.sources, columns.order) if kind == TAKEN.number]
                rows = zip(
                    sources,
                    columns.column(TAKEN, TAKEN.fields[TAKEN.at["rpc"]]),
                    columns.column(TAKEN, TAKEN.fields[TAKEN.at["id"]]),
                )
                found |= {(source, rpc) for source, rpc, name in rows if name in ids}
        return found
