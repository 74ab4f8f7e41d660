"""Shows how long each version of the configuration took from its acknowledgement until proxies used it.

    python benchmarks/configuration_lag.py LOG --apply-s 3

LOG is the output of `fleetbench run SITE DAY --log all`. A proxy counts for a version if it was started
before the acknowledgement and not again before it used that version or a newer one. Versions whose
acknowledgement isn't logged are measured from their first use. The log does not tell which proxies are in
touch, so one that was cut off or killed shows up as late, too.
"""

import json
import re
from bisect import bisect_right
from collections import defaultdict
from contextlib import suppress
from dataclasses import dataclass, field
from statistics import median

import click

LINE = re.compile(r"\s*(-?\d+\.\d+) (\S+) (\{.*\})\s*$")
ACCEPTED, USED, STARTED = "configuration accepted", "configuration", "started"
PUBLISHED = "configuration published"
CONTROLLER = "controller"  # the role of the programs that use no configuration
WORST_SHOWN = 5


@dataclass
class Process:
    """One start of a program: when it started and when it has used which versions."""

    started_at: float
    versions: list = field(default_factory=list)  # (time, version), in the order of the log

    def used_at(self, version):
        """Return when the version or a newer one was in use, or None."""
        return next((at for at, used in self.versions if used >= version), None)


@dataclass
class Log:
    """The events of a log that concern the configuration."""

    acknowledged: dict = field(default_factory=dict)  # version: time of the first acknowledgement
    characters: dict = field(default_factory=dict)  # version: length of its packed text
    published: dict = field(default_factory=lambda: defaultdict(dict))  # version: {controller: time}
    processes: dict = field(default_factory=lambda: defaultdict(list))  # proxy: its starts, in order
    last_at: float = 0.0


def events(lines):
    """Yield (time, node, event) of the lines of programs; others, and damaged ones, are skipped."""
    for line in lines:
        if match := LINE.match(line):
            with suppress(json.JSONDecodeError):
                yield float(match[1]), match[2], json.loads(match[3])


def read(lines):
    """Return the Log of these lines."""
    log = Log()
    for at, node, event in events(lines):
        log.last_at = max(log.last_at, at)
        name = event.get("event")
        if name == ACCEPTED:
            version = int(event["ordered"], 16)
            log.acknowledged.setdefault(version, at)
            log.characters.setdefault(version, event["characters"])
        elif name == PUBLISHED:
            log.published[int(event["config"], 16)].setdefault(node, at)
        elif name == STARTED and event["role"] != CONTROLLER:
            log.processes[node].append(Process(at))
        elif name == USED and log.processes[node]:
            log.processes[node][-1].versions.append((at, int(event["config"], 16)))
    return log


def add_unacknowledged(log):
    """Measure versions whose acknowledgement isn't in the log from their first use."""
    uses = sorted(use for starts in log.processes.values() for process in starts for use in process.versions)
    for at, version in uses:
        log.acknowledged.setdefault(version, at)


def lags(log, version):
    """Return {proxy: seconds until it used the version, None if it never did} and how many were restarted."""
    acknowledged_at, result, restarted = log.acknowledged[version], {}, 0
    for node, starts in log.processes.items():
        index = bisect_right([process.started_at for process in starts], acknowledged_at) - 1
        if index < 0:
            continue
        used_at = starts[index].used_at(version)
        if used_at is None and index + 1 < len(starts):
            restarted += 1
        else:
            result[node] = None if used_at is None else max(0.0, used_at - acknowledged_at)
    return result, restarted


def row(log, version, apply_s):
    """Return the cells of a version's row."""
    found, restarted = lags(log, version)
    used = sorted(lag for lag in found.values() if lag is not None)
    late = sum(lag > apply_s for lag in used)
    never = [node for node, lag in found.items() if lag is None]
    remaining = log.last_at - log.acknowledged[version]
    worst = sorted((node for node in found if found[node] is not None), key=found.get)[-WORST_SHOWN:]
    at, published = log.acknowledged[version], log.published.get(version, {})
    return [
        f"{version:x}",
        f"{at:.2f}",
        log.characters.get(version, "-"),
        f"{len(published)}, {max(published.values()) - at:.2f}" if published else "-",
        f"{len(used)}/{len(found)}",
        f"{median(used):.2f}" if used else "-",
        f"{used[int(0.95 * (len(used) - 1))]:.2f}" if used else "-",
        f"{used[-1]:.2f}" if used else "-",
        late,
        f"{len(never)} after {remaining:.1f} s" if never else 0,
        restarted,
        " ".join(f"{node}:{found[node]:.2f}" for node in reversed(worst) if found[node] > apply_s),
    ]


COLUMNS = (
    "version",
    "acknowledged at",
    "characters",
    "controllers, last after",
    "used by",
    "median",
    "p95",
    "max",
    "late",
    "never",
    "restarted",
    "worst",
)


@click.command()
@click.argument("path", type=click.File())
@click.option("--apply-s", type=float, default=3.0, show_default=True, help="bound of the deployment")
def main(path, apply_s):
    """Print a table with a row per version; times in seconds."""
    log = read(path)
    add_unacknowledged(log)
    click.echo(f"| {' | '.join(COLUMNS)} |\n|{' --- |' * len(COLUMNS)}")
    for version in sorted(log.acknowledged):
        click.echo(f"| {' | '.join(str(cell) for cell in row(log, version, apply_s))} |")


if __name__ == "__main__":
    main()
