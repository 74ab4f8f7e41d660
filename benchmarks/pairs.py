"""Two texts of this project in turn on one machine, by any command that prints a score.

    python benchmarks/pairs.py OLD NEW --pairs 2 --score 'score ([0-9.]+)' -- COMMAND ...

OLD and NEW are clones; COMMAND is run in each, and its last match of --score is the figure. A day's figure
moves with machine and moment, so only figures of one pair are compared; which text begins changes from pair
to pair.
"""

import re
import shlex
import subprocess
from statistics import median

import click


def score(folder, command, pattern):
    done = subprocess.run(command, cwd=folder, capture_output=True, text=True)
    found = re.findall(pattern, done.stdout + done.stderr)
    if not found:
        raise click.ClickException(f"no score in {folder}: {(done.stdout + done.stderr)[-300:]}")
    return float(found[-1])


@click.command(context_settings={"ignore_unknown_options": True})
@click.argument("old", type=click.Path(exists=True))
@click.argument("new", type=click.Path(exists=True))
@click.option("--pairs", type=click.IntRange(1), default=1, show_default=True)
@click.option("--score", "pattern", default=r"score[^\n]*? (-?[0-9]+\.[0-9]+)", show_default=True)
@click.argument("command", nargs=-1, required=True)
def main(old, new, pairs, pattern, command):
    """Prints a table of pairs and the median difference."""
    click.echo(f"`{shlex.join(command)}`\n\n| pair | old | new | new - old |\n| --- | --- | --- | --- |")
    differences = []
    for number in range(pairs):
        found = {
            folder: score(folder, command, pattern)
            for folder in ((old, new) if number % 2 == 0 else (new, old))
        }
        differences.append(found[new] - found[old])
        click.echo(f"| {number + 1} | {found[old]:.3f} | {found[new]:.3f} | {differences[-1]:+.3f} |")
    click.echo(f"\nmedian {median(differences):+.3f}")


if __name__ == "__main__":
    main()
