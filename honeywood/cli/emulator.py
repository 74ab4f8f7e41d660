"""`honeywood lab emulator ...`: simulates the whole system, with faults that are drawn from a seed."""

import json
import sys

import click


@click.group("emulator")
def command():
    """Simulate days of the system on one clock, with simulated machines, network and clients."""


def day_options(function):
    """Add the options that set the parameters of a day to a command."""
    for option in (
        click.option("--fronts", type=click.IntRange(1), default=4, show_default=True),
        click.option("--per-s", type=float, default=40.0, show_default=True, help="Requests per second."),
        click.option("--seconds", type=click.FloatRange(3), default=8.0, show_default=True),
        click.option(
            "--bear",
            type=click.IntRange(0),
            default=1,
            show_default=True,
            help="Disks that may be lost at once; 2 bear + 1 controllers.",
        ),
        click.option(
            "--most-faults",
            type=click.IntRange(1),
            default=6,
            show_default=True,
            help="Maximum number of faults in each eight seconds.",
        ),
        click.option("--changes", type=click.IntRange(0), default=0, help="Configuration changes."),
        click.option(
            "--link", type=float, default=0.0, help="Bytes per second of a proxy's link; 0: unlimited."
        ),
    ):
        function = option(function)
    return function


@command.command()
@click.option("--seed", type=int, default=1, show_default=True)
@click.option("--chart", type=click.Path(), help="Write a PNG chart of the score per second.")
@day_options
def run(seed, chart, **options):
    """Run the day of one seed and print its outcome."""
    from honeywood.lab.emulator import day_codec, hunt, report
    from honeywood.lab.emulator.faults.draw import draw_day

    day = draw_day(day_codec.from_options({**options, "seed": seed}))
    outcome = hunt.play(day)
    click.echo(report.describe(day, outcome))
    if chart:
        report.chart(chart, {f"seed {seed}": report.PlayedDay(day, outcome)})
    sys.exit(bool(outcome.violations))


@command.command()
@click.option("--days", type=click.IntRange(1), default=1000, show_default=True)
@click.option("--first", type=int, default=0, show_default=True, help="The first seed.")
@click.option("--jobs", type=click.IntRange(1), help="Cores to use; all of them by default.")
@click.option("--out", type=click.Path(), help="File for the minimised failing days, for replay.")
@click.option("--always", multiple=True, help="A kind of fault that each day has once; repeatable.")
@day_options
def hunt(days, first, jobs, out, always, **options):
    """Run many days with random faults to find violations of rules; failing days are minimised."""
    from rich.progress import Progress

    from honeywood.lab.emulator import day_codec
    from honeywood.lab.emulator import hunt as hunts
    from honeywood.lab.emulator.faults.fault import FaultKind

    required = [FaultKind(kind) for kind in always]
    with Progress(transient=True) as progress_display:
        task = progress_display.add_task("days", total=days)

        def progress(done, failed):
            progress_display.update(task, completed=done, description=f"days, {failed} failed")

        shape = day_codec.from_options(options)
        result = hunts.hunt(shape, first, days, jobs, progress, required)
    totals = result.totals
    click.echo(
        f"{totals.days} days, {totals.faults} faults, {totals.requests} requests "
        f"in {totals.duration_s:.0f} s ({60 * totals.days / totals.duration_s:.0f} per minute), "
        f"worth {totals.worth / totals.requests:.3f}, {len(result.failures)} with a violated rule"
    )
    minimized_days = []
    for seed, failure in sorted(result.failures.items())[:10]:
        violation = failure.violations[0]
        minimized = hunts.minimize(failure.day, violation.rule)
        minimized_days.append(day_codec.encode(minimized))
        kinds = [str(fault.kind) for fault in minimized.faults]
        click.echo(f"seed {seed}: {violation}; minimal faults: {kinds}")
    if out and minimized_days:
        with open(out, "w") as file:
            json.dump(minimized_days, file, indent=1)
    sys.exit(bool(result.failures))


@command.command()
@click.argument("file", type=click.Path(exists=True))
def replay(file):
    """Run the days of a FILE that was written by a hunt."""
    from honeywood.lab.emulator import day_codec, report
    from honeywood.lab.emulator import hunt as hunts

    with open(file) as text:
        days = [day_codec.decode(stored) for stored in json.load(text)]
    outcomes = [hunts.play(day) for day in days]
    for day, outcome in zip(days, outcomes):
        click.echo(report.describe(day, outcome) + "\n")
    sys.exit(any(outcome.violations for outcome in outcomes))


@command.command()
@click.option("--sizes", default="2,4,8,16", show_default=True, help="Numbers of proxies.")
@click.option("--days", type=click.IntRange(1), default=8, show_default=True)
def sweep(sizes, days):
    """Run the same days with several numbers of proxies."""
    from honeywood.lab.emulator import hunt as hunts
    from honeywood.lab.emulator import report

    proxy_counts = [int(size) for size in sizes.split(",")]
    click.echo(report.sweep(proxy_counts, hunts.play, range(days)))


@command.command("report")
@click.option("--days", type=click.IntRange(1), default=100, show_default=True)
@click.option("--first", type=int, default=0, show_default=True)
@click.option("--chart", type=click.Path(), help="Write a PNG chart of the four days with the lowest scores.")
@day_options
def report_(days, first, chart, **options):
    """Compare the score by kind of fault with that of a router that knows the state of all machines."""
    from honeywood.lab.emulator import day_codec, report
    from honeywood.lab.emulator import hunt as hunts

    shape = day_codec.from_options(options)
    text, played = report.compare_with_omniscient_router(shape, range(first, first + days), hunts.play)
    click.echo(text)
    if chart:
        report.chart(chart, {f"seed {played_day.day.seed}": played_day for played_day in played[:4]})


@command.command()
@click.option("--what", type=click.Choice(["versions", "outcomes"]), default="versions", show_default=True)
@click.option("--writers", type=click.IntRange(1, 3), default=2, show_default=True)
@click.option("--depth", type=click.IntRange(1), default=10, show_default=True)
@click.option(
    "--most", type=click.IntRange(1), default=1_000_000, show_default=True, help="Maximum number of states."
)
@click.option(
    "--walks", type=click.IntRange(0), default=0, show_default=True, help="Number of long random walks."
)
def model(what, writers, depth, most, walks):
    """Check all orders of messages and losses of the register up to a depth, then run long random walks."""
    from random import Random

    from honeywood.lab.model.register_model import ModelOptions
    from honeywood.lab.model.scenarios import outcomes_model, versions_model
    from honeywood.lab.model.search import explore, random_walk

    def build(options):
        return versions_model(writers, options) if what == "versions" else outcomes_model(options)

    exploration = explore(build(ModelOptions()), depth, most)
    coverage = "complete" if exploration.exhaustive else "incomplete"
    click.echo(
        f"{exploration.states} states, {exploration.depth} steps deep, {coverage}: "
        f"{exploration.violation or 'no violation'}"
    )
    click.echo("\n".join(exploration.trace))
    rng, violation, steps = Random(1), exploration.violation, 0
    for _ in range(walks):
        walk_steps, walk_violation, trace = random_walk(build(ModelOptions(retries=1)), rng, 80)
        steps, violation = steps + walk_steps, violation or walk_violation
        if walk_violation:
            click.echo("\n".join([walk_violation, *trace]))
            break
    if walks:
        click.echo(f"{walks} walks, {steps} steps: {violation or 'no violation'}")
    sys.exit(bool(violation))
