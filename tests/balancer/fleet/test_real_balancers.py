"""Tests a few real balancer processes with the same servers: all are killed and restarted, then reconfigured,
at the same time. Discovery refuses most calls, and the servers accept few connections. The servers record
which RPCs ran."""

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

from honeywood.standins.control import DiscoveryStub
from honeywood.standins.peer import health, read_message, rpc
from honeywood.standins.release import Platform, Worker

BALANCERS, SERVERS, MAX_CONNECTIONS = 4, 6, 3
TIMEOUT_S = 30  # of every wait for a state


class LimitedServer(Worker):
    """Accepts MAX_CONNECTIONS and rejects RPCs on others. `request_ids` are the RPCs that it ran."""

    def __init__(self, name):
        self.request_ids, self.connections, self.lock, self.unresponsive = (
            [],
            0,
            threading.Lock(),
            threading.Event(),
        )
        super().__init__(name, 1, 0.01)

    def serve(self, sock):
        with self.lock:
            self.connections += 1
            full = self.connections > MAX_CONNECTIONS
        try:
            got, rest = read_message(sock)
            while got:
                if got[0].startswith("GET /_load"):
                    sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\nactive=0")
                    got, rest = read_message(sock, rest)
                    continue
                if self.unresponsive.is_set():
                    return self.ignore_until_end(sock)
                if full:
                    return sock.sendall(
                        b"HTTP/1.1 503 Full\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n"
                        b"Connection: close\r\n\r\n"
                    )
                with self.lock:
                    self.request_ids.append(got[1]["x-request-id"])
                time.sleep(self.generator.expovariate(1 / self.mean_work_s))
                sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi")
                got, rest = read_message(sock, rest)
        finally:
            with self.lock:
                self.connections -= 1

    def ignore_until_end(self, sock):
        while sock.recv(65536):
            pass


class RefusingDiscovery(DiscoveryStub):
    """Accepts every third call."""

    def __init__(self):
        self.calls = 0
        super().__init__()

    def serve(self, sock):
        self.calls += 1
        if self.calls % 3:
            read_message(sock)
            return sock.sendall(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
        super().serve(sock)


class Deployment:
    def __init__(self, folder):
        self.folder, self.workers = folder, [LimitedServer(f"s{n}") for n in range(SERVERS)]
        self.discovery, self.platform, self.replaced = RefusingDiscovery(), Platform([0.5, 1.0], 1.0), []
        self.addresses, self.balancers = [], [None] * BALANCERS
        for _ in range(BALANCERS):
            with socket.create_server(("127.0.0.1", 0)) as free:
                self.addresses.append(free.getsockname())
        self.answers, self.killed, self.stopping = {}, set(), threading.Event()
        self.threads = [
            threading.Thread(target=self.send_requests, args=(n, random.Random(n)))
            for n in range(BALANCERS * 3)
        ]

    def entries(self):
        return [{**worker.entry(), "up_since_ms": 0} for worker in self.workers]

    def configure(self, number):
        config = json.loads(json.dumps(CONFIGURATION))
        config.update(
            name=f"n{number}",
            seed=f"{number:x}",
            listen="{}:{}".format(*self.addresses[number]),
            discovery=self.discovery.address,
            known={"revision": 1, "complete": True, "members": self.entries()},
        )
        config["pipeline"]["address"] = self.platform.address
        config["settings"].update(balancers=BALANCERS, me=number, registry_mode="ask")
        (self.folder / f"{number}.json").write_text(json.dumps(config))

    def start(self):
        for number in range(BALANCERS):
            self.configure(number)
            with open(self.folder / f"{number}.log", "ab") as log:
                self.balancers[number] = subprocess.Popen(
                    [sys.executable, "-m", "honeywood"],
                    stdout=log,
                    stderr=log,
                    env={**os.environ, "ROUTER_CONFIG": str(self.folder / f"{number}.json")},
                )
        self.wait_until(lambda: all(health(address) == 200 for address in self.addresses))

    def wait_until(self, condition):
        give_up_at = time.monotonic() + TIMEOUT_S
        while not condition():
            assert time.monotonic() < give_up_at, self.logs()[-3000:]
            time.sleep(0.01)

    def logs(self):
        return "".join((self.folder / f"{n}.log").read_text() for n in range(BALANCERS))

    def wait_for_answers(self, count):
        """Waits until `count` more RPCs are answered."""
        answered = len(self.answers)
        self.wait_until(lambda: len(self.answers) >= answered + count)

    def send_requests(self, client, random_source):
        """Sends one RPC after another, each on a new connection; all data until its end is the answer. RPCs
        that reached no balancer, or whose balancer was killed meanwhile, are not recorded."""
        request_number, number = 0, client % BALANCERS
        while not self.stopping.wait(random_source.random() * 0.04):  # between two of a client's RPCs
            request_number += 1
            name, is_booking = f"c{client}-{request_number}", random_source.random() < 0.5
            process, data = self.balancers[number], b""
            verb, method = ("POST", "book") if is_booking else ("GET", "read")
            try:
                sock = socket.create_connection(self.addresses[number], 10)
            except OSError:
                time.sleep(0.02)  # the balancer is starting
                continue
            with sock:
                try:
                    sock.sendall(rpc(verb, name, method, 4, "Connection: close"))
                    while received := sock.recv(65536):
                        data += received
                except OSError:
                    pass  # the connection was closed without a complete answer
            if data or process not in self.killed:
                self.answers[name] = is_booking, data

    def __enter__(self):
        self.start()
        for thread in self.threads:
            thread.start()
        return self

    def __exit__(self, *_):
        self.stopping.set()
        for thread in self.threads:
            thread.join()
        for balancer in self.balancers:
            if balancer.poll() is None:
                balancer.kill()
        for peer in (self.discovery, self.platform, *self.replaced, *self.workers):
            peer.drop()


def test_balancers_killed_reconfigured_and_stopped_at_the_same_time(tmp_path):
    with Deployment(tmp_path) as deployment:
        deployment.wait_for_answers(200)
        deployment.killed.update(deployment.balancers)
        for balancer in deployment.balancers:
            balancer.kill()
        for balancer in deployment.balancers:  # a client must not mistake one that is ending for the next one
            balancer.wait()
        deployment.start()
        # Every balancer gets its list, although discovery refuses two of three calls.
        deployment.wait_until(lambda: len(deployment.discovery.watchers) >= BALANCERS)
        deployment.wait_for_answers(200)
        # A third of the servers becomes unresponsive and recovers.
        for worker in deployment.workers[:2]:
            worker.unresponsive.set()
        deployment.wait_for_answers(100)
        for worker in deployment.workers[:2]:
            worker.unresponsive.clear()
        deployment.replaced = [deployment.discovery, deployment.platform]
        deployment.discovery, deployment.platform = RefusingDiscovery(), Platform([0.5, 1.0], 1.0)
        deployment.discovery.revision = deployment.replaced[0].revision
        for number, balancer in enumerate(deployment.balancers):
            deployment.configure(number)
            balancer.send_signal(signal.SIGHUP)
        deployment.wait_until(
            lambda: len(deployment.discovery.watchers) >= BALANCERS
            and len(deployment.platform.subscribers) >= BALANCERS
        )
        deployment.wait_for_answers(200)
        deployment.stopping.set()
        for thread in deployment.threads:
            thread.join()
        for balancer in deployment.balancers:
            balancer.terminate()
        assert [balancer.wait(TIMEOUT_S) for balancer in deployment.balancers] == [
            0
        ] * BALANCERS, deployment.logs()[-3000:]
        ran = [name for worker in deployment.workers for name in worker.request_ids]
    assert len(deployment.answers) >= 700
    statuses = {name: data[9:12] for name, (_, data) in deployment.answers.items()}
    unexpected = {
        name: deployment.answers[name]
        for name, got in statuses.items()
        if got not in (b"200", b"502", b"503")
    }
    assert not unexpected, (unexpected, deployment.logs()[-3000:])
    for name, (is_booking, data) in deployment.answers.items():
        assert data.count(b"HTTP/1.1 ") == 1, (name, data)
        if is_booking:
            assert ran.count(name) <= 1, name
        if statuses[name] == b"200":
            assert name in ran
        if is_booking and statuses[name] == b"503":
            assert name not in ran, "rejected, but had run"
    # No non-idempotent RPC ran twice, including those whose balancer was killed meanwhile.
    assert not [name for name in set(ran) if ran.count(name) > 1 and deployment.answers.get(name, (True,))[0]]
    assert sum(status == b"200" for status in statuses.values()) > 300
