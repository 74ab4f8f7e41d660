"""`honeywood lab ...`: experiments with real programs and stub peers on loopback, and the emulator."""

import json
import tempfile

import click

from honeywood.cli.extras import require


@click.group("lab")
def command():
    """Experiments: real programs with stub peers on loopback, and the emulator."""


@command.command()
@click.option("--folder", type=click.Path(), help="Folder for the trace and the log; by default a new one.")
@click.option("--seconds", type=float, default=14, show_default=True)
@click.option(
    "--failing", type=float, default=0.0, show_default=True, help="Share of RPCs that the new build fails."
)
def demo(folder, seconds, failing):
    """Record one balancer during a release, then show what its trace contains."""
    import sys

    require("operator", "trace-tools")
    from honeywood.cli.trace import command as trace
    from honeywood.lab.demo import demo as run_demo
    from honeywood.standins.release import customer_of_client

    folder = folder or tempfile.mkdtemp(prefix="honeywood-")
    paths, _ = run_demo(folder, seconds, failing, click.echo)
    key, cut_path, customer = f"{folder}/key", f"{folder}/middle.trace", customer_of_client(1)
    for arguments in (
        ["verify", *paths],
        ["summary", paths[0]],
        ["show", "--rpc", "c1-9", *paths],
        ["replay", *paths],
        ["cut", "--from", "+2", "--to", "+6", "-o", cut_path, paths[0]],
        ["merge", "-o", f"{folder}/merged.trace", cut_path, *paths],
        ["index", cut_path],
        [
            "anonymise",
            "--key",
            key,
            "--make-key",
            "--customer",
            customer,
            "-o",
            f"{folder}/{customer}.trace",
            paths[0],
        ],
        ["plot", "-o", f"{folder}/demo.png", paths[0]],
    ):
        click.echo(f"\n$ honeywood trace {' '.join(arguments)}")
        try:
            trace.main(arguments, prog_name="honeywood trace", standalone_mode=False)
        except SystemExit as exit_request:
            if exit_request.code:
                sys.exit(exit_request.code)


@command.command()
@click.option("--rate", type=float, default=500, show_default=True)
@click.option("--seconds", type=float, default=20, show_default=True)
@click.option("--pairs", "count", type=int, default=5, show_default=True)
@click.option("--json", "as_json", is_flag=True)
def recorder(rate, seconds, count, as_json):
    """Measure the cost of the recorder with pairs of runs: a balancer without it and one with it."""
    require("operator", "trace-tools")
    from honeywood.lab.recording import format_table, pairs

    with tempfile.TemporaryDirectory(prefix="honeywood-") as folder:
        rows = pairs(folder, rate, seconds, count)
    click.echo(json.dumps(rows) if as_json else format_table(rows))


@command.command()
@click.option("--rate", "rates", type=float, multiple=True, default=(100, 300), show_default=True)
@click.option("--slow", "counts", type=int, multiple=True, default=(0, 50, 200, 500), show_default=True)
@click.option("--seconds", type=float, default=12, show_default=True)
@click.option("--turns", type=int, default=1, show_default=True)
@click.option("--record", is_flag=True, help="Record a trace and print why RPCs were given up.")
@click.option("--json", "as_json", is_flag=True)
def slow(rates, counts, seconds, turns, record, as_json):
    """Measure healthy clients while other clients read slowly and some answers arrive slowly."""
    require("operator", "trace-tools")
    from honeywood.lab.slow import format_table, rows

    with tempfile.TemporaryDirectory(prefix="honeywood-") as folder:
        measured = list(rows(folder, rates, counts, seconds, turns, record))
    click.echo(json.dumps(measured, indent=1) if as_json else format_table(measured))


@command.command("fleet-count")
@click.argument("logs", type=click.Path(exists=True, file_okay=False))
@click.option("--seconds", type=click.FloatRange(min=1), default=5, show_default=True)
def fleet_count(logs, seconds):
    """Add up the counts in the logs of many balancers; LOGS is the folder with the logs."""
    from honeywood.lab.fleet_count import spans, table

    click.echo(table(spans(logs, seconds)))


@command.command("emulator", context_settings={"ignore_unknown_options": True, "help_option_names": []})
@click.argument("words", nargs=-1, type=click.UNPROCESSED)
def emulator(words):
    """The whole system on a simulated clock: run, hunt, replay, sweep, report, model."""
    require("system")
    from honeywood.cli.emulator import command as group

    group.main(list(words), prog_name="honeywood lab emulator")


@command.command("soak", context_settings={"ignore_unknown_options": True, "help_option_names": []})
@click.argument("words", nargs=-1, type=click.UNPROCESSED)
def soak(words):
    """Run real proxies and controllers on this machine under overlapping faults."""
    require("system")
    from honeywood.cli.soak import command as run_soak

    run_soak.main(list(words), prog_name="honeywood lab soak")
