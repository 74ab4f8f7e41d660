"""`honeywood lab soak`: runs the real programs on this machine under overlapping faults."""

import sys
from pathlib import Path

import click


@click.command("soak")
@click.option("--seeds", type=click.IntRange(1), default=20, show_default=True, help="Number of seeds.")
@click.option("--first", type=int, default=1, show_default=True, help="The first seed.")
@click.option(
    "--seconds",
    type=click.FloatRange(3),
    default=12.0,
    show_default=True,
    help="Seconds of traffic per soak.",
)
@click.option(
    "--jobs", type=click.IntRange(1), default=2, show_default=True, help="Number of parallel soaks."
)
@click.option(
    "--proxies", type=click.IntRange(1, 200), default=3, show_default=True, help="Proxies per soak."
)
@click.option(
    "--checkout",
    type=click.Path(exists=True, file_okay=False, path_type=Path),
    help="Checkout of another commit whose programs are run.",
)
@click.option("--rollouts", is_flag=True, help="Roll out a new version in each soak, mostly a faulty one.")
@click.option("--keep", type=click.Path(path_type=Path), help="Folder in which logs and data are kept.")
def command(seeds, first, seconds, jobs, proxies, checkout, rollouts, keep):
    """Run real proxies and controllers on loopback, and kill, stop, pause and partition them at random.

    Some clients disconnect before their response, and API keys move between tenants. The exit status is 1 if
    a rule was violated.
    """
    from honeywood.lab.soak.series import run_series, summary
    from honeywood.lab.soak.soak import SoakSettings

    def report(outcome):
        click.echo(summary(outcome))

    settings = SoakSettings(proxies, checkout, rollouts)
    outcomes = run_series(first, seeds, seconds, jobs, keep, report, settings)
    failed = sum(bool(outcome.violations) for outcome in outcomes)
    requests = sum(outcome.requests for outcome in outcomes)
    disconnected = sum(outcome.disconnected for outcome in outcomes)
    click.echo(
        f"{len(outcomes)} soaks, {requests} requests, {disconnected} abandoned by clients; {failed} failed"
    )
    sys.exit(bool(failed))
