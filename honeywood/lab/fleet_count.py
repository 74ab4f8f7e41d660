"""Sums the `counts` lines in the logs of several balancers, by time span."""
import pathlib
import re
from collections import Counter, defaultdict
from datetime import datetime

LINE = re.compile(r"timestamp=(\S+) .*\bevent=counts\b(.*)")
VALUE = re.compile(r"\b([a-z_]+)=([0-9]+)\b")


def spans(folder, seconds):
    """Returns, by the start of each time span, the sums over all balancers and the number of log lines.

    `seconds` is the length of a span; the first one begins at the earliest timestamp, as second 0. Raises
    OSError if the folder can't be read."""
    sums, first = defaultdict(Counter), None
    lines = []
    for path in sorted(pathlib.Path(folder).iterdir()):
        for match in filter(None, map(LINE.search, path.read_text(errors="replace").splitlines())):
            lines.append((datetime.fromisoformat(match[1]).timestamp(), match[2]))
    first = min((start for start, _ in lines), default=0)
    for start, text in lines:
        span = sums[int((start - first) // seconds) * seconds]
        span.update({name: int(value) for name, value in VALUE.findall(text)})
        span["lines"] += 1
    return dict(sorted(sums.items()))


def table(sums):
    """Returns a table with a row per counter and a column per span.

    The last column is the sum over all spans, which has no meaning for gauges and for the row of lines."""
    names = sorted({name for span in sums.values() for name in span})
    rows = [["", *(f"{start:g}s" for start in sums), "all"]]
    for name in names:
        rows.append([name, *(str(span[name]) for span in sums.values()),
                     str(sum(span[name] for span in sums.values()))])
    widths = [max(map(len, column)) for column in zip(*rows)]
    return "\n".join("  ".join([row[0].ljust(widths[0]),
                               *(cell.rjust(width) for cell, width in zip(row[1:], widths[1:]))])
                     for row in rows)
