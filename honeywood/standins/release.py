"""A platform that takes a release through its steps by the votes it gets, servers that do the work, and the
load."""
import json
import random
import socket
import threading
import time

from honeywood.standins.control import DiscoveryStub, PlatformStub
from honeywood.standins.peer import Peer, read_message, rpc


def customer_of_client(client):
    """The customer that the load's client of this number says it asks for."""
    return f"carrier-{client % 5}"


class Platform(PlatformStub):
    """One front votes: `go` takes the next step once the last has stood for `bake` seconds, `stop` goes
    back."""

    def __init__(self, caps, bake):
        super().__init__()
        self.caps, self.bake, self.since = caps, bake, time.monotonic()
        self.build, self.step, self.standing, self.history = 1, len(caps) - 1, "stable", []

    def state(self):
        cap = {"canary": self.caps[self.step], "reverting": 0.0}.get(self.standing, 1.0)
        return f"{self.build} {self.step} {self.standing} {cap} 1"

    def change(self, build, step, standing):
        self.build, self.step, self.standing, self.since = build, step, standing, time.monotonic()
        self.history.append((build, step, standing))
        for sock in self.subscribers:
            sock.sendall(f"* stage {self.state()}\r\n".encode())

    def serve(self, sock):
        for line in sock.makefile("rb"):
            if line == b"NOTIFY\r\n":
                sock.sendall(b"OK\r\n")
                self.subscribers.append(sock)
                continue
            build, step, verdict = line.decode().split()[1:]
            self.votes.append((int(build), int(step), verdict))
            if (int(build), int(step), self.standing) == (self.build, self.step, "canary"):
                if verdict == "stop":
                    self.change(self.build, self.step, "reverting")
                elif verdict == "go" and time.monotonic() - self.since >= self.bake:
                    last = self.step + 1 == len(self.caps)
                    self.change(self.build, self.step + (not last), "stable" if last else "canary")
            sock.sendall(f"OK {self.state()}\r\n".encode())


class Worker(Peer):
    """A server that needs `work` seconds an RPC, in the mean, and fails a share of them."""

    def __init__(self, name, build, work, failing=0.0, seed=0):
        self.name, self.build, self.mean_work_s, self.failing = name, build, work, failing
        self.random, self.active, self.ran = random.Random(seed), 0, 0
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
                time.sleep(self.random.expovariate(1 / self.mean_work_s) if self.mean_work_s else 0)
                self.active, self.ran = self.active - 1, self.ran + 1
                status = "500 Oh" if self.random.random() < self.failing else "200 OK"
                size, _, rate = got[1].get("x-answer", "2/0").partition("/")
                answer = (f"HTTP/1.1 {status}\r\nX-Server-Load: active={max(0, self.active)}\r\n"
                          f"Content-Length: {size}\r\n\r\n{'x' * int(size)}").encode()
                if int(rate):
                    answer = self.trickle(sock, answer, int(rate))
            sock.sendall(answer)
            got, rest = read_message(sock, rest)

    def trickle(self, sock, answer, rate):
        """Writes an answer at so many bytes a second, as long as somebody reads it; what is left is b""."""
        for at in range(0, len(answer), max(1, rate // 5)):
            sock.sendall(answer[at:at + max(1, rate // 5)])
            time.sleep(0.2)
        return b""

    def entry(self, phase="up"):
        return {"id": self.name, "host_port": self.address, "locality": "a", "cell": 1, "phase": phase,
                "size": 1.0, "up_since_ms": self.started_at_ms, "release": self.build}


class Discovery(DiscoveryStub):
    def publish(self, entries):
        self.revision += 1
        text = json.dumps({"revision": self.revision, "complete": True, "members": entries})
        if self.watchers:
            self.send_update(text)
        return {"revision": self.revision, "complete": True, "members": entries}


class Load:
    """RPCs at a rate, by so many clients that keep their connections. `answers`: (method, status,
    seconds)."""

    METHODS = ("bin-lookup", "GET"), ("bin-lookup", "GET"), ("route-plan", "GET"), ("bag-assign", "POST")

    def __init__(self, address, rate, clients, seconds, seed=1):
        self.address, self.gap, self.until = address, clients / rate, time.monotonic() + seconds
        self.answers, self.threads = [], []
        for n in range(clients):
            self.threads.append(threading.Thread(target=self.ask, args=(n, random.Random(f"{seed}/{n}"))))

    def run(self):
        for thread in self.threads:
            thread.start()
        for thread in self.threads:
            thread.join()
        return self.answers

    def ask(self, client, chance):
        sock, rest, number = None, b"", 0
        due = time.monotonic() + chance.random() * self.gap
        while due < self.until:
            time.sleep(max(0, due - time.monotonic()))
            due += self.gap * (0.5 + chance.random())
            number += 1
            method, verb = self.METHODS[chance.randrange(len(self.METHODS))]
            began = time.monotonic()
            try:
                if sock is None:
                    sock, rest = socket.create_connection(self.address, 10), b""
                    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                sock.sendall(rpc(verb, f"c{client}-{number}", method, 2,
                                 f"X-Tenant-Id: {customer_of_client(client)}",
                                 f"X-Route-Key: {chance.randrange(10**9):09d}"))
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
