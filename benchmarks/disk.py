"""What a put and an open of the register's disk cost after changes and lives of machines, and its files.

    python benchmarks/disk.py [FOLDER]

After 10, 1,000 and 10,000 changes of a configuration of 60 kB packed, and after 10,000 lives of machines of
which 2,000 are still told of: processor time of this process (ms), bytes read and written, by its own
account in /proc/self/io, and bytes of the files. The folder's disk syncs as it does; its time isn't counted.
"""

import os
import random
import sys
import tempfile
import time

sys.path[:0] = [os.path.join(os.path.dirname(__file__), "..")]

from honeywood.gateway.dissemination.retired_machines import MAX_RETIRED  # noqa: E402
from honeywood.gateway.register.row_store import RowStore  # noqa: E402

CONFIG, NOTE, PUTS = 60_000, 180, 50


def io():
    with open("/proc/self/io", encoding="ascii") as file:
        fields = dict(line.split(": ") for line in file.read().splitlines())
    return int(fields["rchar"]), int(fields["wchar"])


def cost(work, times):
    """Milliseconds of processor time, bytes read and written a time."""
    read, written = io()
    began = time.process_time()
    for _ in range(times):
        work()
    took = time.process_time() - began
    after = io()
    return took * 1e3 / times, (after[0] - read) / times, (after[1] - written) / times


def line(what, disk, folder, change):
    puts = cost(change, PUTS)
    disk.close()
    opened = []
    opens = cost(lambda: opened.append(RowStore(folder)), 5)
    size = sum(os.path.getsize(os.path.join(folder, name)) for name in os.listdir(folder))
    print(
        f"{what:32} put {puts[0]:6.2f} ms {puts[1] / 1e3:7.0f} kB read {puts[2] / 1e3:6.0f} kB written;"
        f" open {opens[0]:6.2f} ms {opens[1] / 1e3:7.0f} kB read; files {size / 1e3:7.0f} kB",
        flush=True,
    )
    return opened[-1]


def main(folder):
    draw, disk = random.Random(1), RowStore(folder)
    count = [0]

    def text():
        return "".join(draw.choices("abcdefghijklmnopqrstuvwxyz", k=100)) * (CONFIG // 100)

    def change():
        count[0] += 1
        held = [[count[0], "a"], [count[0], "a"], {"ver": count[0], "text": text()}]
        disk.put({"config": held})

    for after in (10, 1000, 10_000):
        while count[0] < after - PUTS if after > PUTS else count[0] < after:
            change()
        disk = line(f"after {after} changes", disk, folder, change)
    for life in range(10_000):
        note = {f"note/i-{life}": [[1, 0], "x" * NOTE]}
        if life > MAX_RETIRED:
            note[f"note/i-{life - MAX_RETIRED}"] = None
        disk.put(note)
    disk = line("and 10000 lives: config", disk, folder, change)
    line("and 10000 lives: a note", disk, folder, lambda: disk.put({"note/i": [[1, 0], "x" * NOTE]}))


if __name__ == "__main__":
    if len(sys.argv) > 1:
        main(sys.argv[1])
    else:
        with tempfile.TemporaryDirectory() as place:
            main(place)
