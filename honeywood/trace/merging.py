"""Merges the traces of several balancers, or several files of one, into one file in order of time."""

from honeywood.trace.cutting import write_all
from honeywood.trace.reader import Reader
from honeywood.trace.rules.ordering import DeduplicatedRun, merge_streams
from honeywood.trace.rules.selection import RecordFilter
from honeywood.trace.rules.skew import SHARED_FIELDS, Events, Skew, estimate
from honeywood.trace.schema import Record
from honeywood.trace.sources import name, sources


class UnknownSkew(Exception):
    """The clocks of the runs that the message names can't be compared."""


class Run:
    """One run of a balancer, in one file or several.

    `metadata` is its map in the header; `parts` are (reader, index of the source in its file).
    """

    def __init__(self, metadata):
        self.metadata, self.parts, self.skew, self.deduplicated = metadata, [], Skew(), None

    def records(self, kinds=()):
        self.deduplicated = DeduplicatedRun([self.part_records(*part, kinds) for part in self.parts])
        return iter(self.deduplicated)

    @staticmethod
    def part_records(reader, number, kinds):
        record_filter = RecordFilter(kinds=kinds)
        for entry, columns in reader.blocks(record_filter):
            if number in entry.sources:
                for record in columns.records(set(kinds) or None):
                    if record.source == number:
                        yield record

    def corrected(self):
        """Yield (time on the first run's clock, record) of its records."""
        for record in self.records():
            yield self.skew.corrected(record.time), record

    def events(self):
        found = Events()
        for record in self.records(SHARED_FIELDS):
            found.add(record)
        return found


class Merge:
    """The merge of the files at `paths`.

    `duplicate_paths` are skipped: they name the same file again. `given_offsets` maps a balancer's name to
    the seconds that are added to its times instead of an estimate.
    """

    def __init__(self, paths, skip=False, given_offsets=None):
        self.readers, self.duplicate_paths, seeds = [], [], {}
        for path in paths:
            reader = Reader(path, skip)
            if reader.seed in seeds:
                self.duplicate_paths.append(path)
                reader.file.close()
                continue
            seeds[reader.seed] = path
            self.readers.append(reader)
        self.runs = {}
        for reader in self.readers:
            for number, source in enumerate(sources(reader.metadata)):
                key = source.get("run", f"{reader.seed}/{number}")
                self.runs.setdefault(key, Run(source)).parts.append((reader, number))
        self.given_offsets = given_offsets or {}

    def __enter__(self):
        return self

    def __exit__(self, *_):
        for reader in self.readers:
            reader.file.close()

    def estimate(self):
        """Estimate the clock skew of each run against the first; raises UnknownSkew."""
        runs = list(self.runs.values())
        events = None
        unknown_runs = []
        for run in runs:
            balancer_name = run.metadata.get("front")
            if balancer_name in self.given_offsets:
                run.skew = Skew(offset=self.given_offsets[balancer_name] * 10_000)
            elif run is not runs[0]:
                events = events or runs[0].events()
                run.skew = estimate(events, run.events())
                if run.skew is None:
                    unknown_runs.append(name(run.metadata))
        if unknown_runs:
            raise UnknownSkew(
                f"the clock of {', '.join(unknown_runs)} can't be compared with "
                f"{name(runs[0].metadata)}'s: too few events reached both; "
                "set it with --skew FRONT=SECONDS"
            )

    def metadata(self):
        return {"sources": [{**run.metadata, "shift": run.skew.plain()} for run in self.runs.values()]}

    def records(self):
        for time, source, record in merge_streams([run.corrected() for run in self.runs.values()]):
            yield Record(time, source, record.kind, record.values)

    def write(self, writer, progress):
        count = write_all(writer, self.records(), progress)
        writer.close()
        return count

    def duplicates(self):
        """Return how many duplicate records of several files were dropped so far."""
        return sum(run.deduplicated.duplicates for run in self.runs.values() if run.deduplicated)
