"""A program's own figures as text, in the form that Prometheus reads, for whoever asks its metrics address.

`GET /metrics` at the port that the command line gives (`--metrics PORT`). One family,
`honeywood_events_total`, holds all sums since the start, by the names that the log's line `counts` uses; the
others are figures of now.
"""

import sys
from collections.abc import Mapping
from dataclasses import dataclass

PATH = "/metrics"
OPTION = "--metrics"
CONTENT_TYPE = (b"content-type", b"text/plain; version=0.0.4")
EVENTS = "honeywood_events_total"
GAUGE_PREFIX = "honeywood_"


@dataclass(frozen=True, slots=True)
class Figures:
    """`events` are sums since the start by name, `gauges` what stands now."""

    events: Mapping[str, int | float]
    gauges: Mapping[str, int | float | bool]


def render(figures: Figures) -> bytes:
    """The page of a program's figures."""
    lines = [f"# TYPE {EVENTS} counter"]
    lines += [
        f'{EVENTS}{{event="{_escape(name)}"}} {value}' for name, value in sorted(figures.events.items())
    ]
    for name, value in sorted(figures.gauges.items()):
        metric = GAUGE_PREFIX + name
        lines += [f"# TYPE {metric} gauge", f"{metric} {float(value):g}"]
    return ("\n".join(lines) + "\n").encode()


def _escape(value: str) -> str:
    return value.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")


def port_of(arguments: list[str]) -> int | None:
    """The metrics port that a program's command line names, None where it has none; ends the program with
    status 2 where it can't be used. By hand: argparse would cost each process memory."""
    if not arguments:
        return None
    option, *rest = arguments
    usable = option == OPTION and len(rest) == 1 and rest[0].isascii() and rest[0].isdecimal()
    if not usable or not 0 < int(rest[0]) < 65536:
        print(f"only {OPTION} PORT is known, not {' '.join(arguments)}", file=sys.stderr)
        raise SystemExit(2)
    return int(rest[0])
