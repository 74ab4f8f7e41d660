"""Cuts a part out of a trace. Blocks all of whose records match are copied without decompression."""

from itertools import islice

from honeywood.trace.rules.write_schedule import MAX_BLOCK_RECORDS
from honeywood.trace.sources import sources


def metadata_of(reader):
    """Return the header's map for a cut of a Reader's file."""
    return {"sources": [{**source, "cut": True} for source in sources(reader.metadata)]}


def cut(reader, writer, record_filter, progress):
    """Write the matching records of a Reader, in their order, to a Writer and close that."""
    if record_filter.selects_by_time_only():
        for offset, size, entry in reader.entries():
            if record_filter.matches_all(entry):
                writer.copy(entry, *reader.packed_block(offset))
            elif record_filter.may_contain(entry):
                matching = [
                    tuple(record)
                    for record in reader.block(offset, size).records()
                    if record_filter.in_time_range(record.time)
                ]
                if matching:
                    writer.block(matching)
            progress(size)
    else:
        write_all(writer, reader.records(record_filter), progress)
    writer.close()


def write_all(writer, records, progress, size=MAX_BLOCK_RECORDS):
    """Write records in blocks of `size` records; return their count."""
    records, count = iter(records), 0
    while block := [tuple(record) for record in islice(records, size)]:
        writer.block(block)
        count += len(block)
        progress(len(block))
    return count
