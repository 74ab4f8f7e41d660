"""The file: what goes in comes out; crashes, full disks, damage and other versions."""

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
from honeywood.trace.rules.selection import Wanted
from honeywood.trace.schema import (
    ANSWER,
    ID,
    INT,
    INTS,
    KINDS,
    LOOK,
    NUMBER,
    NUMBERS,
    RESULT,
    TAKEN,
    WORD,
    WORDS,
    Newer,
    Unfit,
    Unreadable,
)
from honeywood.trace.writer import Writer, create

WHOLE, TEXT = st.integers(-(2**63), 2**63 - 1), st.text(max_size=9)
REAL = st.floats(allow_nan=False)
VALUES = {
    INT: WHOLE,
    NUMBER: REAL,
    WORD: TEXT,
    ID: TEXT,
    INTS: st.lists(WHOLE, max_size=4).map(tuple),
    NUMBERS: st.lists(REAL, max_size=4).map(tuple),
    WORDS: st.lists(TEXT, max_size=4).map(tuple),
}


def rows(count, seed=1, since=10**13):
    """Records of RPCs, two a call, as a front might write them."""
    chance = random.Random(seed)
    for n in range(count // 2):
        at = since + n * 20
        parcel = f"{chance.randrange(10**9)}"
        yield at, 0, TAKEN.number, (n, f"id{n}", f"m{n % 3}", "c", parcel, "", 0, 9, 0, 0)
        yield at + 3, 0, ANSWER.number, (n, f"m{n % 3}", n % 3, 0, 0, 3, ("a", "b"), (0, 9))


def written(path, blocks, **more):
    with open(path, "xb", buffering=0) as file:
        writer = Writer(file, {"front": "f", "run": "r"}, **more)
        for block in blocks:
            writer.block(block)
        ends = [at + size for at, size, _ in writer.entries]
        writer.close()
    return ends


def read(path, **more):
    with Reader(path, **more) as reader:
        return [tuple(record) for record in reader.records()]


@pytest.mark.parametrize("type", VALUES)
def test_columns_come_back_as_they_went_in(type):
    @settings(max_examples=60, deadline=None, derandomize=True)
    @given(st.lists(VALUES[type], max_size=20))
    def same(values):
        assert columns.unpack(type, columns.pack(type, values), len(values)) == values

    same()


@pytest.mark.parametrize("values", [(1 << 63,), ("text",), (None,)])
def test_what_no_trace_may_hold_is_refused(values):
    with pytest.raises(Unfit):
        columns.pack(INT, list(values))


def test_an_id_of_64_kib_is_refused_and_nothing_of_its_block_is_written(tmp_path):
    """A text that was cut would match those of others."""
    with open(tmp_path / "t", "xb", buffering=0) as file:
        writer = Writer(file, {})
        good = list(rows(10))
        writer.block(good)
        with pytest.raises(Unfit, match="65536"):
            writer.block([(1, 0, TAKEN.number, (1, "x" * 65536, "m", "", "", "", 0, 0, 0, 0))])
        writer.block(good)
        writer.close()
    assert read(tmp_path / "t") == good * 2


def test_records_of_all_kinds_in_any_order_of_time(tmp_path):
    """A front's clock may be stepped back between files, and a foreign writer's within one."""
    chance = random.Random(3)
    empty = [
        (chance.randrange(10**6), n % 3, kind.number, kind.empty) for kind in KINDS.values() for n in range(9)
    ]
    chance.shuffle(empty)
    written(tmp_path / "t", [empty[:50], empty[50:]])
    assert read(tmp_path / "t") == empty
    with Reader(tmp_path / "t") as reader:
        some = [tuple(record) for record in reader.records(Wanted(since=300_000, until=600_000))]
        assert some == [record for record in empty if 300_000 <= record[0] < 600_000]


def test_a_torn_tail_is_cut_off_at_every_byte(tmp_path):
    records = list(rows(60))
    blocks = [records[at : at + 20] for at in range(0, 60, 20)]
    ends = written(tmp_path / "whole", blocks)
    data = (tmp_path / "whole").read_bytes()
    for size in range(len(data)):
        (tmp_path / "cut").write_bytes(data[:size])
        count = 20 * sum(end <= size for end in ends)
        try:
            assert read(tmp_path / "cut") == records[:count]
        except Unreadable as wrong:
            assert count == 0 and "header" in str(wrong)


def test_no_single_flipped_bit_yields_a_wrong_record(tmp_path):
    records = list(rows(24))
    ends = written(tmp_path / "whole", [records[:12], records[12:]])
    whole = (tmp_path / "whole").read_bytes()
    # A bent index is made anew; without one, a bent last block is a torn tail.
    for size, expected in (len(whole), {24, "refused"}), (ends[-1], {12, "refused"}):
        data, told = bytearray(whole[:size]), set()
        for bit in range(8 * size):
            data[bit >> 3] ^= 1 << (bit & 7)
            try:
                got = read(io_path(tmp_path, data))
                assert got == records[: len(got)]
                told.add(len(got))
            except Unreadable:
                told.add("refused")
            data[bit >> 3] ^= 1 << (bit & 7)
        assert told == expected


def test_ten_thousand_corruptions(tmp_path):
    """Never an exception of another kind, and no record that was not written."""
    chance, records = random.Random(5), list(rows(320))
    written(tmp_path / "whole", [records[at : at + 40] for at in range(0, 320, 40)])
    whole, known = (tmp_path / "whole").read_bytes(), set(records)
    kept = refused = 0
    for _ in range(10_000):
        data = bytearray(whole)
        at = chance.randrange(len(data))
        how = chance.randrange(4)
        if how == 0:
            data[at] = chance.randrange(256)
        elif how == 1:
            data[at : at + chance.randrange(400)] = bytes(chance.randrange(400))
        elif how == 2:
            other = chance.randrange(len(data))
            data[at : at + 200] = data[other : other + 200]
        else:
            del data[at : at + chance.randrange(1, 400)]
        try:
            # Blocks are read for one in ten: their heads and the index are what others rest on.
            with Reader(io_path(tmp_path, data), skip=True) as reader:
                entries = reader.entries()
                if chance.random() < 0.1:
                    got = [tuple(record) for record in reader.records()]
                    assert known.issuperset(got)
                    kept += len(got)
                assert len(entries) <= 8
        except Unreadable:
            refused += 1
    assert kept > 200 * 1000 and 0 < refused < 2000


def io_path(folder, data):
    (folder / "bent").write_bytes(data)
    return folder / "bent"


def test_damage_in_the_middle_is_told_and_can_be_skipped(tmp_path):
    records = list(rows(300))
    ends = written(tmp_path / "t", [records[:100], records[100:200], records[200:]])
    data = bytearray((tmp_path / "t").read_bytes())
    data[ends[0] + 200] ^= 1
    (tmp_path / "t").write_bytes(data)
    with pytest.raises(Unreadable, match="damaged block at byte"):
        read(tmp_path / "t")
    with Reader(tmp_path / "t", skip=True) as reader:
        assert [tuple(record) for record in reader.records()] == records[:100] + records[200:]
        assert len(reader.damage) == 1


def test_a_block_that_another_file_left_is_not_taken(tmp_path):
    """A disk's old blocks may stand behind a file's end after a crash of the machine."""
    records = list(rows(200))
    ends = written(tmp_path / "old", [records[:100]])
    written(tmp_path / "new", [records[100:]])
    old, new = ((tmp_path / name).read_bytes() for name in ("old", "new"))
    block = old[format.START.size :][
        old[format.START.size :].index(format.BLOCK) : ends[0] - format.START.size
    ]
    trailer = new.index(format.INDEX)
    (tmp_path / "both").write_bytes(new[:trailer] + block)
    assert read(tmp_path / "both") == records[100:]


class Failing(io.RawIOBase):
    """A disk that takes `most` bytes, and short writes before."""

    def __init__(self, most):
        self.data, self.most = b"", most

    def write(self, data):
        some = bytes(data[: min(len(data), 700, self.most - len(self.data))])
        if not some:
            raise OSError(28, "no space left")
        self.data += some
        return len(some)


def test_a_disk_full_at_every_write(tmp_path):
    records = list(rows(200))
    blocks = [records[at : at + 50] for at in range(0, 200, 50)]
    counts = set()
    for most in range(0, 9000, 37):
        disk = Failing(most)
        try:
            writer = Writer(disk, {"front": "f"})
            for block in blocks:
                writer.block(block)
            writer.close()
        except OSError:
            pass
        try:
            got = read(io_path(tmp_path, disk.data))
            assert got == records[: len(got)] and len(got) % 50 == 0
            counts.add(len(got))
        except Unreadable:
            counts.add(None)
    assert counts == {None, 0, 50, 100, 150, 200}


def test_killed_while_it_writes(tmp_path):
    """kill -9 at 200 random moments: what was said to be written is there, whole, and nothing else."""
    chance = random.Random(2)
    told, say = os.pipe()
    for turn in range(200):
        path = tmp_path / f"{turn}"
        child = os.fork()
        if not child:
            try:
                writer = create(path, {})
                for number in range(10**6):
                    writer.block(list(rows(40, number)))
                    os.write(say, b".")
            finally:
                os._exit(1)
        for _ in range(chance.randrange(1, 8)):
            os.read(told, 1)
        os.kill(child, signal.SIGKILL)
        os.waitpid(child, 0)
        got = read(path)
        assert len(got) % 40 == 0 and len(got) > 0
        assert got == [record for number in range(len(got) // 40) for record in rows(40, number)]
        os.set_blocking(told, False)
        try:
            os.read(told, 1 << 16)
        except BlockingIOError:
            pass
        os.set_blocking(told, True)


NEXT = dict(KINDS)
NEXT[RESULT.number] = schema.Kind(
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
NEXT[99] = schema.Kind(99, "parcel_moved", False, "where:word", "far:number")


def test_an_older_reader_passes_over_what_a_newer_minor_adds(tmp_path):
    result = (5, 0, "s", 1, "m", 1, 30, 1, (1.0,))
    records = [(1, 0, RESULT.number, (*result, "west")), (2, 0, 99, ("belt", 1.5)), (3, 0, LOOK.number, ())]
    written(tmp_path / "t", [records], kinds=NEXT, version=(schema.MAJOR, schema.MINOR + 1))
    with Reader(tmp_path / "t") as reader:
        assert [tuple(record) for record in reader.records()] == [(1, 0, 3, result), (3, 0, LOOK.number, ())]
        assert reader.passed == 1 and reader.minor == schema.MINOR + 1
    # And a newer reader reads the older file, with what that lacks empty.
    written(tmp_path / "old", [[(1, 0, RESULT.number, result)]])
    assert read(tmp_path / "old", kinds=NEXT) == [(1, 0, 3, (*result, ""))]


def test_an_older_reader_refuses_a_newer_major(tmp_path):
    written(tmp_path / "t", [list(rows(10))], version=(schema.MAJOR + 1, 3))
    with pytest.raises(Newer, match=r"version 2\.3; this program reads 1\.x"):
        Reader(tmp_path / "t")
    done = subprocess.run(
        [sys.executable, "-m", "honeywood", "trace", "summary", str(tmp_path / "t")],
        capture_output=True,
        text=True,
    )
    assert done.returncode == 2 and done.stderr.count("\n") == 1 and "version 2.3" in done.stderr
    assert Reader(tmp_path / "t", speaks=2).major == 2  # the reader that comes with it
