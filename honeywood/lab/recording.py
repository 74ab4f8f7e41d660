"""Measures the cost of the trace recorder: runs a balancer with and without it in turn, on one machine."""
from statistics import median

import numpy

from honeywood.lab.demo import TRACE
from honeywood.lab.world import World
from honeywood.standins.release import Load

SERVERS, CLIENTS, WARM_UP_S = 8, 60, 2
PERCENTILES = 50, 95, 99


def measure(folder, rate, seconds, recorded):
    """Runs one load and returns its measurements.

    `cpu_ms` is the CPU time per RPC, `mb` the peak memory, `ok` the share of RPCs with status 200, `bytes`
    the size of the trace, and `p50` and so on are the latency percentiles of these RPCs in ms."""
    with World(folder, SERVERS, work=0.005) as world:
        world.start(TRACE.format(folder=world.folder / "trace") if recorded else None)
        Load(world.listen, rate, CLIENTS, WARM_UP_S, seed=9).run()
        before, _ = world.usage()
        answers = Load(world.listen, rate, CLIENTS, seconds).run()
        after, peak = world.usage()
        world.stop()
        size = sum(path.stat().st_size for path in (world.folder / "trace").glob("*.trace"))
        ok_ms = [duration_s * 1000 for _, status, duration_s in answers if status == 200]
        return {"cpu_ms": (after - before) / len(answers) * 1000, "mb": peak, "rpcs": len(answers),
                "ok": len(ok_ms) / len(answers), "bytes": size,
                **{f"p{percentile}": float(numpy.percentile(ok_ms, percentile))
                   for percentile in PERCENTILES}}


def pairs(folder, rate, seconds, count):
    """Returns `count` pairs of results, each (without the recorder, with it).

    The run that comes first alternates from pair to pair."""
    rows = []
    for number in range(count):
        results = {recorded: measure(f"{folder}/{number}-{int(recorded)}", rate, seconds, recorded)
                 for recorded in ((False, True) if number % 2 == 0 else (True, False))}
        rows.append((results[False], results[True]))
    return rows


def format_table(rows):
    """Returns the pairs as a Markdown table, followed by the median ratio of their CPU times."""
    lines = ["| pair | CPU ms an RPC | MB | p50 ms | p95 | p99 | ok |", "| --- " * 7 + "|"]
    for number, (off, on) in enumerate(rows, 1):
        cells = [f"{off[key]:.{digits}f}, {on[key]:.{digits}f}" for key, digits in
                 (("cpu_ms", 3), ("mb", 1), ("p50", 2), ("p95", 2), ("p99", 2), ("ok", 4))]
        lines.append(f"| {number} | " + " | ".join(cells) + " |")
    ratio = median(on["cpu_ms"] / off["cpu_ms"] for off, on in rows)
    lines.append(f"\nOff, then on. CPU with the recorder over without, median of pairs: {ratio:.3f}.")
    return "\n".join(lines)
