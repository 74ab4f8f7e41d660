"""docs/trace-format.md is enough to write a reader from: this one is, and imports nothing of the trace's code
but what wrote the file."""

import random
import struct

import msgpack
import xxhash
import zstandard

from honeywood.trace import sample
from honeywood.trace.schema import KINDS
from honeywood.trace.writer import create


def check(seed, *parts):
    return xxhash.xxh3_64_intdigest(b"".join(parts), seed)


class Page:
    """The page's tables, read as they stand there."""

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


def ints(data, at, count):
    if not count:
        return [], at
    form, width, least, first = struct.unpack_from("<BBqq", data, at)
    at, stored = at + 18, count - form
    figures = [
        sum(data[at + plane * stored + n] << 8 * plane for plane in range(width)) for n in range(stored)
    ]
    values = [least + figure for figure in figures]
    if form:
        steps, values = values, [first]
        for step in steps:
            values.append(values[-1] + step)
    return values, at + width * stored


def texts(data, at, count):
    sizes, at = ints(data, at, count)
    found = []
    for size in sizes:
        found.append(data[at : at + size].decode())
        at += size
    return found, at


def column(type, data, at, count):
    if type == 1:
        return ints(data, at, count)
    if type == 2:
        planes = [data[at + n * count : at + n * count + count] for n in range(8)]
        return [struct.unpack("<d", bytes(one))[0] for one in zip(*planes)], at + 8 * count
    if type == 3:
        known, at = texts(data, at + 4, struct.unpack_from("<I", data, at)[0])
        places, at = ints(data, at, count)
        return [known[place] for place in places], at
    if type == 4:
        return texts(data, at, count)
    sizes, at = ints(data, at, count)
    items, at = column({5: 1, 6: 2, 7: 3}[type], data, at, sum(sizes))
    rest = iter(items)
    return [tuple(next(rest) for _ in range(size)) for size in sizes], at


def read(data, kinds):
    magic, major, minor, size, said = struct.unpack_from("<8sHHIQ", data)
    assert (magic, major, said) == (b"HWTRACE\n", 1, check(0, data[:16], data[24 : 24 + size]))
    seed, at = msgpack.unpackb(data[24 : 24 + size])["seed"], 24 + size
    while data[at : at + 4] == b"HWB1":
        head, body, raw, whole, bound = struct.unpack_from("<IIIQQ", data, at + 4)
        heads, packed = data[at + 32 : at + 32 + head], data[at + 32 + head : at + 32 + head + body]
        assert whole == check(0, packed) and bound == check(seed, data[at : at + 24], heads)
        yield msgpack.unpackb(heads), list(records(zstandard.decompress(packed, raw), kinds))
        at += 32 + head + body


def records(body, kinds):
    columns, at = {}, 0
    while at < len(body):
        kind, field, type, count, size = struct.unpack_from("<BBBII", body, at)
        columns[kind, field], end = column(type, body, at + 11, count)
        at += 11 + size
        assert end == at
    rows = {
        kind: zip(*(columns[kind, n + 1] for n in range(len(fields)))) if fields else iter([()] * 10**6)
        for kind, fields in kinds.items()
        if (kind, 1) in columns or not fields
    }
    for kind, time, source in zip(columns[0, 1], columns[0, 2], columns[0, 3]):
        yield time, source, kind, next(rows[kind])


def test_a_reader_written_from_the_page_reads_what_is_written(tmp_path, pytestconfig):
    page = Page((pytestconfig.rootpath / "docs/trace-format.md").read_text())
    assert page.kinds == {
        number: [(field.name, field.type) for field in kind.fields] for number, kind in KINDS.items()
    }
    chance = random.Random(6)
    blocks = [*sample.blocks(9000, 5)]
    blocks.append([(chance.randrange(10**9), 0, kind.number, kind.empty) for kind in KINDS.values()])
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
            h, size = check(0, name.encode()), 8 * len(ids)
            assert all(ids[bit // 8] >> bit % 8 & 1 for bit in (h % size, (h >> 21) % size, (h >> 42) % size))
