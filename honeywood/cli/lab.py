"""`honeywood lab ...`: experiments with real programs and scripted peers on loopback, and the emulator."""

import json
import tempfile

import click

from honeywood.cli.extras import require


@click.group("lab")
def command():
    """Experiments: real programs among scripted peers on loopback, and the emulator."""


@command.command()
@click.option("--folder", type=click.Path(), help="Folder for trace and log; a new one by default.")
@click.option("--seconds", type=float, default=14, show_default=True)
@click.option(
    "--failing", type=float, default=0.0, show_default=True, help="Share of RPCs that the new build fails."
)
def demo(folder, seconds, failing):
    """Run one balancer through a release, recorded; then show what its trace contains."""
    import sys

    require("operator", "trace-tools")
    from honeywood.cli.trace import command as trace
    from honeywood.lab.demo import demo as played
    from honeywood.standins.release import customer_of_client

    folder = folder or tempfile.mkdtemp(prefix="honeywood-")
    paths, _ = played(folder, seconds, failing, click.echo)
    key, middle, customer = f"{folder}/key", f"{folder}/middle.trace", customer_of_client(1)
    for words in (
        ["verify", *paths],
        ["summary", paths[0]],
        ["show", "--rpc", "c1-9", *paths],
        ["replay", *paths],
        ["cut", "--from", "+2", "--to", "+6", "-o", middle, paths[0]],
        ["merge", "-o", f"{folder}/merged.trace", middle, *paths],
        ["index", middle],
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
        click.echo(f"\n$ honeywood trace {' '.join(words)}")
        try:
            trace.main(words, prog_name="honeywood trace", standalone_mode=False)
        except SystemExit as ended:
            if ended.code:
                sys.exit(ended.code)


@command.command()
@click.option("--rate", type=float, default=500, show_default=True)
@click.option("--seconds", type=float, default=20, show_default=True)
@click.option("--pairs", "count", type=int, default=5, show_default=True)
@click.option("--json", "plain", is_flag=True)
def recorder(rate, seconds, count, plain):
    """Measure the cost of the recorder: a balancer without it and with it, in turn."""
    require("operator", "trace-tools")
    from honeywood.lab.recording import pairs, told

    with tempfile.TemporaryDirectory(prefix="honeywood-") as folder:
        rows = pairs(folder, rate, seconds, count)
    click.echo(json.dumps(rows) if plain else told(rows))


@command.command()
@click.option("--rate", "rates", type=float, multiple=True, default=(100, 300), show_default=True)
@click.option("--slow", "counts", type=int, multiple=True, default=(0, 50, 200, 500), show_default=True)
@click.option("--seconds", type=float, default=12, show_default=True)
@click.option("--turns", type=int, default=1, show_default=True)
@click.option("--record", is_flag=True, help="Record a trace, and print why RPCs were given up.")
@click.option("--json", "plain", is_flag=True)
def slow(rates, counts, seconds, turns, record, plain):
    """Measure healthy clients beside slow ones and beside answers that trickle."""
    require("operator", "trace-tools")
    from honeywood.lab.slow import rows, told

    with tempfile.TemporaryDirectory(prefix="honeywood-") as folder:
        found = list(rows(folder, rates, counts, seconds, turns, record))
    click.echo(json.dumps(found, indent=1) if plain else told(found))


@command.command("fleet-count")
@click.argument("logs", type=click.Path(exists=True, file_okay=False))
@click.option("--seconds", type=click.FloatRange(min=1), default=5, show_default=True)
def fleet_count(logs, seconds):
    """Add up the counts of many balancers, from the folder of their LOGS."""
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
    """Real proxies and controllers on this machine, under faults that overlap."""
    require("system")
    from honeywood.cli.soak import command as played

    played.main(list(words), prog_name="honeywood lab soak")
