"""What the recorder costs a front: with it and without it in turn, on one machine."""
from statistics import median

import numpy

from honeywood.lab.demo import TRACE
from honeywood.lab.world import World
from honeywood.standins.release import Load

SERVERS, CLIENTS, WARM = 8, 60, 2
SHARES = 50, 95, 99


def one(folder, rate, seconds, recorded):
    """(CPU seconds an RPC in ms, peak MB, {percentile: ms}, share ok) of one run."""
    with World(folder, SERVERS, work=0.005) as world:
        world.start(TRACE.format(folder=world.folder / "trace") if recorded else None)
        Load(world.listen, rate, CLIENTS, WARM, seed=9).run()
        before, _ = world.spent()
        answers = Load(world.listen, rate, CLIENTS, seconds).run()
        after, peak = world.spent()
        world.stop()
        size = sum(path.stat().st_size for path in (world.folder / "trace").glob("*.trace"))
        ok = [took * 1000 for _, status, took in answers if status == 200]
        return {"cpu_ms": (after - before) / len(answers) * 1000, "mb": peak, "rpcs": len(answers),
                "ok": len(ok) / len(answers), "bytes": size,
                **{f"p{share}": float(numpy.percentile(ok, share)) for share in SHARES}}


def pairs(folder, rate, seconds, count):
    """Rows of pairs, each (without, with), in turn; the one that begins changes from pair to pair."""
    rows = []
    for number in range(count):
        found = {recorded: one(f"{folder}/{number}-{int(recorded)}", rate, seconds, recorded)
                 for recorded in ((False, True) if number % 2 == 0 else (True, False))}
        rows.append((found[False], found[True]))
    return rows


def format_table(rows):
    lines = ["| pair | CPU ms an RPC | MB | p50 ms | p95 | p99 | ok |", "| --- " * 7 + "|"]
    for number, (off, on) in enumerate(rows, 1):
        cells = [f"{off[key]:.{digits}f}, {on[key]:.{digits}f}" for key, digits in
                 (("cpu_ms", 3), ("mb", 1), ("p50", 2), ("p95", 2), ("p99", 2), ("ok", 4))]
        lines.append(f"| {number} | " + " | ".join(cells) + " |")
    ratio = median(on["cpu_ms"] / off["cpu_ms"] for off, on in rows)
    lines.append(f"\nOff, then on. CPU with the recorder over without, median of pairs: {ratio:.3f}.")
    return "\n".join(lines)
