"""Compares two versions of this project on one machine, with any command that prints a score.

    python benchmarks/pairs.py OLD NEW --pairs 2 --score 'score ([0-9.]+)' -- COMMAND ...

OLD and NEW are clones. COMMAND is run in each of them in turn; the last match of --score in its output is
the score. The score of the same version varies with the machine and over time, so only the two scores of a
pair are compared. The version that runs first alternates from pair to pair.
"""

import re
import shlex
import subprocess
from statistics import median

import click


def score(folder, command, pattern):
    """Run the command in a clone and return the last score that it prints."""
    done = subprocess.run(command, cwd=folder, capture_output=True, text=True)
    matches = re.findall(pattern, done.stdout + done.stderr)
    if not matches:
        raise click.ClickException(f"no score in {folder}: {(done.stdout + done.stderr)[-300:]}")
    return float(matches[-1])


@click.command(context_settings={"ignore_unknown_options": True})
@click.argument("old", type=click.Path(exists=True))
@click.argument("new", type=click.Path(exists=True))
@click.option("--pairs", type=click.IntRange(1), default=1, show_default=True)
@click.option("--score", "pattern", default=r"score[^\n]*? (-?[0-9]+\.[0-9]+)", show_default=True)
@click.argument("command", nargs=-1, required=True)
def main(old, new, pairs, pattern, command):
    """Print a table of pairs and the median difference."""
    click.echo(f"`{shlex.join(command)}`\n\n| pair | old | new | new - old |\n| --- | --- | --- | --- |")
    differences = []
    for number in range(pairs):
        scores = {
            folder: score(folder, command, pattern)
            for folder in ((old, new) if number % 2 == 0 else (new, old))
        }
        differences.append(scores[new] - scores[old])
        click.echo(f"| {number + 1} | {scores[old]:.3f} | {scores[new]:.3f} | {differences[-1]:+.3f} |")
    click.echo(f"\nmedian {median(differences):+.3f}")


if __name__ == "__main__":
    main()
