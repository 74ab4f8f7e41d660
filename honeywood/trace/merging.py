"""Merges traces of several fronts, or of several files of one, into one file in one order of time."""

from honeywood.trace.cutting import write_all
from honeywood.trace.reader import Reader
from honeywood.trace.rules.ordering import Union, merged
from honeywood.trace.rules.selection import Wanted
from honeywood.trace.rules.skew import SHARED, Events, Skew, estimate
from honeywood.trace.schema import Record
from honeywood.trace.sources import name, sources


class UnknownSkew(Exception):
    """The clocks of these runs can't be compared; the text names them."""


class Run:
    """One front's run, in one file or several: what the header says of it, and (reader, number of the source
    in that file) of each part."""

    def __init__(self, about):
        self.about, self.parts, self.skew, self.union = about, [], Skew(), None

    def records(self, kinds=()):
        self.union = Union([self.part(*part, kinds) for part in self.parts])
        return iter(self.union)

    @staticmethod
    def part(reader, number, kinds):
        wanted = Wanted(kinds=kinds)
        for entry, columns in reader.blocks(wanted):
            if number in entry.sources:
                for record in columns.records(set(kinds) or None):
                    if record.source == number:
                        yield record

    def mended(self):
        """(time on the first run's clock, record) of its records."""
        for record in self.records():
            yield self.skew.mended(record.time), record

    def events(self):
        found = Events()
        for record in self.records(SHARED):
            found.add(record)
        return found


class Merge:
    """Of files at `paths`. `same` names files that are the same one twice and are left out. `given`: seconds
    to be added to a front's times, by its name, instead of an estimate."""

    def __init__(self, paths, skip=False, given=None):
        self.readers, self.same, seeds = [], [], {}
        for path in paths:
            reader = Reader(path, skip)
            if reader.seed in seeds:
                self.same.append(path)
                reader.file.close()
                continue
            seeds[reader.seed] = path
            self.readers.append(reader)
        self.runs = {}
        for reader in self.readers:
            for number, source in enumerate(sources(reader.about)):
                key = source.get("run", f"{reader.seed}/{number}")
                self.runs.setdefault(key, Run(source)).parts.append((reader, number))
        self.given = given or {}

    def __enter__(self):
        return self

    def __exit__(self, *_):
        for reader in self.readers:
            reader.file.close()

    def estimate(self):
        """Sets the skew of each run against the first; raises UnknownSkew."""
        runs = list(self.runs.values())
        events = None
        unknown = []
        for run in runs:
            front = run.about.get("front")
            if front in self.given:
                run.skew = Skew(offset=self.given[front] * 10_000)
            elif run is not runs[0]:
                events = events or runs[0].events()
                run.skew = estimate(events, run.events())
                if run.skew is None:
                    unknown.append(name(run.about))
        if unknown:
            raise UnknownSkew(
                f"the clock of {', '.join(unknown)} can't be compared with "
                f"{name(runs[0].about)}'s: too little was told to both; "
                "name it, --skew FRONT=SECONDS"
            )

    def about(self):
        return {"sources": [{**run.about, "shift": run.skew.plain()} for run in self.runs.values()]}

    def records(self):
        for time, place, record in merged([run.mended() for run in self.runs.values()]):
            yield Record(time, place, record.kind, record.values)

    def write(self, writer, progress):
        count = write_all(writer, self.records(), progress)
        writer.close()
        return count

    def twice(self):
        """Records that stood in two files and were taken once, so far."""
        return sum(run.union.twice for run in self.runs.values() if run.union)
