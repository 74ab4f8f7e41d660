"""Healthy clients beside slow peers: clients that read their answers a few bytes at a time, and RPCs whose
answers trickle."""
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

SERVERS, WORK = 4, 0.02        # servers, and seconds that they need
CLIENTS = 40                   # healthy
LARGE, READ = 60_000, 640      # bytes of an answer, and read of it in a second by a slow client
TRICKLE, SMALL = 20, 2_000     # bytes a second of an answer that trickles, of so many
SHARES = 50, 95, 99, 99.9
SETTLE = 3.0                   # seconds in which the slow peers come, before anything is counted


class SlowPeers:
    """`count` peers, each asking again and again until stopped: half read slowly, half ask for what
    trickles."""

    def __init__(self, address, count, seed=7):
        self.address, self.over, self.seen = address, threading.Event(), Counter()
        self.threads = [threading.Thread(target=self.ask, args=(n, random.Random(f"{seed}/{n}")))
                        for n in range(count)]

    def __enter__(self):
        for thread in self.threads:
            thread.start()
        return self

    def __exit__(self, *_):
        self.over.set()
        for thread in self.threads:
            thread.join()

    def ask(self, number, chance):
        kind = ("reads", "trickled")[number % 2]
        answer = f"X-Answer: {LARGE}/0" if kind == "reads" else f"X-Answer: {SMALL}/{TRICKLE}"
        turn = 0
        while not self.over.wait(chance.random()):
            turn += 1
            try:
                with socket.socket() as sock:
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
                    sock.settimeout(10)
                    sock.connect(self.address)
                    sock.sendall(rpc("GET", f"slow{number}-{turn}", "bin-lookup", 10, answer))
                    self.read(sock, kind)
            except OSError:
                self.seen[kind, "ended"] += 1

    def read(self, sock, kind):
        first = sock.recv(64)
        self.seen[kind, first[9:12].decode() or "closed"] += 1
        while first and not self.over.wait(0.1 if kind == "reads" else 0):
            if select.select([sock], [], [], 0.2)[0] and not sock.recv(READ // 10):
                return


def one(folder, rate, slow, seconds, record=False):
    """A row: healthy RPCs at `rate` a second beside `slow` peers; with a trace why some were given up."""
    with World(folder, SERVERS, work=WORK) as world:
        world.start(TRACE.format(folder=world.folder / "trace") if record else None)
        with SlowPeers(world.listen, slow) as peers:
            time.sleep(SETTLE)
            before, _ = world.spent()
            answers = Load(world.listen, rate, CLIENTS, seconds).run()
            after, peak = world.spent()
            held = world.held()
        world.stop()
    ok = [took * 1000 for _, status, took in answers if status == 200]
    return {"slow": slow, "rate": rate, "rpcs": len(answers), "ok": len(ok) / len(answers),
            "pushed_back": sum(status == 503 for _, status, _ in answers) / len(answers),
            "quantiles": [float(numpy.percentile(ok, share)) if ok else None for share in SHARES],
            "cpu": (after - before) / seconds, "mb": peak, "descriptors": held[0], "threads": held[1],
            "slow_seen": {" ".join(key): count for key, count in sorted(peers.seen.items())},
            "given_up_since": reasons(world.folder / "trace")}


def reasons(folder):
    """{reason: RPCs given up for it}, by a front's trace."""
    found = Summary()
    for path in folder.glob("*.trace"):
        with Reader(path) as reader:
            for entry, columns in reader.blocks():
                found.add(entry, columns)
    return found.plain()["given_up_since"]


def rows(folder, rates, counts, seconds, turns, record):
    """Rows in turn, so that a moment of the machine meets all of them."""
    for turn in range(turns):
        for rate in rates:
            for count in counts:
                yield one(f"{folder}/{turn}-{rate}-{count}", rate, count, seconds, record)


def format_table(found):
    head = ("slow peers", "RPCs/s", "ok", "pushed back", "p50 ms", "p95", "p99", "p99.9", "core", "MB",
            "descriptors", "threads")
    lines = [f"| {' | '.join(head)} |", "| --- " * len(head) + "|"]
    for row in found:
        cells = [row["slow"], f"{row['rate']:g}", f"{row['ok']:.4f}", f"{row['pushed_back']:.4f}",
                 *("-" if value is None else f"{value:.1f}" for value in row["quantiles"]),
                 f"{row['cpu']:.2f}", f"{row['mb']:.1f}", row["descriptors"], row["threads"]]
        lines.append(f"| {' | '.join(map(str, cells))} |")
    return "\n".join(lines)
