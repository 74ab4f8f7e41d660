"""A program's metrics in the text format of Prometheus, served at `GET /metrics` on an address of its own.

The port is given on the command line (`--metrics PORT`). One counter family, `honeywood_events_total`, holds
all sums since the start, labelled with the names that the log's line `counts` uses; the others are gauges.
"""

from __future__ import annotations

import sys
from dataclasses import dataclass

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    Number = int | float

METRICS_PATH = "/metrics"
PORT_OPTION = "--metrics"
PORT_MAX = 65535
CONTENT_TYPE = (b"content-type", b"text/plain; version=0.0.4")
EVENT_COUNTER = "honeywood_events_total"
GAUGE_PREFIX = "honeywood_"
EXIT_USAGE = 2  # status of a program whose command line can't be used


@dataclass(frozen=True, slots=True)
class Metrics:
    """A reading of a program's metrics."""

    events: Mapping[str, Number]  # sums since the start, by event
    gauges: Mapping[str, Number]  # present values, by name without GAUGE_PREFIX


def render(metrics: Metrics) -> bytes:
    """Return the page that Prometheus reads."""
    lines = [f"# TYPE {EVENT_COUNTER} counter"]
    for event, count in sorted(metrics.events.items()):
        lines.append(f'{EVENT_COUNTER}{{event="{_escape_label(event)}"}} {count}')
    for name, value in sorted(metrics.gauges.items()):
        gauge = GAUGE_PREFIX + name
        lines += [f"# TYPE {gauge} gauge", f"{gauge} {float(value):g}"]
    return ("\n".join(lines) + "\n").encode()


def _escape_label(value: str) -> str:
    return value.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")


def parse_port(arguments: Sequence[str]) -> int | None:
    """Return the port that a command line gives, None where it gives none.

    Ends the program with EXIT_USAGE where it can't be used. Read by hand: argparse would cost each process
    memory.
    """
    if not arguments:
        return None
    option, *values = arguments
    if option == PORT_OPTION and len(values) == 1 and values[0].isascii() and values[0].isdecimal():
        port = int(values[0])
        if 0 < port <= PORT_MAX:
            return port
    print(f"only {PORT_OPTION} PORT is known, not {' '.join(arguments)}", file=sys.stderr)
    raise SystemExit(EXIT_USAGE)
