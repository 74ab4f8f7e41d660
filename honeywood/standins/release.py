"""A platform that advances a release by the votes it receives, servers that execute RPCs, and a load
generator."""
import json
import random
import socket
import threading
import time

from honeywood.standins.control import DiscoveryStub, PlatformStub
from honeywood.standins.peer import Peer, read_message, rpc


def customer_of_client(client):
    """Return the customer name that the load client of this number sends in X-Tenant-Id."""
    return f"carrier-{client % 5}"


class Platform(PlatformStub):
    """A platform with one voting balancer.

    `go` starts the next step of the release once the current one has lasted for `bake_s` seconds; `stop`
    rolls the release back.

    Attributes:
        traffic_caps: the share of traffic that the new build may get in each step.
        since: when the current step or state began, by the monotonic clock.
        release_state: "stable", "canary" or "reverting".
        history: (build, step, release state) of each change.
    """

    def __init__(self, traffic_caps, bake_s):
        super().__init__()
        self.traffic_caps, self.bake_s, self.since = traffic_caps, bake_s, time.monotonic()
        self.build, self.step, self.release_state, self.history = 1, len(traffic_caps) - 1, "stable", []

    def encode_state(self):
        """Return the state of the release as the platform's protocol writes it."""
        cap = {"canary": self.traffic_caps[self.step], "reverting": 0.0}.get(self.release_state, 1.0)
        return f"{self.build} {self.step} {self.release_state} {cap} 1"

    def change(self, build, step, release_state):
        """Enter a new state and send it to all subscribers."""
        self.build, self.step, self.release_state, self.since = build, step, release_state, time.monotonic()
        self.history.append((build, step, release_state))
        for sock in self.subscribers:
            sock.sendall(f"* stage {self.encode_state()}\r\n".encode())

    def serve(self, sock):
        for line in sock.makefile("rb"):
            if line == b"NOTIFY\r\n":
                sock.sendall(b"OK\r\n")
                self.subscribers.append(sock)
                continue
            build, step, verdict = line.decode().split()[1:]
            self.votes.append((int(build), int(step), verdict))
            if (int(build), int(step), self.release_state) == (self.build, self.step, "canary"):
                if verdict == "stop":
                    self.change(self.build, self.step, "reverting")
                elif verdict == "go" and time.monotonic() - self.since >= self.bake_s:
                    last = self.step + 1 == len(self.traffic_caps)
                    self.change(self.build, self.step + (not last), "stable" if last else "canary")
            sock.sendall(f"OK {self.encode_state()}\r\n".encode())


class Worker(Peer):
    """A server that processes each RPC for `mean_work_s` seconds on average and fails a share of them.

    Attributes:
        active: the number of RPCs in progress.
        completed: the number of RPCs completed.
    """

    def __init__(self, name, build, mean_work_s, failing_share=0.0, seed=0):
        self.name, self.build, self.mean_work_s, self.failing_share = name, build, mean_work_s, failing_share
        self.generator, self.active, self.completed = random.Random(seed), 0, 0
        self.started_at_ms = int(time.time() * 1000)
        super().__init__()

    def serve(self, sock):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        got, rest = read_message(sock)
        while got:
            if got[0].startswith("GET /_load"):
                answer = b"HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\nactive=0"
            else:
                self.active += 1
                time.sleep(self.generator.expovariate(1 / self.mean_work_s) if self.mean_work_s else 0)
                self.active, self.completed = self.active - 1, self.completed + 1
                status = "500 Oh" if self.generator.random() < self.failing_share else "200 OK"
                size, _, rate = got[1].get("x-answer", "2/0").partition("/")
                answer = (f"HTTP/1.1 {status}\r\nX-Server-Load: active={max(0, self.active)}\r\n"
                          f"Content-Length: {size}\r\n\r\n{'x' * int(size)}").encode()
                if int(rate):
                    answer = self.send_slowly(sock, answer, int(rate))
            sock.sendall(answer)
            got, rest = read_message(sock, rest)

    def send_slowly(self, sock, answer, rate):
        """Send a response at `rate` bytes per second.

        Returns:
            The rest to send, which is always empty.

        Raises:
            OSError: the client closed the connection.
        """
        for offset in range(0, len(answer), max(1, rate // 5)):
            sock.sendall(answer[offset:offset + max(1, rate // 5)])
            time.sleep(0.2)
        return b""

    def entry(self, phase="up"):
        """Return this server's entry in the server list of discovery."""
        return {"id": self.name, "host_port": self.address, "locality": "a", "cell": 1, "phase": phase,
                "size": 1.0, "up_since_ms": self.started_at_ms, "release": self.build}


class Discovery(DiscoveryStub):
    """Sends server lists with a new revision each."""

    def publish(self, entries):
        """Send a complete list to the watcher that connected last, if any, and return the list."""
        self.revision += 1
        text = json.dumps({"revision": self.revision, "complete": True, "members": entries})
        if self.watchers:
            self.send_update(text)
        return {"revision": self.revision, "complete": True, "members": entries}


class Load:
    """Sends RPCs for a number of seconds, from clients that reuse their connections.

    Attributes:
        interval: the mean time between two RPCs of a client, in seconds.
        ends_at: when the clients stop, by the monotonic clock.
        answers: (method, status, latency in seconds) of each RPC; status 0 if it got no response.
    """

    METHODS = ("bin-lookup", "GET"), ("bin-lookup", "GET"), ("route-plan", "GET"), ("bag-assign", "POST")

    def __init__(self, address, rate, clients, seconds, seed=1):
        self.address, self.interval, self.ends_at = address, clients / rate, time.monotonic() + seconds
        self.answers, self.threads = [], []
        for n in range(clients):
            self.threads.append(threading.Thread(target=self.run_client,
                                                 args=(n, random.Random(f"{seed}/{n}"))))

    def run(self):
        """Run all clients to their end and return the answers."""
        for thread in self.threads:
            thread.start()
        for thread in self.threads:
            thread.join()
        return self.answers

    def run_client(self, client, generator):
        """Send RPCs, one at a time and at random intervals, until the load ends."""
        sock, rest, number = None, b"", 0
        due = time.monotonic() + generator.random() * self.interval
        while due < self.ends_at:
            time.sleep(max(0, due - time.monotonic()))
            due += self.interval * (0.5 + generator.random())
            number += 1
            method, verb = self.METHODS[generator.randrange(len(self.METHODS))]
            began = time.monotonic()
            try:
                if sock is None:
                    sock, rest = socket.create_connection(self.address, 10), b""
                    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                sock.sendall(rpc(verb, f"c{client}-{number}", method, 2,
                                 f"X-Tenant-Id: {customer_of_client(client)}",
                                 f"X-Route-Key: {generator.randrange(10**9):09d}"))
                got, rest = read_message(sock, rest)
            except OSError:
                got = None
            status = int(got[0].split()[1]) if got else 0
            self.answers.append((method, status, time.monotonic() - began))
            if not got or got[1].get("connection") == "close":
                if sock:
                    sock.close()
                sock = None
        if sock:
            sock.close()
