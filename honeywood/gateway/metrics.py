"""A program's metrics in the text format of Prometheus, served at `GET /metrics` on a separate port.

The port is given on the command line (`--metrics PORT`). One counter family, `honeywood_events_total`, holds
all totals since the start, labelled with the names that the log event `counts` uses; all others are gauges.
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
EXIT_USAGE = 2  # exit status for an invalid command line


@dataclass(frozen=True, slots=True)
class Metrics:
    """A snapshot of a program's metrics."""

    events: Mapping[str, Number]  # totals since the start, by event
    gauges: Mapping[str, Number]  # current values, by name without GAUGE_PREFIX


def render(metrics: Metrics) -> bytes:
    """Return the metrics in the text format that Prometheus scrapes."""
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
    """Return the port that a command line gives, or None if it is empty.

    Exits with EXIT_USAGE if the command line is invalid. It is parsed without argparse, which would cost
    memory in each process.
    """
    if not arguments:
        return None
    option, *values = arguments
    if option == PORT_OPTION and len(values) == 1 and values[0].isascii() and values[0].isdecimal():
        port = int(values[0])
        if 0 < port <= PORT_MAX:
            return port
    print(f"the only option is {PORT_OPTION} PORT, not {' '.join(arguments)}", file=sys.stderr)
    raise SystemExit(EXIT_USAGE)
