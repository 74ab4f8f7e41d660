"""`honeywood trace ...`. Exit codes: 0 done; 1 done, and something was found that must not be (verify,
replay); 2 can't be used or read; 3 clocks that can't be compared."""
import json
import os
import shutil
import sys
import tempfile
from contextlib import ExitStack, contextmanager
from datetime import UTC, datetime

import click

from honeywood.trace.reader import Reader
from honeywood.trace.rules.selection import Wanted
from honeywood.trace.schema import Unfit, Unreadable
from honeywood.trace.writer import Writer, create

FOUND, UNUSABLE, UNKNOWN_SKEW = 1, 2, 3
UNITS = 10_000                 # tenths of a ms in a second


class Group(click.Group):
    def invoke(self, ctx):
        """What can't be read ends with one line."""
        try:
            return super().invoke(ctx)
        except (Unreadable, Unfit, OSError, ValueError) as wrong:
            click.echo(f"honeywood: {wrong}", err=True)
            ctx.exit(UNUSABLE)


@click.group("trace", cls=Group)
def command():
    """Reads, cuts, merges and explains traces. `-` stands for standard input or output.

    Exit codes: 0 done; 1 something was found that must not be (verify, replay); 2 a file or a word that can't
    be used; 3 clocks that can't be compared (merge).
    """


class Time(click.ParamType):
    """A time as ISO 8601 (UTC without a zone), in seconds since 1970, or +SECONDS from the first record."""
    name = "time"

    def convert(self, value, param, ctx):
        try:
            if value.startswith("+"):
                return "+", round(float(value) * UNITS)
            try:
                return "", round(float(value) * UNITS)
            except ValueError:
                at = datetime.fromisoformat(value)
                return "", round((at if at.tzinfo else at.replace(tzinfo=UTC)).timestamp() * UNITS)
        except ValueError:
            self.fail(f"{value!r} is no time such as 2026-12-05T10:00:00, 1764928800 or +60", param, ctx)


def clock(tenths):
    at = datetime.fromtimestamp(tenths / UNITS, UTC)
    return at.isoformat(timespec="milliseconds").replace("+00:00", "Z")


@contextmanager
def reading(path, skip=False):
    """A Reader; standard input is brought to a file first, since the index stands at a trace's end."""
    with ExitStack() as stack:
        if path == "-":
            file = stack.enter_context(tempfile.NamedTemporaryFile())
            shutil.copyfileobj(sys.stdin.buffer, file)
            file.flush()
            path = file.name
        reader = stack.enter_context(Reader(path, skip))
        yield reader
        if reader.passed:
            click.echo(f"passed over {reader.passed} records of kinds that a newer version writes", err=True)
        for text in reader.damage:
            click.echo(f"skipped: {text}", err=True)


def writing(path, about):
    """A Writer; a file that is there already is never written over."""
    if path != "-":
        return create(path, about)
    return Writer(open(sys.stdout.fileno(), "wb", buffering=0, closefd=False), about)


@contextmanager
def progress(words, total):
    """Calls with how much was done, shown as a bar where somebody looks."""
    if not sys.stderr.isatty():
        yield lambda done: None
        return
    from rich.console import Console
    from rich.progress import Progress
    with Progress(console=Console(stderr=True)) as bars:
        bar = bars.add_task(words, total=total)
        yield lambda done: bars.advance(bar, done)


def in_all(reader):
    return sum(entry.count for _, _, entry in reader.entries())


def bounds(reader, *times):
    """Times as they were given, those with + counted from the first record."""
    if any(time and time[0] == "+" for time in times):
        first = min((entry.first for _, _, entry in reader.entries()), default=0)
    return [time and (time[1] + first if time[0] == "+" else time[1]) for time in times]


def choices(command):
    """The options by which records are chosen."""
    for name, words in (("--rpc", "Only the RPCs that clients named so."),
                        ("--kind", "Only records of this kind."),
                        ("--server", "Only what names this server."),
                        ("--method", "Only what is of this method.")):
        command = click.option(name, multiple=True, help=words)(command)
    command = click.option("--build", multiple=True, type=int, help="Only what names this build.")(command)
    command = click.option("--to", "until", type=Time(), help="Before this time.")(command)
    return click.option("--from", "since", type=Time(), help="From this time on.")(command)


def chosen(reader, since, until, method, server, build, rpc, kind):
    from honeywood.trace.schema import KINDS
    numbers = {known.name: number for number, known in KINDS.items()}
    for name in kind:
        if name not in numbers:
            raise click.UsageError(f"--kind: {name!r} is not one of {', '.join(numbers)}")
    return Wanted(*bounds(reader, since, until), method, server, build, [numbers[name] for name in kind], rpc)


skipping = click.option("--skip-damaged", "skip", is_flag=True,
                        help="Go on behind damaged blocks, and say which.")


@command.command()
@click.option("--records", type=click.IntRange(1), default=100_000, show_default=True)
@click.option("--seed", type=int, default=1, show_default=True)
@click.argument("out")
def sample(records, seed, out):
    """Writes a synthetic hour of traffic, to try the tools on."""
    from honeywood.trace import sample as made
    with progress("sample", records) as done:
        made.write(writing(out, made.about(seed)), records, seed, done)


@command.command()
@choices
@skipping
@click.option("-o", "--out", default="-", show_default=True)
@click.argument("path")
def cut(path, out, skip, **given):
    """Cuts a part out of a trace."""
    from honeywood.trace import cutting
    with reading(path, skip) as reader:
        wanted = chosen(reader, **given)
        with progress("cut", reader.size if wanted.only_times() else in_all(reader)) as done:
            cutting.cut(reader, writing(out, cutting.about_of(reader)), wanted, done)


@command.command()
@click.option("--skew", multiple=True, metavar="FRONT=SECONDS",
              help="Add so much to a front's times, and do not estimate it.")
@skipping
@click.option("-o", "--out", required=True)
@click.argument("paths", nargs=-1, required=True)
def merge(paths, out, skip, skew):
    """Merges traces of several fronts, whose clocks may differ, or of several files of one."""
    from honeywood.trace.merging import Merge, UnknownSkew
    from honeywood.trace.sources import name
    given = {}
    for text in skew:
        front, _, seconds = text.rpartition("=")
        try:
            given[front] = float(seconds)
        except ValueError:
            raise click.UsageError(f"--skew: {text!r} is not FRONT=SECONDS") from None
    with Merge(paths, skip, given) as merging:
        for path in merging.same:
            click.echo(f"{path}: the same file again, left out", err=True)
        try:
            merging.estimate()
        except UnknownSkew as wrong:
            click.echo(f"honeywood: {wrong}", err=True)
            raise SystemExit(UNKNOWN_SKEW) from None
        for run in merging.runs.values():
            shift = run.skew
            click.echo(f"{name(run.about)}: {shift.offset / UNITS:+.4f} s, {shift.rate * 1e6:+.1f} ppm, "
                       f"within {shift.unsure / UNITS:.4f} s, by {shift.pairs} events", err=True)
        with progress("merge", sum(map(in_all, merging.readers))) as done:
            count = merging.write(writing(out, merging.about()), done)
        click.echo(f"{count} records of {len(merging.runs)} runs; {merging.twice()} stood in two files "
                   "and were taken once", err=True)


@command.command()
@click.option("--key", required=True, type=click.Path(),
              help="The file with the key; only its owner may read it.")
@click.option("--make-key", "make", is_flag=True, help="Make a new key in that file first.")
@click.option("--customer", required=True, help="The carrier whose RPCs are exported.")
@click.option("-o", "--out", required=True)
@click.argument("path")
def anonymise(path, out, customer, key, make):
    """Writes what one carrier may be given: its own RPCs, with keyed hashes in place of names."""
    from honeywood.trace import exporting
    if make:
        exporting.make_key(key)
    master = exporting.read_key(key)
    with reading(path) as reader, progress("anonymise", in_all(reader)) as done:
        count, rules = exporting.export(reader, lambda about: writing(out, about), customer, master, done)
    click.echo(f"{len(rules.numbers)} RPCs in {count} records; {rules.torn} RPCs named no customer and are "
               "in no export", err=True)


@command.command()
@skipping
@click.option("--json", "plain", is_flag=True, help="For a program to read.")
@click.argument("path")
def summary(path, skip, plain):
    """What a trace holds: answers, latencies, picks, votes."""
    from honeywood.trace.rules.summing import Summary
    found = Summary()
    with reading(path, skip) as reader, progress("summary", in_all(reader)) as done:
        for entry, columns in reader.blocks():
            found.add(entry, columns)
            done(entry.count)
    got = found.plain()
    if plain:
        return click.echo(json.dumps(got, indent=1))
    return show_summary(got)


def show_summary(got):
    from rich.console import Console
    from rich.table import Table
    console = Console(highlight=False, width=None if sys.stdout.isatty() else 110)
    if not got["records"]:
        return console.print("no records")
    console.print(f"{got['records']} records, {clock(got['first'])} to {clock(got['last'])}: "
                  + ", ".join(f"{count} {kind}" for kind, count in got["kinds"].items()))
    counts = "taken", "ok", "pushed back", "aborted"
    table = Table("method", *counts, "p50 ms", "p95", "p99", "p99.9")
    for method, row in got["methods"].items():
        quantiles = [str(value) for value in row["latency_ms"].values()] or ["-"] * 4
        table.add_row(method, *(str(row[name]) for name in counts), *quantiles)
    console.print(table)
    for title, name in (("given up since", "given_up_since"), ("servers passed over", "servers_passed_over"),
                        ("picks by build", "picks_by_build")):
        if got[name]:
            console.print(f"{title}: " + ", ".join(f"{count} {word}" for word, count in got[name].items()))
    for build, row in got["results_by_build"].items():
        console.print(f"build {build}: " + ", ".join(f"{count} {word}" for word, count in row.items()))
    for at, build, step, standing, cap in got["news"]:
        console.print(f"{clock(at)} build {build} {standing}, step {step}, cap {cap:g}")
    for at, build, step, verdict, least in got["votes"]:
        why = f", least p {least[0]:.4g}: {least[1]}, {least[2]:.0f} of {least[3]:.0f}" if least else ""
        console.print(f"{clock(at)} vote {verdict} on build {build}, step {step}{why}")
    if got["dropped"]["records"]:
        console.print(f"NOT RECORDED: {got['dropped']['records']} records, {got['dropped']['rpcs']} RPCs")
    return None


@command.command()
@choices
@skipping
@click.option("--json", "plain", is_flag=True, help="For a program to read: a line a record.")
@click.argument("paths", nargs=-1, required=True)
def show(paths, skip, plain, **given):
    """Shows records; with --rpc the life of an RPC and the why, also where it spans several files."""
    from honeywood.trace.finding import found_in
    from honeywood.trace.rules.lives import lives, told
    with ExitStack() as stack:
        readers = [stack.enter_context(reading(path, skip)) for path in paths]
        found = found_in(readers, [chosen(reader, **given) for reader in readers])
        if not given["rpc"] or plain:
            for record in found:
                show_record(record, plain)
            return
        found = sorted(found, key=lambda record: record.time)  # files may be named in any order
        said = [line for life in lives(found).values() for line in (*told(life, clock), "")]
        click.echo("\n".join(said[:-1]) if said else "no such RPC")


def show_record(record, plain):
    from honeywood.trace.schema import KINDS
    kind = KINDS[record.kind]
    got = dict(zip(kind.at, record.values))
    head = {"at": clock(record.time), "source": record.source, "kind": kind.name}
    click.echo(json.dumps({**head, **got}) if plain else " ".join((
        head["at"], str(record.source), kind.name, *(f"{name}={value}" for name, value in got.items()))))


@command.command()
@click.option("--json", "plain", is_flag=True)
@click.option("--skip-damaged", "skip", is_flag=True)
@click.argument("paths", nargs=-1, required=True)
def replay(paths, plain, skip):
    """Plays what a front was told into the decisions of today; ends with 1 where they differ."""
    from honeywood.trace.merging import Merge
    from honeywood.trace.replay import replay as played
    from honeywood.trace.sources import name
    differs, said = False, {}
    with Merge(paths, skip) as merging:
        for run in merging.runs.values():
            with progress(f"replay {name(run.about)}", sum(map(in_all, merging.readers))) as done:
                got = said[name(run.about)] = played(run, done)
            differs = differs or bool(got["differ"])
    if plain:
        click.echo(json.dumps(said, indent=1))
    else:
        for run, got in said.items():
            click.echo(f"{run}: {got['inputs']} inputs; " + ", ".join(
                f"{what}: {got['same'].get(what, 0)} as then, {got['differ'].get(what, 0)} otherwise"
                for what in ("pick", "answer", "vote")))
            if not got["exact"]:
                click.echo("  not exact: " + ("the trace begins in the middle of the run" if not
                           got["from_its_start"] else f"{got['records_dropped']} records were not recorded"))
            for text in got["told"]:
                click.echo(f"  {text}")
    raise SystemExit(FOUND if differs else 0)


@command.command()
@click.argument("paths", nargs=-1, required=True)
def verify(paths):
    """Looks at every sum and reads every record; ends with 1 where a file is damaged or an RPC's life is
    wrong."""
    from honeywood.trace.verifying import verify as verified
    bad = False
    for path in paths:
        with reading(path, skip=True) as reader, progress("verify", reader.size) as done:
            found = verified(reader, done)
        bad = bad or bool(found["wrong"])
        click.echo(f"{path}: {found['records']} records in {found['blocks']} blocks, index {found['index']}"
                   + (f", torn tail of {found['torn']} bytes cut off" if found["torn"] else ""))
        for text in found["wrong"]:
            click.echo(f"  {text}")
    raise SystemExit(FOUND if bad else 0)


@command.command()
@click.argument("path")
def index(path):
    """Gives a trace that lacks its index a new one: cuts a torn tail off and writes the index behind."""
    from honeywood.trace.verifying import rebuild
    click.echo(f"{path}: {rebuild(path)}")


@command.command()
@click.option("-o", "--out", required=True, help="A file; its ending says which kind (png, svg, pdf).")
@click.argument("path")
def plot(path, out):
    """Draws rates, outcomes, latencies, the step and the votes over time."""
    from honeywood.trace import plot as drawing
    with reading(path) as reader:
        drawing.plot(reader, sys.stdout.buffer if out == "-" else out, os.path.basename(path))
