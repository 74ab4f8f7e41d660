"""A few real fronts before the same servers: killed and restarted at once, moved at once, before a discovery
that refuses most calls and servers that hold few connections. The servers' own records say what ran."""

import json
import os
import random
import signal
import socket
import subprocess
import sys
import threading
import time

from socket_player import CONFIGURATION

from honeywood.standins.control import DiscoveryStand
from honeywood.standins.peer import health, message, rpc
from honeywood.standins.release import Platform, Worker

FRONTS, SERVERS, CONNECTIONS = 4, 6, 3
WITHIN = 30  # seconds, until a state that is waited for must have come


class FewConnections(Worker):
    """Holds so many connections; what comes on others it turns away. `ids` are the RPCs that it ran."""

    def __init__(self, name):
        self.ids, self.held, self.lock, self.silent = [], 0, threading.Lock(), threading.Event()
        super().__init__(name, 1, 0.01)

    def serve(self, sock):
        with self.lock:
            self.held += 1
            full = self.held > CONNECTIONS
        try:
            got, rest = message(sock)
            while got:
                if got[0].startswith("GET /_load"):
                    sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\nactive=0")
                    got, rest = message(sock, rest)
                    continue
                if self.silent.is_set():
                    return self.silent_until_end(sock)
                if full:
                    return sock.sendall(
                        b"HTTP/1.1 503 Full\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n"
                        b"Connection: close\r\n\r\n"
                    )
                with self.lock:
                    self.ids.append(got[1]["x-request-id"])
                time.sleep(self.chance.expovariate(1 / self.work))
                sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi")
                got, rest = message(sock, rest)
        finally:
            with self.lock:
                self.held -= 1

    def silent_until_end(self, sock):
        while sock.recv(65536):
            pass


class Refusing(DiscoveryStand):
    """Takes every third call."""

    def __init__(self):
        self.calls = 0
        super().__init__()

    def serve(self, sock):
        self.calls += 1
        if self.calls % 3:
            message(sock)
            return sock.sendall(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
        super().serve(sock)


class Hall:
    def __init__(self, folder):
        self.folder, self.workers = folder, [FewConnections(f"s{n}") for n in range(SERVERS)]
        self.discovery, self.platform, self.left = Refusing(), Platform([0.5, 1.0], 1.0), []
        self.listens, self.fronts = [], [None] * FRONTS
        for _ in range(FRONTS):
            with socket.create_server(("127.0.0.1", 0)) as free:
                self.listens.append(free.getsockname())
        self.answers, self.killed, self.over = {}, set(), threading.Event()
        self.threads = [
            threading.Thread(target=self.ask, args=(n, random.Random(n))) for n in range(FRONTS * 3)
        ]

    def entries(self):
        return [{**worker.entry(), "up_since_ms": 0} for worker in self.workers]

    def configure(self, number):
        config = json.loads(json.dumps(CONFIGURATION))
        config.update(
            name=f"n{number}",
            seed=f"{number:x}",
            listen="{}:{}".format(*self.listens[number]),
            discovery=self.discovery.address,
            known={"revision": 1, "complete": True, "members": self.entries()},
        )
        config["pipeline"]["address"] = self.platform.address
        config["settings"].update(balancers=FRONTS, me=number, registry_mode="ask")
        (self.folder / f"{number}.json").write_text(json.dumps(config))

    def start(self):
        for number in range(FRONTS):
            self.configure(number)
            with open(self.folder / f"{number}.log", "ab") as log:
                self.fronts[number] = subprocess.Popen(
                    [sys.executable, "-m", "honeywood"],
                    stdout=log,
                    stderr=log,
                    env={**os.environ, "ROUTER_CONFIG": str(self.folder / f"{number}.json")},
                )
        self.until(lambda: all(health(listen) == 200 for listen in self.listens))

    def until(self, what):
        by = time.monotonic() + WITHIN
        while not what():
            assert time.monotonic() < by, self.logs()[-3000:]
            time.sleep(0.01)

    def logs(self):
        return "".join((self.folder / f"{n}.log").read_text() for n in range(FRONTS))

    def more(self, count):
        """Waits until so many more RPCs have their answer."""
        now = len(self.answers)
        self.until(lambda: len(self.answers) >= now + count)

    def ask(self, client, chance):
        """One RPC after another, each on a connection of its own: what comes until its end is all its answer.
        Of those that found no front, or whose front was killed under them, nothing is kept."""
        turn, front = 0, client % FRONTS
        while not self.over.wait(chance.random() * 0.04):  # between two of a client's RPCs
            turn += 1
            name, book = f"c{client}-{turn}", chance.random() < 0.5
            process, data = self.fronts[front], b""
            verb, method = ("POST", "book") if book else ("GET", "read")
            try:
                sock = socket.create_connection(self.listens[front], 10)
            except OSError:
                time.sleep(0.02)  # it is being started
                continue
            with sock:
                try:
                    sock.sendall(rpc(verb, name, method, 4, "Connection: close"))
                    while some := sock.recv(65536):
                        data += some
                except OSError:
                    pass  # a connection that breaks is no answer
            if data or process not in self.killed:
                self.answers[name] = book, data

    def __enter__(self):
        self.start()
        for thread in self.threads:
            thread.start()
        return self

    def __exit__(self, *_):
        self.over.set()
        for thread in self.threads:
            thread.join()
        for front in self.fronts:
            if front.poll() is None:
                front.kill()
        for peer in (self.discovery, self.platform, *self.left, *self.workers):
            peer.drop()


def test_fronts_killed_moved_and_stopped_all_at_once(tmp_path):
    with Hall(tmp_path) as hall:
        hall.more(200)
        hall.killed.update(hall.fronts)
        for front in hall.fronts:
            front.kill()
        for front in hall.fronts:  # else a client may reach one that is ending, and take it for the next
            front.wait()
        hall.start()
        # Each front has its list from a discovery that refuses two calls of three.
        hall.until(lambda: len(hall.discovery.watching) >= FRONTS)
        hall.more(200)
        # A third of the servers falls silent, and comes back.
        for worker in hall.workers[:2]:
            worker.silent.set()
        hall.more(100)
        for worker in hall.workers[:2]:
            worker.silent.clear()
        hall.left = [hall.discovery, hall.platform]
        hall.discovery, hall.platform = Refusing(), Platform([0.5, 1.0], 1.0)
        hall.discovery.revision = hall.left[0].revision
        for number, front in enumerate(hall.fronts):
            hall.configure(number)
            front.send_signal(signal.SIGHUP)
        hall.until(lambda: len(hall.discovery.watching) >= FRONTS and len(hall.platform.told) >= FRONTS)
        hall.more(200)
        hall.over.set()
        for thread in hall.threads:
            thread.join()
        for front in hall.fronts:
            front.terminate()
        assert [front.wait(WITHIN) for front in hall.fronts] == [0] * FRONTS, hall.logs()[-3000:]
        ran = [name for worker in hall.workers for name in worker.ids]
    assert len(hall.answers) >= 700
    statuses = {name: data[9:12] for name, (_, data) in hall.answers.items()}
    odd = {name: hall.answers[name] for name, got in statuses.items() if got not in (b"200", b"502", b"503")}
    assert not odd, (odd, hall.logs()[-3000:])
    for name, (book, data) in hall.answers.items():
        assert data.count(b"HTTP/1.1 ") == 1, (name, data)
        if book:
            assert ran.count(name) <= 1, name
        if statuses[name] == b"200":
            assert name in ran
        if book and statuses[name] == b"503":
            assert name not in ran, "pushed back, and had run"
    # No id of a non-idempotent RPC ran twice, also of those whose front was killed under them.
    assert not [name for name in set(ran) if ran.count(name) > 1 and hall.answers.get(name, (True,))[0]]
    assert sum(status == b"200" for status in statuses.values()) > 300
