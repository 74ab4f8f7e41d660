"""Measures the cost of a put and of opening the register's row store, and the size of its files.

    python benchmarks/disk.py [FOLDER]

It measures after 10, 1,000 and 10,000 changes of a configuration of 60 kB (packed), and after 10,000
incarnations of machines, of which 2,000 are still listed as retired. It prints the processor time of this
process (ms), the bytes that it read and wrote, according to /proc/self/io, and the bytes of the files. The
time that the folder's disk takes to sync isn't counted.
"""

import os
import random
import sys
import tempfile
import time

sys.path[:0] = [os.path.join(os.path.dirname(__file__), "..")]

from honeywood.gateway.dissemination.retired_machines import MAX_RETIRED  # noqa: E402
from honeywood.gateway.register.row_store import RowStore  # noqa: E402

CONFIG_BYTES, NOTE_BYTES, PUTS = 60_000, 180, 50


def io():
    """Return the bytes that this process has read and written so far."""
    with open("/proc/self/io", encoding="ascii") as file:
        fields = dict(line.split(": ") for line in file.read().splitlines())
    return int(fields["rchar"]), int(fields["wchar"])


def cost(work, times):
    """Return the processor time in ms, the bytes read and the bytes written of each run of `work`."""
    read, written = io()
    began = time.process_time()
    for _ in range(times):
        work()
    took = time.process_time() - began
    after = io()
    return took * 1e3 / times, (after[0] - read) / times, (after[1] - written) / times


def report(label, disk, folder, change):
    """Measure puts and opens, print a line, and return the store that was opened last."""
    puts = cost(change, PUTS)
    disk.close()
    opened = []
    opens = cost(lambda: opened.append(RowStore(folder)), 5)
    size = sum(os.path.getsize(os.path.join(folder, name)) for name in os.listdir(folder))
    print(
        f"{label:32} put {puts[0]:6.2f} ms {puts[1] / 1e3:7.0f} kB read {puts[2] / 1e3:6.0f} kB written;"
        f" open {opens[0]:6.2f} ms {opens[1] / 1e3:7.0f} kB read; files {size / 1e3:7.0f} kB",
        flush=True,
    )
    return opened[-1]


def main(folder):
    """Print a line for each state of the store."""
    generator, disk = random.Random(1), RowStore(folder)
    count = [0]

    def text():
        return "".join(generator.choices("abcdefghijklmnopqrstuvwxyz", k=100)) * (CONFIG_BYTES // 100)

    def change():
        count[0] += 1
        row = [[count[0], "a"], [count[0], "a"], {"ver": count[0], "text": text()}]
        disk.put({"config": row})

    for after in (10, 1000, 10_000):
        while count[0] < after - PUTS if after > PUTS else count[0] < after:
            change()
        disk = report(f"after {after} changes", disk, folder, change)
    for incarnation in range(10_000):
        note = {f"note/i-{incarnation}": [[1, 0], "x" * NOTE_BYTES]}
        if incarnation > MAX_RETIRED:
            note[f"note/i-{incarnation - MAX_RETIRED}"] = None
        disk.put(note)
    disk = report("10000 incarnations: config", disk, folder, change)
    report("10000 incarnations: note", disk, folder, lambda: disk.put({"note/i": [[1, 0], "x" * NOTE_BYTES]}))


if __name__ == "__main__":
    if len(sys.argv) > 1:
        main(sys.argv[1])
    else:
        with tempfile.TemporaryDirectory() as folder:
            main(folder)
