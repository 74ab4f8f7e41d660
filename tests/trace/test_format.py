"""The file format: round trips, crashes, full disks, damage and other versions."""

import io
import os
import random
import signal
import subprocess
import sys

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from honeywood.trace import columns, format, schema
from honeywood.trace.reader import Reader
from honeywood.trace.rules.selection import RecordFilter
from honeywood.trace.schema import (
    ANSWER,
    ARRIVAL,
    DICTIONARY_TEXT,
    DICTIONARY_TEXTS,
    FLOAT,
    FLOATS,
    INT,
    INTS,
    KINDS,
    PLAIN_TEXT,
    RESULT,
    TIMER,
    InvalidRecord,
    NewerVersion,
    UnreadableTrace,
)
from honeywood.trace.writer import Writer, create

INTEGERS, TEXTS = st.integers(-(2**63), 2**63 - 1), st.text(max_size=9)
FLOAT_VALUES = st.floats(allow_nan=False)
VALUES = {
    INT: INTEGERS,
    FLOAT: FLOAT_VALUES,
    DICTIONARY_TEXT: TEXTS,
    PLAIN_TEXT: TEXTS,
    INTS: st.lists(INTEGERS, max_size=4).map(tuple),
    FLOATS: st.lists(FLOAT_VALUES, max_size=4).map(tuple),
    DICTIONARY_TEXTS: st.lists(TEXTS, max_size=4).map(tuple),
}


def rows(count, seed=1, since=10**13):
    """Records of RPCs, two per RPC, as a balancer might write them."""
    generator = random.Random(seed)
    for n in range(count // 2):
        time = since + n * 20
        parcel = f"{generator.randrange(10**9)}"
        yield time, 0, ARRIVAL.number, (n, f"id{n}", f"m{n % 3}", "c", parcel, "", 0, 9, 0, 0)
        yield time + 3, 0, ANSWER.number, (n, f"m{n % 3}", n % 3, 0, 0, 3, ("a", "b"), (0, 9))


def written(path, blocks, **options):
    with open(path, "xb", buffering=0) as file:
        writer = Writer(file, {"front": "f", "run": "r"}, **options)
        for block in blocks:
            writer.block(block)
        ends = [offset + size for offset, size, _ in writer.entries]
        writer.close()
    return ends


def read(path, **options):
    with Reader(path, **options) as reader:
        return [tuple(record) for record in reader.records()]


@pytest.mark.parametrize("type", VALUES)
def test_column_round_trip(type):
    @settings(max_examples=60, deadline=None, derandomize=True)
    @given(st.lists(VALUES[type], max_size=20))
    def same(values):
        assert columns.unpack(type, columns.pack(type, values), len(values)) == values

    same()


@pytest.mark.parametrize("values", [(1 << 63,), ("text",), (None,)])
def test_invalid_values_are_refused(values):
    with pytest.raises(InvalidRecord):
        columns.pack(INT, list(values))


def test_an_id_of_64_kib_is_refused_and_nothing_of_its_block_is_written(tmp_path):
    """It is not truncated: a truncated text could equal another one."""
    with open(tmp_path / "t", "xb", buffering=0) as file:
        writer = Writer(file, {})
        good = list(rows(10))
        writer.block(good)
        with pytest.raises(InvalidRecord, match="65536"):
            writer.block([(1, 0, ARRIVAL.number, (1, "x" * 65536, "m", "", "", "", 0, 0, 0, 0))])
        writer.block(good)
        writer.close()
    assert read(tmp_path / "t") == good * 2


def test_records_of_all_kinds_in_any_time_order(tmp_path):
    """A balancer's clock may step back between files, that of another writer within one."""
    generator = random.Random(3)
    empty = [
        (generator.randrange(10**6), n % 3, kind.number, kind.defaults)
        for kind in KINDS.values()
        for n in range(9)
    ]
    generator.shuffle(empty)
    written(tmp_path / "t", [empty[:50], empty[50:]])
    assert read(tmp_path / "t") == empty
    with Reader(tmp_path / "t") as reader:
        some = [tuple(record) for record in reader.records(RecordFilter(since=300_000, until=600_000))]
        assert some == [record for record in empty if 300_000 <= record[0] < 600_000]


def test_a_torn_tail_is_cut_off_at_every_byte(tmp_path):
    records = list(rows(60))
    blocks = [records[offset : offset + 20] for offset in range(0, 60, 20)]
    ends = written(tmp_path / "whole", blocks)
    data = (tmp_path / "whole").read_bytes()
    for size in range(len(data)):
        (tmp_path / "cut").write_bytes(data[:size])
        count = 20 * sum(end <= size for end in ends)
        try:
            assert read(tmp_path / "cut") == records[:count]
        except UnreadableTrace as error:
            assert count == 0 and "header" in str(error)


def test_no_single_flipped_bit_yields_a_wrong_record(tmp_path):
    records = list(rows(24))
    ends = written(tmp_path / "whole", [records[:12], records[12:]])
    complete = (tmp_path / "whole").read_bytes()
    # A damaged index is rebuilt; without an index, a damaged last block is a torn tail.
    for size, expected in (len(complete), {24, "refused"}), (ends[-1], {12, "refused"}):
        data, outcomes = bytearray(complete[:size]), set()
        for bit in range(8 * size):
            data[bit >> 3] ^= 1 << (bit & 7)
            try:
                got = read(write_damaged(tmp_path, data))
                assert got == records[: len(got)]
                outcomes.add(len(got))
            except UnreadableTrace:
                outcomes.add("refused")
            data[bit >> 3] ^= 1 << (bit & 7)
        assert outcomes == expected


def test_ten_thousand_corruptions(tmp_path):
    """Only UnreadableTrace is raised, and no record is read that was not written."""
    generator, records = random.Random(5), list(rows(320))
    written(tmp_path / "whole", [records[offset : offset + 40] for offset in range(0, 320, 40)])
    complete, written_records = (tmp_path / "whole").read_bytes(), set(records)
    kept = refused = 0
    for _ in range(10_000):
        data = bytearray(complete)
        offset = generator.randrange(len(data))
        corruption = generator.randrange(4)
        if corruption == 0:
            data[offset] = generator.randrange(256)
        elif corruption == 1:
            data[offset : offset + generator.randrange(400)] = bytes(generator.randrange(400))
        elif corruption == 2:
            other = generator.randrange(len(data))
            data[offset : offset + 200] = data[other : other + 200]
        else:
            del data[offset : offset + generator.randrange(1, 400)]
        try:
            # Blocks are read in a tenth of the cases only: heads and index matter most.
            with Reader(write_damaged(tmp_path, data), skip=True) as reader:
                entries = reader.entries()
                if generator.random() < 0.1:
                    got = [tuple(record) for record in reader.records()]
                    assert written_records.issuperset(got)
                    kept += len(got)
                assert len(entries) <= 8
        except UnreadableTrace:
            refused += 1
    assert kept > 200 * 1000 and 0 < refused < 2000


def write_damaged(folder, data):
    (folder / "bent").write_bytes(data)
    return folder / "bent"


def test_damage_in_the_middle_is_reported_and_can_be_skipped(tmp_path):
    records = list(rows(300))
    ends = written(tmp_path / "t", [records[:100], records[100:200], records[200:]])
    data = bytearray((tmp_path / "t").read_bytes())
    data[ends[0] + 200] ^= 1
    (tmp_path / "t").write_bytes(data)
    with pytest.raises(UnreadableTrace, match="damaged block at byte"):
        read(tmp_path / "t")
    with Reader(tmp_path / "t", skip=True) as reader:
        assert [tuple(record) for record in reader.records()] == records[:100] + records[200:]
        assert len(reader.damage) == 1


def test_a_block_left_by_another_file_is_not_read(tmp_path):
    """After a crash of the machine, old blocks of the disk may follow a file's end."""
    records = list(rows(200))
    ends = written(tmp_path / "old", [records[:100]])
    written(tmp_path / "new", [records[100:]])
    old, new = ((tmp_path / name).read_bytes() for name in ("old", "new"))
    block = old[format.HEADER_START.size :][
        old[format.HEADER_START.size :].index(format.BLOCK_MAGIC) : ends[0] - format.HEADER_START.size
    ]
    trailer = new.index(format.INDEX_MAGIC)
    (tmp_path / "both").write_bytes(new[:trailer] + block)
    assert read(tmp_path / "both") == records[100:]


class FullDisk(io.RawIOBase):
    """A disk that accepts `capacity` bytes in total, with short writes."""

    def __init__(self, capacity):
        self.data, self.capacity = b"", capacity

    def write(self, data):
        some = bytes(data[: min(len(data), 700, self.capacity - len(self.data))])
        if not some:
            raise OSError(28, "no space left")
        self.data += some
        return len(some)


def test_disk_full_at_every_write(tmp_path):
    records = list(rows(200))
    blocks = [records[offset : offset + 50] for offset in range(0, 200, 50)]
    counts = set()
    for capacity in range(0, 9000, 37):
        disk = FullDisk(capacity)
        try:
            writer = Writer(disk, {"front": "f"})
            for block in blocks:
                writer.block(block)
            writer.close()
        except OSError:
            pass
        try:
            got = read(write_damaged(tmp_path, disk.data))
            assert got == records[: len(got)] and len(got) % 50 == 0
            counts.add(len(got))
        except UnreadableTrace:
            counts.add(None)
    assert counts == {None, 0, 50, 100, 150, 200}


def test_killed_while_writing(tmp_path):
    """kill -9 at 200 random moments: blocks reported as written are complete, and nothing else is read."""
    generator = random.Random(2)
    read_end, write_end = os.pipe()
    for turn in range(200):
        path = tmp_path / f"{turn}"
        child = os.fork()
        if not child:
            try:
                writer = create(path, {})
                for number in range(10**6):
                    writer.block(list(rows(40, number)))
                    os.write(write_end, b".")
            finally:
                os._exit(1)
        for _ in range(generator.randrange(1, 8)):
            os.read(read_end, 1)
        os.kill(child, signal.SIGKILL)
        os.waitpid(child, 0)
        got = read(path)
        assert len(got) % 40 == 0 and len(got) > 0
        assert got == [record for number in range(len(got) // 40) for record in rows(40, number)]
        os.set_blocking(read_end, False)
        try:
            os.read(read_end, 1 << 16)
        except BlockingIOError:
            pass
        os.set_blocking(read_end, True)


NEXT_KINDS = dict(KINDS)
NEXT_KINDS[RESULT.number] = schema.Kind(
    3,
    "result",
    True,
    *(
        f"{field.name}:{name}"
        for field in RESULT.fields
        for name, type in schema.TYPES.items()
        if type == field.type
    ),
    "shard:word",
)
NEXT_KINDS[99] = schema.Kind(99, "parcel_moved", False, "where:word", "far:number")


def test_an_older_reader_skips_additions_of_a_newer_minor_version(tmp_path):
    result = (5, 0, "s", 1, "m", 1, 30, 1, (1.0,))
    records = [(1, 0, RESULT.number, (*result, "west")), (2, 0, 99, ("belt", 1.5)), (3, 0, TIMER.number, ())]
    written(tmp_path / "t", [records], kinds=NEXT_KINDS, version=(schema.MAJOR, schema.MINOR + 1))
    with Reader(tmp_path / "t") as reader:
        assert [tuple(record) for record in reader.records()] == [(1, 0, 3, result), (3, 0, TIMER.number, ())]
        assert reader.unknown_records == 1 and reader.minor == schema.MINOR + 1
    # A newer reader reads the older file, with defaults for the missing fields.
    written(tmp_path / "old", [[(1, 0, RESULT.number, result)]])
    assert read(tmp_path / "old", kinds=NEXT_KINDS) == [(1, 0, 3, (*result, ""))]


def test_an_older_reader_refuses_a_newer_major_version(tmp_path):
    written(tmp_path / "t", [list(rows(10))], version=(schema.MAJOR + 1, 3))
    with pytest.raises(NewerVersion, match=r"version 2\.3; this program reads 1\.x"):
        Reader(tmp_path / "t")
    completed = subprocess.run(
        [sys.executable, "-m", "honeywood", "trace", "summary", str(tmp_path / "t")],
        capture_output=True,
        text=True,
    )
    assert (
        completed.returncode == 2 and completed.stderr.count("\n") == 1 and "version 2.3" in completed.stderr
    )
    assert Reader(tmp_path / "t", max_major=2).major == 2  # the reader of that version
