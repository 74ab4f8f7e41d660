"""The `honeywood trace` commands.

Exit codes: 0 done; 1 done, with problems found (verify) or differences (replay); 2 unusable arguments or
unreadable files; 3 clocks that can't be compared.
"""
import json
import os
import shutil
import sys
import tempfile
from contextlib import ExitStack, contextmanager
from datetime import UTC, datetime

import click

from honeywood.trace.reader import Reader
from honeywood.trace.rules.selection import RecordFilter
from honeywood.trace.schema import InvalidRecord, UnreadableTrace
from honeywood.trace.writer import Writer, create

EXIT_PROBLEMS_FOUND, EXIT_UNUSABLE, EXIT_UNKNOWN_SKEW = 1, 2, 3
SECOND = 10_000                # in tenths of a ms


class Group(click.Group):
    def invoke(self, ctx):
        """Reports expected errors, such as unreadable files, in one line."""
        try:
            return super().invoke(ctx)
        except (UnreadableTrace, InvalidRecord, OSError, ValueError) as error:
            click.echo(f"honeywood: {error}", err=True)
            ctx.exit(EXIT_UNUSABLE)


@click.group("trace", cls=Group)
def command():
    """Reads, cuts, merges and explains traces. `-` stands for standard input or output.

    Exit codes: 0 done; 1 problems or differences found (verify, replay); 2 a file or an argument that can't
    be used; 3 clocks that can't be compared (merge).
    """


class Time(click.ParamType):
    """A time as ISO 8601 (UTC without a zone), in seconds since 1970, or +SECONDS from the first record."""
    name = "time"

    def convert(self, value, param, ctx):
        try:
            if value.startswith("+"):
                return "+", round(float(value) * SECOND)
            try:
                return "", round(float(value) * SECOND)
            except ValueError:
                moment = datetime.fromisoformat(value)
                return "", round((moment if moment.tzinfo
                                  else moment.replace(tzinfo=UTC)).timestamp() * SECOND)
        except ValueError:
            self.fail(f"{value!r} is not a time such as 2026-12-05T10:00:00, 1764928800 or +60", param, ctx)


def clock(tenths):
    moment = datetime.fromtimestamp(tenths / SECOND, UTC)
    return moment.isoformat(timespec="milliseconds").replace("+00:00", "Z")


@contextmanager
def open_reader(path, skip=False):
    """A Reader; standard input is copied to a file first, since the index is at the end of a trace."""
    with ExitStack() as stack:
        if path == "-":
            file = stack.enter_context(tempfile.NamedTemporaryFile())
            shutil.copyfileobj(sys.stdin.buffer, file)
            file.flush()
            path = file.name
        reader = stack.enter_context(Reader(path, skip))
        yield reader
        if reader.unknown_records:
            click.echo(f"skipped {reader.unknown_records} records of kinds unknown to this version", err=True)
        for text in reader.damage:
            click.echo(f"skipped: {text}", err=True)


def open_writer(path, metadata):
    """A Writer; an existing file is never overwritten."""
    if path != "-":
        return create(path, metadata)
    return Writer(open(sys.stdout.fileno(), "wb", buffering=0, closefd=False), metadata)


@contextmanager
def progress(description, total):
    """A function to call with the amount done; shows a progress bar if standard error is a terminal."""
    if not sys.stderr.isatty():
        yield lambda amount: None
        return
    from rich.console import Console
    from rich.progress import Progress
    with Progress(console=Console(stderr=True)) as progress_bar:
        task = progress_bar.add_task(description, total=total)
        yield lambda amount: progress_bar.advance(task, amount)


def count_records(reader):
    return sum(entry.count for _, _, entry in reader.entries())


def resolve_times(reader, *times):
    """The times in tenths of a ms since 1970; those with + are relative to the first record."""
    if any(time and time[0] == "+" for time in times):
        first = min((entry.first for _, _, entry in reader.entries()), default=0)
    return [time and (time[1] + first if time[0] == "+" else time[1]) for time in times]


def filter_options(command):
    """Adds the options that select records."""
    for name, description in (("--rpc", "Only RPCs with this id, which the client set."),
                              ("--kind", "Only records of this kind."),
                              ("--server", "Only records with this server."),
                              ("--method", "Only records with this method.")):
        command = click.option(name, multiple=True, help=description)(command)
    command = click.option("--build", multiple=True, type=int, help="Only records with this build.")(command)
    command = click.option("--to", "until", type=Time(), help="Before this time.")(command)
    return click.option("--from", "since", type=Time(), help="From this time on.")(command)


def build_filter(reader, since, until, method, server, build, rpc, kind):
    from honeywood.trace.schema import KINDS
    kind_numbers = {known.name: number for number, known in KINDS.items()}
    for name in kind:
        if name not in kind_numbers:
            raise click.UsageError(f"--kind: {name!r} is not one of {', '.join(kind_numbers)}")
    return RecordFilter(*resolve_times(reader, since, until), method, server, build,
                        [kind_numbers[name] for name in kind], rpc)


skip_option = click.option("--skip-damaged", "skip", is_flag=True,
                           help="Skip damaged blocks, and list them.")


@command.command()
@click.option("--records", type=click.IntRange(1), default=100_000, show_default=True)
@click.option("--seed", type=int, default=1, show_default=True)
@click.argument("out")
def sample(records, seed, out):
    """Writes a synthetic hour of traffic, to test the tools."""
    from honeywood.trace import sample as generator
    with progress("sample", records) as advance:
        generator.write(open_writer(out, generator.metadata(seed)), records, seed, advance)


@command.command()
@filter_options
@skip_option
@click.option("-o", "--out", default="-", show_default=True)
@click.argument("path")
def cut(path, out, skip, **filter_arguments):
    """Cuts a part out of a trace."""
    from honeywood.trace import cutting
    with open_reader(path, skip) as reader:
        record_filter = build_filter(reader, **filter_arguments)
        with progress("cut", reader.size if record_filter.selects_by_time_only()
                      else count_records(reader)) as advance:
            cutting.cut(reader, open_writer(out, cutting.metadata_of(reader)), record_filter, advance)


@command.command()
@click.option("--skew", multiple=True, metavar="FRONT=SECONDS",
              help="Add this to a front's times instead of an estimate.")
@skip_option
@click.option("-o", "--out", required=True)
@click.argument("paths", nargs=-1, required=True)
def merge(paths, out, skip, skew):
    """Merges traces of several fronts, whose clocks may differ, or of several files of one."""
    from honeywood.trace.merging import Merge, UnknownSkew
    from honeywood.trace.sources import name
    given_offsets = {}
    for text in skew:
        front, _, seconds = text.rpartition("=")
        try:
            given_offsets[front] = float(seconds)
        except ValueError:
            raise click.UsageError(f"--skew: {text!r} is not FRONT=SECONDS") from None
    with Merge(paths, skip, given_offsets) as merging:
        for path in merging.duplicate_paths:
            click.echo(f"{path}: the same file again, left out", err=True)
        try:
            merging.estimate()
        except UnknownSkew as error:
            click.echo(f"honeywood: {error}", err=True)
            raise SystemExit(EXIT_UNKNOWN_SKEW) from None
        for run in merging.runs.values():
            estimate = run.skew
            click.echo(f"{name(run.metadata)}: {estimate.offset / SECOND:+.4f} s, "
                       f"{estimate.rate * 1e6:+.1f} ppm, "
                       f"within {estimate.uncertainty / SECOND:.4f} s, by {estimate.pairs} events", err=True)
        with progress("merge", sum(map(count_records, merging.readers))) as advance:
            count = merging.write(open_writer(out, merging.metadata()), advance)
        click.echo(f"{count} records of {len(merging.runs)} runs; {merging.duplicates()} were in two files "
                   "and merged once", err=True)


@command.command()
@click.option("--key", required=True, type=click.Path(),
              help="The file with the key; only its owner may read it.")
@click.option("--make-key", "make", is_flag=True, help="Make a new key in that file first.")
@click.option("--customer", required=True, help="The carrier whose RPCs are exported.")
@click.option("-o", "--out", required=True)
@click.argument("path")
def anonymise(path, out, customer, key, make):
    """Exports what one carrier may be given: its own RPCs, with keyed hashes in place of names."""
    from honeywood.trace import exporting
    if make:
        exporting.make_key(key)
    master = exporting.read_key(key)
    with open_reader(path) as reader, progress("anonymise", count_records(reader)) as advance:
        count, export = exporting.export(reader, lambda metadata: open_writer(out, metadata), customer,
                                         master, advance)
    click.echo(f"{len(export.rpc_numbers)} RPCs in {count} records; {export.rpcs_without_customer} RPCs "
               "named no customer and are in no export", err=True)


@command.command()
@skip_option
@click.option("--json", "plain", is_flag=True, help="Print JSON.")
@click.argument("path")
def summary(path, skip, plain):
    """Summarizes a trace: answers, latencies, picks, votes."""
    from honeywood.trace.rules.summing import Summary
    found = Summary()
    with open_reader(path, skip) as reader, progress("summary", count_records(reader)) as advance:
        for entry, columns in reader.blocks():
            found.add(entry, columns)
            advance(entry.count)
    result = found.plain()
    if plain:
        return click.echo(json.dumps(result, indent=1))
    return show_summary(result)


def show_summary(result):
    from rich.console import Console
    from rich.table import Table
    console = Console(highlight=False, width=None if sys.stdout.isatty() else 110)
    if not result["records"]:
        return console.print("no records")
    console.print(f"{result['records']} records, {clock(result['first'])} to {clock(result['last'])}: "
                  + ", ".join(f"{count} {kind}" for kind, count in result["kinds"].items()))
    counts = "taken", "ok", "pushed back", "aborted"
    table = Table("method", *counts, "p50 ms", "p95", "p99", "p99.9")
    for method, row in result["methods"].items():
        quantiles = [str(value) for value in row["latency_ms"].values()] or ["-"] * 4
        table.add_row(method, *(str(row[name]) for name in counts), *quantiles)
    console.print(table)
    for title, name in (("given up since", "given_up_since"), ("servers passed over", "servers_passed_over"),
                        ("picks by build", "picks_by_build")):
        if result[name]:
            console.print(f"{title}: " + ", ".join(f"{count} {word}" for word, count in result[name].items()))
    for build, row in result["results_by_build"].items():
        console.print(f"build {build}: " + ", ".join(f"{count} {word}" for word, count in row.items()))
    for moment, build, step, standing, cap in result["news"]:
        console.print(f"{clock(moment)} build {build} {standing}, step {step}, cap {cap:g}")
    for moment, build, step, verdict, lowest in result["votes"]:
        why = f", least p {lowest[0]:.4g}: {lowest[1]}, {lowest[2]:.0f} of {lowest[3]:.0f}" if lowest else ""
        console.print(f"{clock(moment)} vote {verdict} on build {build}, step {step}{why}")
    if result["dropped"]["records"]:
        console.print(f"NOT RECORDED: {result['dropped']['records']} records, "
                      f"{result['dropped']['rpcs']} RPCs")
    return None


@command.command()
@filter_options
@skip_option
@click.option("--json", "plain", is_flag=True, help="Print JSON, one line per record.")
@click.argument("paths", nargs=-1, required=True)
def show(paths, skip, plain, **filter_arguments):
    """Shows records; with --rpc the history of an RPC with the reasons, also across several files."""
    from honeywood.trace.finding import find_records
    from honeywood.trace.rules.rpc_history import collect_histories, describe
    with ExitStack() as stack:
        readers = [stack.enter_context(open_reader(path, skip)) for path in paths]
        found = find_records(readers, [build_filter(reader, **filter_arguments) for reader in readers])
        if not filter_arguments["rpc"] or plain:
            for record in found:
                show_record(record, plain)
            return
        found = sorted(found, key=lambda record: record.time)  # the files may be given in any order
        lines = [line for history in collect_histories(found).values()
                 for line in (*describe(history, clock), "")]
        click.echo("\n".join(lines[:-1]) if lines else "no such RPC")


def show_record(record, plain):
    from honeywood.trace.schema import KINDS
    kind = KINDS[record.kind]
    fields = dict(zip(kind.positions, record.values))
    prefix = {"at": clock(record.time), "source": record.source, "kind": kind.name}
    click.echo(json.dumps({**prefix, **fields}) if plain else " ".join((
        prefix["at"], str(record.source), kind.name, *(f"{name}={value}" for name, value in fields.items()))))


@command.command()
@click.option("--json", "plain", is_flag=True)
@click.option("--skip-damaged", "skip", is_flag=True)
@click.argument("paths", nargs=-1, required=True)
def replay(paths, plain, skip):
    """Replays a front's inputs through the current decision code; exits with 1 if the decisions differ."""
    from honeywood.trace.merging import Merge
    from honeywood.trace.replay import replay as replay_run
    from honeywood.trace.sources import name
    differs, results = False, {}
    with Merge(paths, skip) as merging:
        for run in merging.runs.values():
            with progress(f"replay {name(run.metadata)}",
                          sum(map(count_records, merging.readers))) as advance:
                result = results[name(run.metadata)] = replay_run(run, advance)
            differs = differs or bool(result["differ"])
    if plain:
        click.echo(json.dumps(results, indent=1))
    else:
        for run, result in results.items():
            click.echo(f"{run}: {result['inputs']} inputs; " + ", ".join(
                f"{what}: {result['same'].get(what, 0)} same, {result['differ'].get(what, 0)} different"
                for what in ("pick", "answer", "vote")))
            if not result["exact"]:
                click.echo("  not exact: " + ("the trace does not begin with the run" if not
                           result["from_its_start"] else
                           f"{result['records_dropped']} records were not recorded"))
            for text in result["told"]:
                click.echo(f"  {text}")
    raise SystemExit(EXIT_PROBLEMS_FOUND if differs else 0)


@command.command()
@click.argument("paths", nargs=-1, required=True)
def verify(paths):
    """Verifies every checksum and reads every record; exits with 1 if a file is damaged or the records of an
    RPC are inconsistent."""
    from honeywood.trace.verifying import verify as verify_file
    bad = False
    for path in paths:
        with open_reader(path, skip=True) as reader, progress("verify", reader.size) as advance:
            found = verify_file(reader, advance)
        bad = bad or bool(found["wrong"])
        click.echo(f"{path}: {found['records']} records in {found['blocks']} blocks, index {found['index']}"
                   + (f", torn tail of {found['torn']} bytes cut off" if found["torn"] else ""))
        for text in found["wrong"]:
            click.echo(f"  {text}")
    raise SystemExit(EXIT_PROBLEMS_FOUND if bad else 0)


@command.command()
@click.argument("path")
def index(path):
    """Rebuilds the index of a trace: cuts off a torn tail and appends a new index."""
    from honeywood.trace.verifying import rebuild
    click.echo(f"{path}: {rebuild(path)}")


@command.command()
@click.option("-o", "--out", required=True, help="A file; its suffix sets the format (png, svg, pdf).")
@click.argument("path")
def plot(path, out):
    """Draws rates, outcomes, latencies, release steps and votes over time."""
    from honeywood.trace import plot as trace_plot
    with open_reader(path) as reader:
        trace_plot.plot(reader, sys.stdout.buffer if out == "-" else out, os.path.basename(path))
