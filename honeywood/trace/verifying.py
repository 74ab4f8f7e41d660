"""Verifies a whole trace file; rebuilds its index."""

import fcntl
import os

from honeywood.trace import format
from honeywood.trace.reader import Reader
from honeywood.trace.rules.rpc_history import HistoryTracker
from honeywood.trace.schema import UnreadableTrace
from honeywood.trace.writer import write_fully

MAX_PROBLEMS = 20


def verify(reader, progress):
    """Read all records of a Reader that skips damage.

    Returns a map: `records` and `blocks` read, `index` ("there" or "missing"), `torn` (bytes after the last
    complete block) and `wrong` (descriptions of the first problems).
    """
    index, problems = count_indexed_blocks(reader), []
    records = blocks = 0
    history_tracker = HistoryTracker()
    for offset, size, entry in list(reader.scan()):
        blocks += 1
        count = 0
        for record in reader.block(offset, size).records():
            count += 1
            problems += history_tracker.add(record)
        unknown = sum(number for kind, number in entry.kinds.items() if kind not in reader.kinds)
        if count + unknown != entry.count:
            problems.append(
                f"block {entry.number} has {count + unknown} records, its head says {entry.count}"
            )
        records += count
        progress(size)
    if index is not None and index != blocks and not reader.damage:
        problems.append(f"the index lists {index} blocks")
    return {
        "records": records,
        "blocks": blocks,
        "index": "missing" if index is None else "there",
        "torn": reader.torn_bytes,
        "wrong": (reader.damage + problems)[:MAX_PROBLEMS],
    }


def count_indexed_blocks(reader):
    try:
        entries = reader.entries_from_index()
    except UnreadableTrace:
        return None
    return None if entries is None else len(entries)


def rebuild(path):
    """Truncate the file after its last complete block, write a new index and describe what was done.

    Raises:
        UnreadableTrace: a balancer still writes the file, or it is damaged in its middle; it is unchanged.
    """
    with Reader(path) as reader, open(path, "r+b", buffering=0) as file:
        try:
            fcntl.flock(file, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            raise UnreadableTrace(f"{path}: a balancer is writing it") from None
        entries = list(reader.scan())
        end = entries[-1][0] + entries[-1][1] if entries else reader.first_block_offset
        os.ftruncate(file.fileno(), end)
        file.seek(end)
        for part in format.file_end(reader.seed, end, entries):
            write_fully(file, part)
        os.fsync(file.fileno())
    torn = f", {reader.torn_bytes} bytes of a torn tail cut off" if reader.torn_bytes else ""
    return f"index of {len(entries)} blocks written{torn}"
