"""`honeywood version`: prints versions."""

import click


@click.command("version")
def command():
    """Print the versions of the package and of the trace files that it writes."""
    from importlib.metadata import PackageNotFoundError, version

    from honeywood.trace.schema import MAJOR, MINOR

    try:
        number = version("honeywood")
    except PackageNotFoundError:  # run from the checkout, not installed
        number = "not installed"
    click.echo(f"honeywood {number}, trace files {MAJOR}.{MINOR}")
