"""A reader written from docs/trace-format.md alone reads what the trace package writes.

The reader uses no code of the package, so the test fails where the page is incomplete or differs from it.
"""

import random
import struct

import msgpack
import xxhash
import zstandard

from honeywood.trace import sample
from honeywood.trace.schema import KINDS
from honeywood.trace.writer import create


def checksum(seed, *parts):
    return xxhash.xxh3_64_intdigest(b"".join(parts), seed)


class Page:
    """The tables of the page."""

    def __init__(self, text):
        rows = [
            [cell.strip() for cell in line.strip("|").split("|")]
            for line in text.splitlines()
            if line.startswith("| ")
        ]
        types = {row[1]: int(row[0]) for row in rows if row[0] in list("1234")}
        types |= {name: number for number, name in zip((5, 6, 7), ("ints", "numbers", "words"))}
        self.kinds = {}
        for row in rows:
            number, _, name = row[0].partition(" ")
            if len(row) == 3 and name and number.isdigit():
                fields = [field.split(":") for field in row[2].split(" ") if ":" in field[:-1]]
                self.kinds[int(number)] = [(key, types[type]) for key, type in fields]


def ints(data, offset, count):
    if not count:
        return [], offset
    form, width, minimum, first = struct.unpack_from("<BBqq", data, offset)
    offset, stored = offset + 18, count - form
    differences = [
        sum(data[offset + plane * stored + n] << 8 * plane for plane in range(width)) for n in range(stored)
    ]
    values = [minimum + difference for difference in differences]
    if form:
        deltas, values = values, [first]
        for delta in deltas:
            values.append(values[-1] + delta)
    return values, offset + width * stored


def texts(data, offset, count):
    sizes, offset = ints(data, offset, count)
    found = []
    for size in sizes:
        found.append(data[offset : offset + size].decode())
        offset += size
    return found, offset


def column(type, data, offset, count):
    if type == 1:
        return ints(data, offset, count)
    if type == 2:
        planes = [data[offset + n * count : offset + n * count + count] for n in range(8)]
        return [
            struct.unpack("<d", bytes(value_bytes))[0] for value_bytes in zip(*planes)
        ], offset + 8 * count
    if type == 3:
        dictionary, offset = texts(data, offset + 4, struct.unpack_from("<I", data, offset)[0])
        positions, offset = ints(data, offset, count)
        return [dictionary[position] for position in positions], offset
    if type == 4:
        return texts(data, offset, count)
    sizes, offset = ints(data, offset, count)
    items, offset = column({5: 1, 6: 2, 7: 3}[type], data, offset, sum(sizes))
    remaining = iter(items)
    return [tuple(next(remaining) for _ in range(size)) for size in sizes], offset


def read(data, kinds):
    magic, major, minor, size, stored_checksum = struct.unpack_from("<8sHHIQ", data)
    assert (magic, major, stored_checksum) == (b"HWTRACE\n", 1, checksum(0, data[:16], data[24 : 24 + size]))
    seed, offset = msgpack.unpackb(data[24 : 24 + size])["seed"], 24 + size
    while data[offset : offset + 4] == b"HWB1":
        head, body, raw, body_checksum, head_checksum = struct.unpack_from("<IIIQQ", data, offset + 4)
        heads, packed = (
            data[offset + 32 : offset + 32 + head],
            data[offset + 32 + head : offset + 32 + head + body],
        )
        assert body_checksum == checksum(0, packed) and head_checksum == checksum(
            seed, data[offset : offset + 24], heads
        )
        yield msgpack.unpackb(heads), list(records(zstandard.decompress(packed, raw), kinds))
        offset += 32 + head + body


def records(body, kinds):
    columns, offset = {}, 0
    while offset < len(body):
        kind, field, type, count, size = struct.unpack_from("<BBBII", body, offset)
        columns[kind, field], end = column(type, body, offset + 11, count)
        offset += 11 + size
        assert end == offset
    rows = {
        kind: zip(*(columns[kind, n + 1] for n in range(len(fields)))) if fields else iter([()] * 10**6)
        for kind, fields in kinds.items()
        if (kind, 1) in columns or not fields
    }
    for kind, time, source in zip(columns[0, 1], columns[0, 2], columns[0, 3]):
        yield time, source, kind, next(rows[kind])


def test_a_reader_written_from_the_page_reads_written_files(tmp_path, pytestconfig):
    page = Page((pytestconfig.rootpath / "docs/trace-format.md").read_text())
    assert page.kinds == {
        number: [(field.name, field.type) for field in kind.fields] for number, kind in KINDS.items()
    }
    generator = random.Random(6)
    blocks = [*sample.blocks(9000, 5)]
    blocks.append([(generator.randrange(10**9), 0, kind.number, kind.defaults) for kind in KINDS.values()])
    writer = create(tmp_path / "t", {"front": "f"})
    for block in blocks:
        writer.block(block)
    writer.close()
    found = list(read((tmp_path / "t").read_bytes(), page.kinds))
    assert [rows for _, rows in found] == blocks
    for head, rows in found:
        number, count, first, last, *_, ids = head
        assert count == len(rows) and (first, last) == (min(r[0] for r in rows), max(r[0] for r in rows))
        for name in {row[3][1] for row in rows if row[2] == 1}:
            h, size = checksum(0, name.encode()), 8 * len(ids)
            assert all(ids[bit // 8] >> bit % 8 & 1 for bit in (h % size, (h >> 21) % size, (h >> 42) % size))
