"""Finds records in several files at once; an RPC's life may span those of one run."""

from honeywood.trace.sources import sources


def found_in(readers, wanted):
    """The records wanted (a selection.Wanted a reader), file by file; their source is the name of its run, or
    the place of the file and the source's number where the header names none."""
    runs = [
        [str(source.get("run", f"{place}/{number}")) for number, source in enumerate(sources(reader.about))]
        for place, reader in enumerate(readers)
    ]
    rpcs = set()
    for reader, names, chosen in zip(readers, runs, wanted):
        if chosen.ids:
            rpcs |= {(names[source], number) for source, number in reader.taken_as(chosen.ids)}
    for reader, names, chosen in zip(readers, runs, wanted):
        numbers = {run: source for source, run in enumerate(names)}
        here = {(numbers[run], number) for run, number in rpcs if run in numbers} if chosen.ids else None
        for record in reader.records(chosen, here):
            yield record._replace(source=names[record.source])
