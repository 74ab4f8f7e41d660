"""Cuts a part out of traces. Blocks of which all is wanted are handed on as they are packed."""

from itertools import islice

from honeywood.trace.rules.write_schedule import MAX_BLOCK_RECORDS
from honeywood.trace.sources import sources


def about_of(reader):
    return {"sources": [{**source, "cut": True} for source in sources(reader.about)]}


def cut(reader, writer, wanted, progress):
    """Writes what is wanted of one file to a Writer, in its order, and ends it."""
    if wanted.only_times():
        for offset, size, entry in reader.entries():
            if wanted.whole(entry):
                writer.copy(entry, *reader.packed(offset))
            elif wanted.may_hold(entry):
                part = [
                    tuple(record)
                    for record in reader.block(offset, size).records()
                    if wanted.in_time(record.time)
                ]
                if part:
                    writer.block(part)
            progress(size)
    else:
        write_all(writer, reader.records(wanted), progress)
    writer.close()


def write_all(writer, records, progress, size=MAX_BLOCK_RECORDS):
    """Writes records as blocks of one size; returns how many there were."""
    records, count = iter(records), 0
    while block := [tuple(record) for record in islice(records, size)]:
        writer.block(block)
        count += len(block)
        progress(len(block))
    return count
