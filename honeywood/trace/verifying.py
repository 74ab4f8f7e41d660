"""Looks at the whole of a trace, and gives it a new index."""

import fcntl
import os

from honeywood.trace import format
from honeywood.trace.reader import Reader
from honeywood.trace.rules.lives import Following
from honeywood.trace.schema import Unreadable
from honeywood.trace.writer import write_fully

MOST_TOLD = 20


def verify(reader, progress):
    """{records, blocks, index, torn, wrong} of a Reader that skips damage."""
    index, wrong = index_of(reader), []
    records = blocks = 0
    following = Following()
    for offset, size, entry in list(reader.scan()):
        blocks += 1
        count = 0
        for record in reader.block(offset, size).records():
            count += 1
            wrong += following.add(record)
        unknown = sum(number for kind, number in entry.kinds.items() if kind not in reader.kinds)
        if count + unknown != entry.count:
            wrong.append(f"block {entry.number} holds {count + unknown} records, its head says {entry.count}")
        records += count
        progress(size)
    if index is not None and index != blocks and not reader.damage:
        wrong.append(f"the index names {index} blocks")
    return {
        "records": records,
        "blocks": blocks,
        "index": "missing" if index is None else "there",
        "torn": reader.torn,
        "wrong": (reader.damage + wrong)[:MOST_TOLD],
    }


def index_of(reader):
    try:
        found = reader.indexed()
    except Unreadable:
        return None
    return None if found is None else len(found)


def rebuild(path):
    """Cuts the torn tail and what there is of an index off and writes it anew; says in words what was done. A
    file that a front still writes, or that is damaged in its middle, is left as it is (Unreadable)."""
    with Reader(path) as reader, open(path, "r+b", buffering=0) as file:
        try:
            fcntl.flock(file, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            raise Unreadable(f"{path}: a front writes it") from None
        entries = list(reader.scan())
        end = entries[-1][0] + entries[-1][1] if entries else reader.begins
        os.ftruncate(file.fileno(), end)
        file.seek(end)
        for part in format.ending(reader.seed, end, entries):
            write_fully(file, part)
        os.fsync(file.fileno())
    torn = f", {reader.torn} bytes of a torn tail cut off" if reader.torn else ""
    return f"index of {len(entries)} blocks written{torn}"
