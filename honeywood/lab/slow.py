"""Measures healthy clients beside slow peers: clients that read their responses a few bytes at a time, and
RPCs whose responses the server sends a few bytes at a time."""
import random
import select
import socket
import threading
import time
from collections import Counter

import numpy

from honeywood.lab.demo import TRACE
from honeywood.lab.world import World
from honeywood.standins.peer import rpc
from honeywood.standins.release import Load
from honeywood.trace.reader import Reader
from honeywood.trace.rules.summing import Summary

SERVERS, WORK_S = 4, 0.02
CLIENTS = 40                   # the healthy ones
LARGE_BYTES, READ_BYTES_PER_S = 60_000, 640     # size of the response that a slow client reads, and its rate
TRICKLE_BYTES_PER_S, SMALL_BYTES = 20, 2_000    # rate of a response that a server sends slowly, its size
PERCENTILES = 50, 95, 99, 99.9
SETTLING_S = 3.0               # in which the slow peers connect, before the measurement begins


class SlowPeers:
    """`count` clients that send requests repeatedly until stopped.

    Half of them read their responses slowly, the others request responses that the server sends slowly.
    `outcomes` counts the responses by kind of client and by status, or by how the connection ended."""

    def __init__(self, address, count, seed=7):
        self.address, self.stop_requested, self.outcomes = address, threading.Event(), Counter()
        self.threads = [threading.Thread(target=self.ask, args=(number, random.Random(f"{seed}/{number}")))
                        for number in range(count)]

    def __enter__(self):
        for thread in self.threads:
            thread.start()
        return self

    def __exit__(self, *_):
        self.stop_requested.set()
        for thread in self.threads:
            thread.join()

    def ask(self, number, rng):
        kind = ("reads", "trickled")[number % 2]
        response_field = (f"X-Answer: {LARGE_BYTES}/0" if kind == "reads"
                          else f"X-Answer: {SMALL_BYTES}/{TRICKLE_BYTES_PER_S}")
        turn = 0
        while not self.stop_requested.wait(rng.random()):
            turn += 1
            try:
                with socket.socket() as sock:
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
                    sock.settimeout(10)
                    sock.connect(self.address)
                    sock.sendall(rpc("GET", f"slow{number}-{turn}", "bin-lookup", 10, response_field))
                    self.read(sock, kind)
            except OSError:
                self.outcomes[kind, "ended"] += 1

    def read(self, sock, kind):
        first = sock.recv(64)
        self.outcomes[kind, first[9:12].decode() or "closed"] += 1
        while first and not self.stop_requested.wait(0.1 if kind == "reads" else 0):
            if select.select([sock], [], [], 0.2)[0] and not sock.recv(READ_BYTES_PER_S // 10):
                return


def measure(folder, rate, slow, seconds, record=False):
    """Returns a row of results: healthy RPCs at `rate` per second beside `slow` peers.

    With `record` a trace is recorded, and the row has the reasons for which RPCs were given up."""
    with World(folder, SERVERS, work=WORK_S) as world:
        world.start(TRACE.format(folder=world.folder / "trace") if record else None)
        with SlowPeers(world.listen, slow) as peers:
            time.sleep(SETTLING_S)
            before, _ = world.usage()
            responses = Load(world.listen, rate, CLIENTS, seconds).run()
            after, peak = world.usage()
            resource_counts = world.resource_counts()
        world.stop()
    ok_ms = [duration_s * 1000 for _, status, duration_s in responses if status == 200]
    return {"slow": slow, "rate": rate, "rpcs": len(responses), "ok": len(ok_ms) / len(responses),
            "pushed_back": sum(status == 503 for _, status, _ in responses) / len(responses),
            "quantiles": [float(numpy.percentile(ok_ms, percentile)) if ok_ms else None
                          for percentile in PERCENTILES],
            "cpu": (after - before) / seconds, "mb": peak,
            "descriptors": resource_counts[0], "threads": resource_counts[1],
            "slow_seen": {" ".join(key): count for key, count in sorted(peers.outcomes.items())},
            "given_up_since": give_up_reasons(world.folder / "trace")}


def give_up_reasons(folder):
    """Returns {reason: number of RPCs given up for it}, from the balancer's trace."""
    summary = Summary()
    for path in folder.glob("*.trace"):
        with Reader(path) as reader:
            for entry, columns in reader.blocks():
                summary.add(entry, columns)
    return summary.plain()["given_up_since"]


def rows(folder, rates, counts, seconds, turns, record):
    """Yields the rows of all combinations, `turns` times.

    The combinations alternate, so that a temporary disturbance of the machine affects all of them alike."""
    for turn in range(turns):
        for rate in rates:
            for count in counts:
                yield measure(f"{folder}/{turn}-{rate}-{count}", rate, count, seconds, record)


def format_table(results):
    """Returns the rows of results as a Markdown table."""
    head = ("slow peers", "RPCs/s", "ok", "pushed back", "p50 ms", "p95", "p99", "p99.9", "core", "MB",
            "descriptors", "threads")
    lines = [f"| {' | '.join(head)} |", "| --- " * len(head) + "|"]
    for row in results:
        cells = [row["slow"], f"{row['rate']:g}", f"{row['ok']:.4f}", f"{row['pushed_back']:.4f}",
                 *("-" if value is None else f"{value:.1f}" for value in row["quantiles"]),
                 f"{row['cpu']:.2f}", f"{row['mb']:.1f}", row["descriptors"], row["threads"]]
        lines.append(f"| {' | '.join(map(str, cells))} |")
    return "\n".join(lines)
