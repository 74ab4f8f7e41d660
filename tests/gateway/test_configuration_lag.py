"""The table of benchmarks/configuration_lag.py, from the log lines of programs."""

import json
import sys
from pathlib import Path

from ward import test

sys.path.append(str(Path(__file__).parents[2] / "benchmarks"))
import configuration_lag  # noqa: E402


def line(at, node, event, **fields):
    return f"  {at:.4f} {node} {json.dumps({'node': node, 'event': event, **fields})}\n"


@test("the table has the lag of each version, the processes that are late, and those that never use it")
def _():
    lines = [
        line(-1.0, "core", "started", role="controller"),
        *[line(-1.0, node, "started", role="edge") for node in "abcd"],
        line(2.0, "core", "configuration published", config="0000000a"),
        line(2.5, "core", "configuration accepted", ordered="0000000a", characters=70),
        line(2.5, "core", "configuration accepted", ordered="0000000a", characters=70)[:-20] + "\n",
        line(3.0, "a", "configuration", config="0000000a"),
        line(4.0, "d", "started", role="edge"),
        line(4.5, "d", "configuration", config="0000000a"),
        line(6.0, "b", "configuration", config="0000000c"),
        line(7.0, "core", "configuration accepted", ordered="0000000c", characters=71),
    ]
    log = configuration_lag.read(lines)
    assert log.acknowledged == {0xA: 2.5, 0xC: 7.0}
    lags, restarted = configuration_lag.lags(log, 0xA)
    assert (lags, restarted) == ({"a": 0.5, "b": 3.5, "c": None}, 1)
    cells = dict(zip(configuration_lag.COLUMNS, configuration_lag.row(log, 0xA, 3.0), strict=True))
    assert (cells["late"], cells["never"], cells["worst"]) == (1, "1 after 4.5 s", "b:3.50")
    assert cells["controllers, last after"] == "1, -0.50"
    assert configuration_lag.lags(log, 0xC) == ({"a": None, "b": 0.0, "c": None, "d": None}, 0)


@test("a version whose acknowledgement isn't logged is measured from its first use")
def _():
    lines = [line(0.0, node, "started", role="edge") for node in "ab"]
    lines += [line(at, node, "configuration", config="00000003") for at, node in ((1.0, "a"), (1.5, "b"))]
    log = configuration_lag.read(lines)
    configuration_lag.add_unacknowledged(log)
    assert configuration_lag.lags(log, 3) == ({"a": 0.0, "b": 0.5}, 0)
