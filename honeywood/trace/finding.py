"""Finds records in several files; the records of an RPC may be spread over the files of one run."""

from honeywood.trace.sources import sources


def find_records(readers, record_filters):
    """Yield matching records, file by file; `record_filters` has a selection.RecordFilter for each reader.

    A record's source is replaced by the name of its run, or by "FILE/SOURCE" (their indexes) where the header
    names no run.
    """
    runs = [
        [
            str(source.get("run", f"{file_index}/{number}"))
            for number, source in enumerate(sources(reader.metadata))
        ]
        for file_index, reader in enumerate(readers)
    ]
    rpcs = set()
    for reader, run_names, record_filter in zip(readers, runs, record_filters):
        if record_filter.ids:
            rpcs |= {
                (run_names[source], number) for source, number in reader.rpcs_with_ids(record_filter.ids)
            }
    for reader, run_names, record_filter in zip(readers, runs, record_filters):
        sources_by_run = {run: source for source, run in enumerate(run_names)}
        rpcs_of_file = (
            {(sources_by_run[run], number) for run, number in rpcs if run in sources_by_run}
            if record_filter.ids
            else None
        )
        for record in reader.records(record_filter, rpcs_of_file):
            yield record._replace(source=run_names[record.source])
