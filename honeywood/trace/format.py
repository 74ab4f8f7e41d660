"""The trace file's bytes: header, blocks, index and trailer, to objects and back (docs/trace-format.md).
Pure: what reads and writes files is writer.py and reader.py.
"""

import struct
from collections import Counter, defaultdict

import msgpack
import xxhash
import zstandard

from honeywood.trace import columns
from honeywood.trace.rules.selection import Entry, Filter
from honeywood.trace.schema import INT, KINDS, MAJOR, MINOR, Newer, Record, Unfit, Unreadable

MAGIC, BLOCK, INDEX, END = b"HWTRACE\n", b"HWB1", b"HWX1", b"HWEND1\r\n"
START = struct.Struct("<8sHHIQ")  # magic, major, minor, size of the body, sum of all of it
CHUNK = struct.Struct("<4sIIIQQ")  # magic, sizes of head, body, body unpacked, sums of body and head
TRAILER = struct.Struct("<8sQQQQ")  # magic, where the index begins, its chunks, records, sum
SECTION = struct.Struct("<BBBII")  # kind, field, type, values, bytes
COMMON, ORDER, TIMES, SOURCES = 0, 1, 2, 3  # sections that all records have: kind 0 and its fields
MOST_HEAD, MOST_BODY, MOST_RAW = 1 << 22, 1 << 28, 1 << 30
LEVEL = 3  # of zstandard: 6 gains 4% and takes twice the time
IN_CHUNK = 256  # entries of the index in one of its chunks


def summed(seed, *parts):
    check = xxhash.xxh3_64(seed=seed)
    for part in parts:
        check.update(part)
    return check.intdigest()


def header(about, major=MAJOR, minor=MINOR):
    """The header of a file. `about` is a map; its `seed` (64 bits, drawn anew for each file) goes into the
    sums of blocks, so that one left on a disk by another file is never taken for this one's."""
    body = msgpack.packb(about)
    start = START.pack(MAGIC, major, minor, len(body), 0)[:-8]
    return start + struct.pack("<Q", summed(0, start, body)) + body


def read_start(data, speaks=MAJOR):
    """(major, minor, size of the body) of a file's first bytes. Raises Unreadable, and Newer before anything
    else is looked at: what follows a newer major may be of any form."""
    if len(data) < START.size:
        raise Unreadable("no trace: cut short in its header")
    magic, major, minor, size, _ = START.unpack(data[: START.size])
    if magic != MAGIC:
        raise Unreadable("no trace: it begins otherwise")
    if major > speaks:
        raise Newer(f"written as version {major}.{minor}; this program reads {speaks}.x at the most")
    if size > MOST_HEAD:
        raise Unreadable("damaged header")
    return major, minor, size


def read_about(data, speaks=MAJOR):
    _, _, size = read_start(data, speaks)
    *_, check = START.unpack(data[: START.size])
    body = data[START.size : START.size + size]
    if len(body) != size or check != summed(0, data[: START.size - 8], body):
        raise Unreadable("damaged header")
    about = msgpack.unpackb(body)
    if not isinstance(about, dict) or not isinstance(about.get("seed"), int):
        raise Unreadable("a header that says too little")
    return about


def chunk(magic, seed, head, raw):
    """A head (small, read alone) and a body (compressed), each with its own sum."""
    body, head = zstandard.compress(raw, LEVEL), msgpack.packb(head)
    start = CHUNK.pack(magic, len(head), len(body), len(raw), summed(0, body), 0)[:-8]
    return start + struct.pack("<Q", summed(seed, start, head)) + head + body


def headed(seed, start, entry, body):
    """A block whose body was packed for another file, with a head for this one."""
    magic, _, size, raw, check, _ = CHUNK.unpack(start)
    head = msgpack.packb(entry.packed())
    start = CHUNK.pack(magic, len(head), size, raw, check, 0)[:-8]
    return start + struct.pack("<Q", summed(seed, start, head)) + head + body


def read_chunk(data):
    """(magic, size of head, of body, of the body unpacked, sum of the body, sum of the head)."""
    found = CHUNK.unpack(data)
    if found[0] not in (BLOCK, INDEX) or found[1] > MOST_HEAD or found[2] > MOST_BODY or found[3] > MOST_RAW:
        raise Unreadable("no block")
    return found


def read_head(seed, start, head):
    if summed(seed, start[:-8], head) != CHUNK.unpack(start)[5]:
        raise Unreadable("damaged head of a block")
    return msgpack.unpackb(head)


def read_body(start, body):
    _, _, size, raw, check, _ = CHUNK.unpack(start)
    if len(body) != size or summed(0, body) != check:
        raise Unreadable("damaged block")
    try:
        return zstandard.decompress(body, max_output_size=raw)
    except zstandard.ZstdError as wrong:
        raise Unreadable(f"a block that can't be unpacked: {wrong}") from None


def section(kind, field, type, values):
    data = columns.pack(type, values)
    return SECTION.pack(kind, field, type, len(values), len(data)) + data


def block(seed, number, records, kinds=KINDS, between=None):
    """One block of records, in the order given. Raises Unfit where one of them may not stand in a trace.
    `between` is called between columns: a recorder lets other threads go on there."""
    times, sources, order, values = zip(*records)
    parts = [
        section(COMMON, ORDER, INT, order),
        section(COMMON, TIMES, INT, times),
        section(COMMON, SOURCES, INT, sources),
    ]
    rows = defaultdict(list)
    for kind, row in zip(order, values):
        rows[kind].append(row)
    found = {}
    for number_, listed in rows.items():
        kind = kinds[number_]
        try:
            found[number_] = tuple(zip(*listed, strict=True)) if kind.fields else ()
        except ValueError:
            raise Unfit(f"records of {kind.name} with unlike numbers of fields") from None
        if len(found[number_]) != len(kind.fields):
            raise Unfit(f"a record of {kind.name} with {len(found[number_])} of {len(kind.fields)} fields")
        for field, column in zip(kind.fields, found[number_]):
            parts.append(section(number_, field.number, field.type, column))
            if between:
                between()
    entry = entry_of(number, times, sources, Counter(order), found, kinds)
    return chunk(BLOCK, seed, entry.packed(), b"".join(parts)), entry


def entry_of(number, times, sources, counts, found, kinds):
    """What the index knows of a block (selection.Entry)."""

    def all_of(name):
        values = [found[n][kinds[n].at[name]] for n in found if name in kinds[n].at]
        return set().union(*values)

    rpcs = [
        bound(found[n][kinds[n].at["rpc"]]) for n in found if "rpc" in kinds[n].at for bound in (min, max)
    ]
    return Entry(
        number=number,
        count=len(times),
        first=min(times),
        last=max(times),
        sources=sorted(set(sources)),
        kinds=dict(counts),
        methods=sorted(all_of("method") - {""}),
        servers=sorted(all_of("server")),
        builds=sorted(all_of("build")),
        rpcs=(min(rpcs), max(rpcs)) if rpcs else None,
        ids=Filter.of(all_of("id")).packed(),
    )


class Columns:
    """A block's records by columns, each unpacked when it is asked for."""

    def __init__(self, raw, kinds=KINDS):
        self.kinds, self.sections, at = kinds, {}, 0
        while at < len(raw):
            if at + SECTION.size > len(raw):
                raise Unreadable("a block cut short")
            kind, field, type, count, size = SECTION.unpack_from(raw, at)
            at += SECTION.size
            self.sections[kind, field] = type, raw[at : at + size], count
            at += size
        self.order = self.common(ORDER)
        self.times, self.sources = self.common(TIMES), self.common(SOURCES)
        if not len(self.order) == len(self.times) == len(self.sources):
            raise Unreadable("a block whose columns differ in length")

    def common(self, field):
        type, data, count = self.sections.get((COMMON, field), (None, b"", 0))
        if type != INT:
            raise Unreadable("a block without order, times or sources")
        return columns.unpack(INT, data, count)

    def column(self, kind, field):
        """The values of one field of all records of a kind; None where an older version wrote none."""
        type, data, count = self.sections.get((kind.number, field.number), (None, b"", 0))
        if type is None:
            return None
        if type != field.type:
            raise Unreadable(f"{kind.name}.{field.name} is of another type")
        return columns.unpack(type, data, count)

    def records(self, wanted=None):
        """Records in their order; kinds that are not known here are passed over. `wanted`: kinds' numbers."""
        counts, rows = Counter(self.order), {}
        for number, count in counts.items():
            kind = self.kinds.get(number)
            if kind is None or (wanted is not None and number not in wanted):
                continue
            found = []
            for field, empty in zip(kind.fields, kind.empty):
                column = self.column(kind, field)
                if column is not None and len(column) != count:
                    raise Unreadable(f"{kind.name}.{field.name} has {len(column)} values for {count} records")
                found.append([empty] * count if column is None else column)
            rows[number] = iter(zip(*found)) if found else iter([()] * count)
        for time, source, number in zip(self.times, self.sources, self.order):
            if number in rows:
                yield Record(time, source, number, next(rows[number]))


def index(seed, entries):
    """Chunks of the index; an entry is (offset, size, Entry)."""
    for at in range(0, len(entries), IN_CHUNK):
        part = entries[at : at + IN_CHUNK]
        raw = msgpack.packb([[offset, size, entry.packed()] for offset, size, entry in part])
        yield chunk(INDEX, seed, {"first": at, "count": len(part)}, raw)


def ending(seed, begins, entries):
    """What ends a file whose blocks go up to `begins`: the chunks of its index, and the trailer."""
    chunks = list(index(seed, entries))
    return [*chunks, trailer(seed, begins, len(chunks), sum(entry.count for _, _, entry in entries))]


def read_index(raw):
    try:
        return [(offset, size, Entry.unpacked(entry)) for offset, size, entry in msgpack.unpackb(raw)]
    except (ValueError, TypeError, KeyError) as wrong:
        raise Unreadable(f"damaged index: {wrong}") from None


def trailer(seed, begins, chunks, records):
    start = TRAILER.pack(END, begins, chunks, records, 0)[:-8]
    return start + struct.pack("<Q", summed(seed, start))


def read_trailer(seed, data):
    """(where the index begins, its chunks, records), or None where these bytes are no trailer of this
    file."""
    if len(data) != TRAILER.size:
        return None
    magic, begins, chunks, records, check = TRAILER.unpack(data)
    return (begins, chunks, records) if magic == END and summed(seed, data[:-8]) == check else None
