"""`honeywood lab emulator ...`: the whole system on a simulated clock, with faults drawn by seed."""

import json
import sys

import click


@click.group("emulator")
def command():
    """Run days of the system on one simulated clock, with simulated machines, network and clients."""


def shape(function):
    """Options of a command that change the world."""
    for option in (
        click.option("--fronts", type=click.IntRange(1), default=4, show_default=True),
        click.option("--per-s", type=float, default=40.0, show_default=True, help="Requests a second."),
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
            help="In each eight seconds.",
        ),
        click.option("--changes", type=click.IntRange(0), default=0, help="Changes of the configuration."),
        click.option("--link", type=float, default=0.0, help="Bytes a second of a proxy's link."),
    ):
        function = option(function)
    return function


@command.command()
@click.option("--seed", type=int, default=1, show_default=True)
@click.option("--chart", type=click.Path(), help="A PNG of the score a second.")
@shape
def run(seed, chart, **given):
    """Run one day of a seed and print its outcome."""
    from honeywood.lab.emulator import day_codec, hunt, report
    from honeywood.lab.emulator.faults.draw import draw_day

    day = draw_day(day_codec.from_options({**given, "seed": seed}))
    outcome = hunt.play(day)
    click.echo(report.describe(day, outcome))
    if chart:
        report.chart(chart, {f"seed {seed}": report.PlayedDay(day, outcome)})
    sys.exit(bool(outcome.violations))


@command.command()
@click.option("--days", type=click.IntRange(1), default=1000, show_default=True)
@click.option("--first", type=int, default=0, show_default=True, help="The first seed.")
@click.option("--jobs", type=click.IntRange(1), help="Cores to use; all of them by default.")
@click.option("--out", type=click.Path(), help="File for failing days, minimised, for replay.")
@shape
def hunt(days, first, jobs, out, **given):
    """Run many days with random faults to find a broken rule; failing days are minimised."""
    from rich.progress import Progress

    from honeywood.lab.emulator import day_codec
    from honeywood.lab.emulator import hunt as hunts

    with Progress(transient=True) as shown:
        bar = shown.add_task("days", total=days)

        def progress(done, broken):
            shown.update(bar, completed=done, description=f"days, {broken} broken")

        result = hunts.hunt(day_codec.from_options(given), first, days, jobs, progress)
    totals = result.totals
    click.echo(
        f"{totals.days} days, {totals.faults} faults, {totals.requests} requests "
        f"in {totals.duration_s:.0f} s "
        f"({60 * totals.days / totals.duration_s:.0f} a minute), worth {totals.worth / totals.requests:.3f}, "
        f"{len(result.failures)} with a broken rule"
    )
    small = []
    for seed, failure in sorted(result.failures.items())[:10]:
        violation = failure.violations[0]
        least = hunts.minimize(failure.day, violation.rule)
        small.append(day_codec.encode(least))
        kinds = [str(fault.kind) for fault in least.faults]
        click.echo(f"seed {seed}: {violation}; least faults: {kinds}")
    if out and small:
        with open(out, "w") as file:
            json.dump(small, file, indent=1)
    sys.exit(bool(result.failures))


@command.command()
@click.argument("file", type=click.Path(exists=True))
def replay(file):
    """Run the days of a FILE that a hunt wrote."""
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
    """Run the same days with several numbers of proxies, at the same load per proxy."""
    from honeywood.lab.emulator import hunt as hunts
    from honeywood.lab.emulator import report

    numbers = [int(one) for one in sizes.split(",")]
    click.echo(report.sweep(numbers, hunts.play, range(days)))


@command.command("report")
@click.option("--days", type=click.IntRange(1), default=100, show_default=True)
@click.option("--first", type=int, default=0, show_default=True)
@click.option("--chart", type=click.Path(), help="A PNG of the four days with the lowest scores.")
@shape
def report_(days, first, chart, **given):
    """Print by kind of fault the score beside that of a router that knows the state of all machines."""
    from honeywood.lab.emulator import day_codec, report
    from honeywood.lab.emulator import hunt as hunts

    shape = day_codec.from_options(given)
    text, played = report.compare_with_omniscient_router(shape, range(first, first + days), hunts.play)
    click.echo(text)
    if chart:
        report.chart(chart, {f"seed {one.day.seed}": one for one in played[:4]})


@command.command()
@click.option("--what", type=click.Choice(["versions", "outcomes"]), default="versions", show_default=True)
@click.option("--writers", type=click.IntRange(1, 3), default=2, show_default=True)
@click.option("--depth", type=click.IntRange(1), default=10, show_default=True)
@click.option("--most", type=click.IntRange(1), default=1_000_000, show_default=True, help="States.")
@click.option(
    "--walks", type=click.IntRange(0), default=0, show_default=True, help="Number of long random walks."
)
def model(what, writers, depth, most, walks):
    """Check all orders of messages and losses of the register up to a depth; then long random walks."""
    from random import Random

    from honeywood.lab.model.register_model import ModelOptions
    from honeywood.lab.model.scenarios import outcomes_model, versions_model
    from honeywood.lab.model.search import explore, random_walk

    def build(options):
        return versions_model(writers, options) if what == "versions" else outcomes_model(options)

    found = explore(build(ModelOptions()), depth, most)
    whole = "whole" if found.exhaustive else "not whole"
    click.echo(
        f"{found.states} states, {found.depth} steps deep, {whole}: {found.violation or 'nothing is broken'}"
    )
    click.echo("\n".join(found.trace))
    rng, wrong, steps = Random(1), found.violation, 0
    for _ in range(walks):
        taken, broken, trace = random_walk(build(ModelOptions(retries=1)), rng, 80)
        steps, wrong = steps + taken, wrong or broken
        if broken:
            click.echo("\n".join([broken, *trace]))
            break
    if walks:
        click.echo(f"{walks} ways, {steps} steps: {wrong or 'nothing is broken'}")
    sys.exit(bool(wrong))
