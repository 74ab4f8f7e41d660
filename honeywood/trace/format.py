"""Encodes and decodes the parts of a trace file: header, blocks, index and trailer (docs/trace-format.md).

Does no I/O: writer.py and reader.py write and read the files.
"""

import struct
from collections import Counter, defaultdict

import msgpack
import xxhash
import zstandard

from honeywood.trace import columns
from honeywood.trace.rules.selection import BloomFilter, IndexEntry
from honeywood.trace.schema import (
    INT,
    KINDS,
    MAJOR,
    MINOR,
    InvalidRecord,
    NewerVersion,
    Record,
    UnreadableTrace,
)

FILE_MAGIC, BLOCK_MAGIC, INDEX_MAGIC, TRAILER_MAGIC = b"HWTRACE\n", b"HWB1", b"HWX1", b"HWEND1\r\n"
HEADER_START = struct.Struct("<8sHHIQ")  # magic, major, minor, size of the body, checksum of both
# Magic; sizes of head, body, decompressed body; checksums of body and head.
CHUNK_START = struct.Struct("<4sIIIQQ")
TRAILER = struct.Struct("<8sQQQQ")  # magic, offset of the index, its chunks, records, checksum
SECTION_START = struct.Struct("<BBBII")  # kind, field, type, count of values, size in bytes
COMMON, ORDER, TIMES, SOURCES = 0, 1, 2, 3  # kind 0 and its fields: columns common to all records
MAX_HEAD_BYTES, MAX_BODY_BYTES, MAX_RAW_BYTES = 1 << 22, 1 << 28, 1 << 30
COMPRESSION_LEVEL = 3  # of zstandard: level 6 saves 4% and takes twice the time
ENTRIES_PER_INDEX_CHUNK = 256


def compute_checksum(seed, *parts):
    """Return the 64-bit XXH3 hash of the parts, one after the other."""
    checksum = xxhash.xxh3_64(seed=seed)
    for part in parts:
        checksum.update(part)
    return checksum.intdigest()


def header(metadata, major=MAJOR, minor=MINOR):
    """Return a file's header, which contains the map `metadata`.

    Its `seed` (64 random bits for each file) goes into the checksums of blocks, so that a block that another
    file left on the disk is never read as one of this file.
    """
    body = msgpack.packb(metadata)
    start = HEADER_START.pack(FILE_MAGIC, major, minor, len(body), 0)[:-8]
    return start + struct.pack("<Q", compute_checksum(0, start, body)) + body


def read_start(data, max_major=MAJOR):
    """Return (major, minor, size of the body) from a file's first bytes.

    Raises:
        NewerVersion: checked before all but the magic, since the rest of a newer major version may differ.
        UnreadableTrace: these bytes are not the start of a trace.
    """
    if len(data) < HEADER_START.size:
        raise UnreadableTrace("not a trace: its header is truncated")
    magic, major, minor, size, _ = HEADER_START.unpack(data[: HEADER_START.size])
    if magic != FILE_MAGIC:
        raise UnreadableTrace("not a trace: it begins with other bytes")
    if major > max_major:
        raise NewerVersion(f"written as version {major}.{minor}; this program reads {max_major}.x at most")
    if size > MAX_HEAD_BYTES:
        raise UnreadableTrace("damaged header")
    return major, minor, size


def read_metadata(data, max_major=MAJOR):
    """Return the map of a whole header. Raises UnreadableTrace."""
    _, _, size = read_start(data, max_major)
    *_, checksum = HEADER_START.unpack(data[: HEADER_START.size])
    body = data[HEADER_START.size : HEADER_START.size + size]
    if len(body) != size or checksum != compute_checksum(0, data[: HEADER_START.size - 8], body):
        raise UnreadableTrace("damaged header")
    metadata = msgpack.unpackb(body)
    if not isinstance(metadata, dict) or not isinstance(metadata.get("seed"), int):
        raise UnreadableTrace("a header without its seed")
    return metadata


def chunk(magic, seed, head, raw):
    """Return a chunk: a small head that can be read alone and a compressed body, each with a checksum."""
    body, head = zstandard.compress(raw, COMPRESSION_LEVEL), msgpack.packb(head)
    start = CHUNK_START.pack(magic, len(head), len(body), len(raw), compute_checksum(0, body), 0)[:-8]
    return start + struct.pack("<Q", compute_checksum(seed, start, head)) + head + body


def with_new_head(seed, start, entry, body):
    """Return a block with a new head for this file; its compressed body is copied from another file."""
    magic, _, size, raw, checksum, _ = CHUNK_START.unpack(start)
    head = msgpack.packb(entry.packed())
    start = CHUNK_START.pack(magic, len(head), size, raw, checksum, 0)[:-8]
    return start + struct.pack("<Q", compute_checksum(seed, start, head)) + head + body


def read_chunk_start(data):
    """Return a chunk's (magic, size of head, of body, of decompressed body, checksum of body, of head)."""
    fields = CHUNK_START.unpack(data)
    if (
        fields[0] not in (BLOCK_MAGIC, INDEX_MAGIC)
        or fields[1] > MAX_HEAD_BYTES
        or fields[2] > MAX_BODY_BYTES
        or fields[3] > MAX_RAW_BYTES
    ):
        raise UnreadableTrace("not a block")
    return fields


def read_head(seed, start, head):
    """Return the decoded head of a chunk. Raises UnreadableTrace where its checksum differs."""
    if compute_checksum(seed, start[:-8], head) != CHUNK_START.unpack(start)[5]:
        raise UnreadableTrace("damaged head of a block")
    return msgpack.unpackb(head)


def read_body(start, body):
    """Return the decompressed body of a chunk. Raises UnreadableTrace where it is damaged."""
    _, _, size, raw, checksum, _ = CHUNK_START.unpack(start)
    if len(body) != size or compute_checksum(0, body) != checksum:
        raise UnreadableTrace("damaged block")
    try:
        return zstandard.decompress(body, max_output_size=raw)
    except zstandard.ZstdError as error:
        raise UnreadableTrace(f"a block that can't be decompressed: {error}") from None


def section(kind, field, type, values):
    data = columns.pack(type, values)
    return SECTION_START.pack(kind, field, type, len(values), len(data)) + data


def block(seed, number, records, kinds=KINDS, on_column=None):
    """Return (bytes, index entry) of a block with these records in their order.

    `on_column` is called after each column: a recorder lets other threads run there. Raises InvalidRecord.
    """
    times, sources, order, values = zip(*records)
    parts = [
        section(COMMON, ORDER, INT, order),
        section(COMMON, TIMES, INT, times),
        section(COMMON, SOURCES, INT, sources),
    ]
    rows = defaultdict(list)
    for kind, row in zip(order, values):
        rows[kind].append(row)
    columns_by_kind = {}
    for kind_number, kind_rows in rows.items():
        kind = kinds[kind_number]
        try:
            columns_by_kind[kind_number] = tuple(zip(*kind_rows, strict=True)) if kind.fields else ()
        except ValueError:
            raise InvalidRecord(f"records of {kind.name} with different numbers of fields") from None
        if len(columns_by_kind[kind_number]) != len(kind.fields):
            raise InvalidRecord(
                f"a record of {kind.name} with {len(columns_by_kind[kind_number])} "
                f"of {len(kind.fields)} fields"
            )
        for field, column in zip(kind.fields, columns_by_kind[kind_number]):
            parts.append(section(kind_number, field.number, field.type, column))
            if on_column:
                on_column()
    entry = build_entry(number, times, sources, Counter(order), columns_by_kind, kinds)
    return chunk(BLOCK_MAGIC, seed, entry.packed(), b"".join(parts)), entry


def build_entry(number, times, sources, counts, columns_by_kind, kinds):
    """Return the index entry of a block (selection.IndexEntry)."""

    def distinct_values(name):
        values = [
            columns_by_kind[n][kinds[n].positions[name]]
            for n in columns_by_kind
            if name in kinds[n].positions
        ]
        return set().union(*values)

    rpcs = [
        bound(columns_by_kind[n][kinds[n].positions["rpc"]])
        for n in columns_by_kind
        if "rpc" in kinds[n].positions
        for bound in (min, max)
    ]
    return IndexEntry(
        number=number,
        count=len(times),
        first=min(times),
        last=max(times),
        sources=sorted(set(sources)),
        kinds=dict(counts),
        methods=sorted(distinct_values("method") - {""}),
        servers=sorted(distinct_values("server")),
        builds=sorted(distinct_values("build")),
        rpcs=(min(rpcs), max(rpcs)) if rpcs else None,
        ids=BloomFilter.of(distinct_values("id")).packed(),
    )


class Columns:
    """The records of a block in columns, each of which is decoded on access."""

    def __init__(self, raw, kinds=KINDS):
        self.kinds, self.sections, offset = kinds, {}, 0
        while offset < len(raw):
            if offset + SECTION_START.size > len(raw):
                raise UnreadableTrace("a truncated block")
            kind, field, type, count, size = SECTION_START.unpack_from(raw, offset)
            offset += SECTION_START.size
            self.sections[kind, field] = type, raw[offset : offset + size], count
            offset += size
        self.order = self.common(ORDER)
        self.times, self.sources = self.common(TIMES), self.common(SOURCES)
        if not len(self.order) == len(self.times) == len(self.sources):
            raise UnreadableTrace("a block whose columns differ in length")

    def common(self, field):
        type, data, count = self.sections.get((COMMON, field), (None, b"", 0))
        if type != INT:
            raise UnreadableTrace("a block without order, times or sources")
        return columns.unpack(INT, data, count)

    def column(self, kind, field):
        """Return the values of one field for all records of a kind.

        Returns None where the file's older version has no such field.
        """
        type, data, count = self.sections.get((kind.number, field.number), (None, b"", 0))
        if type is None:
            return None
        if type != field.type:
            raise UnreadableTrace(f"{kind.name}.{field.name} has another type")
        return columns.unpack(type, data, count)

    def records(self, kind_numbers=None):
        """Yield records in order, without unknown kinds; only those of `kind_numbers` where given."""
        counts, rows = Counter(self.order), {}
        for number, count in counts.items():
            kind = self.kinds.get(number)
            if kind is None or (kind_numbers is not None and number not in kind_numbers):
                continue
            columns_of_kind = []
            for field, empty in zip(kind.fields, kind.defaults):
                column = self.column(kind, field)
                if column is not None and len(column) != count:
                    raise UnreadableTrace(
                        f"{kind.name}.{field.name} has {len(column)} values for {count} records"
                    )
                columns_of_kind.append([empty] * count if column is None else column)
            rows[number] = iter(zip(*columns_of_kind)) if columns_of_kind else iter([()] * count)
        for time, source, number in zip(self.times, self.sources, self.order):
            if number in rows:
                yield Record(time, source, number, next(rows[number]))


def index(seed, entries):
    """Yield the chunks of the index; `entries` are (offset, size, IndexEntry)."""
    for first in range(0, len(entries), ENTRIES_PER_INDEX_CHUNK):
        part = entries[first : first + ENTRIES_PER_INDEX_CHUNK]
        raw = msgpack.packb([[offset, size, entry.packed()] for offset, size, entry in part])
        yield chunk(INDEX_MAGIC, seed, {"first": first, "count": len(part)}, raw)


def file_end(seed, index_offset, entries):
    """Return the end of a file whose blocks end at `index_offset`: the chunks of its index, the trailer."""
    chunks = list(index(seed, entries))
    return [*chunks, trailer(seed, index_offset, len(chunks), sum(entry.count for _, _, entry in entries))]


def read_index(raw):
    """Return the (offset, size, IndexEntry) of a chunk of the index. Raises UnreadableTrace."""
    try:
        return [(offset, size, IndexEntry.unpacked(entry)) for offset, size, entry in msgpack.unpackb(raw)]
    except (ValueError, TypeError, KeyError) as error:
        raise UnreadableTrace(f"damaged index: {error}") from None


def trailer(seed, index_offset, chunks, records):
    start = TRAILER.pack(TRAILER_MAGIC, index_offset, chunks, records, 0)[:-8]
    return start + struct.pack("<Q", compute_checksum(seed, start))


def read_trailer(seed, data):
    """Return (offset of the index, its chunks, records); None where the bytes are not this file's trailer."""
    if len(data) != TRAILER.size:
        return None
    magic, index_offset, chunks, records, checksum = TRAILER.unpack(data)
    return (
        (index_offset, chunks, records)
        if magic == TRAILER_MAGIC and compute_checksum(seed, data[:-8]) == checksum
        else None
    )
