"""`honeywood lab soak`: the system's own processes on this machine, under troubles that overlap."""

import sys
from pathlib import Path

import click


@click.command("soak")
@click.option("--seeds", type=click.IntRange(1), default=20, show_default=True, help="Number of seeds.")
@click.option("--first", type=int, default=1, show_default=True, help="The first seed.")
@click.option(
    "--seconds", type=click.FloatRange(3), default=12.0, show_default=True, help="Seconds of traffic of each."
)
@click.option("--jobs", type=click.IntRange(1), default=2, show_default=True, help="Soaks that run at once.")
@click.option("--keep", type=click.Path(path_type=Path), help="Folder in which logs and disks are kept.")
def command(seeds, first, seconds, jobs, keep):
    """Run real proxies and controllers on loopback, killed, stopped, paused and partitioned at random.

    Clients leave before their answers, and tenants' keys move. The status is 1 if a rule was broken.
    """
    from honeywood.lab.soak.series import run_series, summary

    outcomes = run_series(first, seeds, seconds, jobs, keep, lambda outcome: click.echo(summary(outcome)))
    broken = sum(bool(outcome.violations) for outcome in outcomes)
    requests = sum(outcome.requests for outcome in outcomes)
    left = sum(outcome.disconnected for outcome in outcomes)
    click.echo(f"{len(outcomes)} soaks, {requests} requests, {left} left by their clients; {broken} broken")
    sys.exit(bool(broken))
