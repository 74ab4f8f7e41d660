"""Reads a trace file of any size, one block at a time."""

import os

from honeywood.trace import format
from honeywood.trace.format import CHUNK_START, HEADER_START, TRAILER
from honeywood.trace.rules.recovery import RecoveryScan
from honeywood.trace.rules.selection import IndexEntry, RecordFilter, may_contain_arrival, may_contain_rpcs
from honeywood.trace.schema import ARRIVAL, KINDS, MAJOR, UnreadableTrace

SCAN_STEP_BYTES = 1 << 20  # bytes searched at a time for the next block after a damaged one


class Reader:
    """A trace file.

    `metadata` is its header's map. `entries()` lists its blocks by the index, or by a scan of the file where
    the index is missing or damaged. After a scan `torn_bytes` is the number of bytes after the last complete
    block. `unknown_records` counts the skipped records of kinds that this version does not know.

    Damage that is followed by complete blocks raises UnreadableTrace; with `skip` it is added to `damage`
    instead.
    """

    def __init__(self, path, skip=False, kinds=KINDS, max_major=MAJOR):
        self.path, self.skip, self.kinds = path, skip, kinds
        self.unknown_records, self.torn_bytes, self.damage = 0, 0, []
        self.file = open(path, "rb")
        try:
            self.size = os.fstat(self.file.fileno()).st_size
            start = self.read_at(0, HEADER_START.size)
            self.major, self.minor, size = format.read_start(start, max_major)
            self.metadata = format.read_metadata(start + self.read_at(HEADER_START.size, size), max_major)
        except BaseException:
            self.file.close()
            raise
        self.seed, self.first_block_offset = self.metadata["seed"], HEADER_START.size + size
        self.cached_entries = None  # result of entries(); few enough to keep

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.file.close()

    def read_at(self, offset, size):
        self.file.seek(offset)
        return self.file.read(size)

    # Blocks.
    def entries(self):
        """Return (offset, size, IndexEntry) of each block in the file's order."""
        if self.cached_entries is None:
            try:
                self.cached_entries = self.entries_from_index()
            except UnreadableTrace:  # the index only repeats the blocks' heads
                self.cached_entries = None
            if self.cached_entries is None:
                self.cached_entries = list(self.scan())
        return self.cached_entries

    def entries_from_index(self):
        """Return the entries from the index; None where the file has none."""
        found = format.read_trailer(self.seed, self.read_at(max(0, self.size - TRAILER.size), TRAILER.size))
        if not found:
            return None
        offset, chunks, records = found
        entries = []
        for _ in range(chunks):
            start, head, size = self.read_chunk(offset)
            if start[:4] != format.INDEX_MAGIC:
                raise UnreadableTrace("damaged index")
            entries += format.read_index(
                format.read_body(start, self.read_at(offset + CHUNK_START.size + head, size))
            )
            offset += CHUNK_START.size + head + size
        if sum(entry.count for _, _, entry in entries) != records:
            raise UnreadableTrace("damaged index")
        return entries

    def read_chunk(self, offset):
        """Return (first bytes, size of head, size of body) of the chunk at an offset.

        Raises UnreadableTrace where the file ends before the chunk does.
        """
        start = self.read_at(offset, CHUNK_START.size)
        if len(start) != CHUNK_START.size:
            raise UnreadableTrace("cut short")
        _, head, body, *_ = format.read_chunk_start(start)
        if offset + CHUNK_START.size + head + body > self.size:
            raise UnreadableTrace("cut short")
        return start, head, body

    def scan(self):
        """Yield entries by reading the file without its index.

        All checksums are verified, also of bodies, since a crash of the machine may leave holes in the tail.
        """
        scan = RecoveryScan(self.first_block_offset, self.size)
        while not scan.finished and not self.is_trailer_at(scan.position):
            offset = scan.position
            try:
                found, size = self.verify_chunk(offset)
                data, problem = scan.on_valid_chunk(found, size)
            except UnreadableTrace as error:
                data, problem = False, scan.on_invalid_chunk(error, self.next_block(offset + 1))
            if problem:
                self.on_damage(problem)
            if data:
                yield offset, size, found
        self.torn_bytes = scan.torn_bytes

    def is_trailer_at(self, offset):
        return self.size - offset == TRAILER.size and format.read_trailer(
            self.seed, self.read_at(offset, TRAILER.size)
        )

    def verify_chunk(self, offset):
        """Return (IndexEntry, size) of the chunk at an offset, checksums verified.

        The entry is None for a chunk of the index.
        """
        start, head, body = self.read_chunk(offset)
        decoded_head = format.read_head(self.seed, start, self.read_at(offset + CHUNK_START.size, head))
        format.read_body(start, self.read_at(offset + CHUNK_START.size + head, body))
        return (
            IndexEntry.unpacked(decoded_head) if start[:4] == format.BLOCK_MAGIC else None,
            CHUNK_START.size + head + body,
        )

    def next_block(self, offset):
        """Return the offset of the next complete block, None where there is none."""
        while offset < self.size:
            part = self.read_at(offset, SCAN_STEP_BYTES + 3)
            position = part.find(format.BLOCK_MAGIC)
            while position >= 0:
                try:
                    if self.verify_chunk(offset + position)[0]:
                        return offset + position
                except UnreadableTrace:
                    pass
                position = part.find(format.BLOCK_MAGIC, position + 1)
            offset += SCAN_STEP_BYTES
        return None

    def on_damage(self, what):
        if not self.skip:
            raise UnreadableTrace(f"{self.path}: {what} (--skip-damaged continues after it)")
        self.damage.append(what)

    def packed_block(self, offset):
        """Return (first bytes, compressed body) of a block, with the checksum of its head verified."""
        start, head, size = self.read_chunk(offset)
        if start[:4] != format.BLOCK_MAGIC:
            raise UnreadableTrace(f"not a block at byte {offset}")
        format.read_head(self.seed, start, self.read_at(offset + CHUNK_START.size, head))
        return start, self.read_at(offset + CHUNK_START.size + head, size)

    def block(self, offset, size):
        """Return the format.Columns of a block."""
        start, body = self.packed_block(offset)
        return format.Columns(format.read_body(start, body), self.kinds)

    # Records.
    def blocks(self, record_filter=None):
        """Yield (IndexEntry, format.Columns) of the blocks that may contain matching records."""
        for offset, size, entry in self.entries():
            if record_filter is None or record_filter.may_contain(entry):
                try:
                    found = self.block(offset, size)
                except UnreadableTrace as error:
                    self.on_damage(f"{error} at byte {offset}")
                    continue
                self.unknown_records += sum(
                    count for kind, count in entry.kinds.items() if kind not in self.kinds
                )
                yield entry, found

    def records(self, record_filter=None, rpcs=None):
        """Yield matching records in the file's order.

        A filter by ids selects all records of the RPCs that arrived with these ids. `rpcs`, {(source, rpc)},
        names them instead where their arrivals are in another file.
        """
        record_filter = record_filter or RecordFilter()
        if record_filter.ids and rpcs is None:
            rpcs = self.rpcs_with_ids(record_filter.ids)
        for entry, found in self.blocks(record_filter):
            if rpcs is not None and not may_contain_rpcs(entry, rpcs):
                continue
            for record in found.records(record_filter.kinds or None):
                kind = self.kinds[record.kind]
                if record_filter.matches(record, kind) and (
                    rpcs is None or (record.source, kind.value(record.values, "rpc")) in rpcs
                ):
                    yield record

    def rpcs_with_ids(self, ids):
        """Return {(source, rpc)} of the RPCs that arrived with these ids; clients may reuse an id."""
        found = set()
        for offset, size, entry in self.entries():
            if may_contain_arrival(entry, ids):
                block_columns = self.block(offset, size)
                sources = [
                    s for s, kind in zip(block_columns.sources, block_columns.order) if kind == ARRIVAL.number
                ]
                rows = zip(
                    sources,
                    block_columns.column(ARRIVAL, ARRIVAL.fields[ARRIVAL.positions["rpc"]]),
                    block_columns.column(ARRIVAL, ARRIVAL.fields[ARRIVAL.positions["id"]]),
                )
                found |= {(source, rpc) for source, rpc, name in rows if name in ids}
        return found
