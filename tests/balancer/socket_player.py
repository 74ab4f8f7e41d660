"""Plays scenario files against the program itself, with stand-ins for all whom it speaks to."""

import copy
import json
import os
import select
import signal
import socket
import struct
import subprocess
import sys
import threading
import time

from honeywood.standins.control import DiscoveryStub, PlatformStub
from honeywood.standins.peer import Peer, health, read_message


class ScriptedServer(Peer):
    """Answers as its scenario says."""

    ANSWERS = {
        "ok": "200 OK\r\nX-Server-Load: active=1\r\nContent-Length: 2\r\n\r\nhi",
        "chunked": "200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nh\r\n1;x\r\ni\r\n0\r\nA: b\r\n\r\n",
        "last": "200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\nhi",
        "error": "500 Oh\r\nContent-Length: 0\r\n\r\n",
        "busy": "503 Oh\r\nContent-Length: 0\r\n\r\n",
        "full": "503 Full\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n",
        "moot": "504 Late\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n",
        "short": "200 OK\r\nContent-Length: 9\r\n\r\nhi",
        "endless": "200 OK\r\n\r\nhi",
        "garbage": "what?\r\n\r\n",
        "huge": "200 OK\r\nContent-Length: 3000000000\r\n\r\n" + "x" * 99,
        "more": "200 OK\r\nContent-Length: 2\r\n\r\nhiHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nho",
        "big": f"200 OK\r\nContent-Length: 400000\r\n\r\n{'x' * 400000}",
        "ahead": "100 Go on\r\n\r\nHTTP/1.1 103 Hint\r\nA: b\r\n\r\nHTTP/1.1 200 OK\r\n"
        "X-Server-Load: active=nan\r\nContent-Length: 2\r\n\r\nhi",
        "waits": "100 Go on\r\n\r\n" * 2000,
    }

    def __init__(self, build, how):
        super().__init__()
        self.build, self.how, self.seen, self.probes, self.gate = build, how, [], 0, threading.Event()
        if how == "unreachable":  # a full queue: connections neither come up nor are refused
            self.drop()
            self.sock = socket.create_server(("127.0.0.1", self.port()), backlog=0)
            for _ in range(3):
                self.sockets.append(socket.socket())
                self.sockets[-1].setblocking(False)
                self.sockets[-1].connect_ex(self.sock.getsockname())

    def serve(self, sock):
        got, rest = read_message(sock)
        while got:
            if got[0].startswith("GET /_load"):
                self.probes += 1
                sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\nactive=0")
            else:
                self.seen.append(got)
                how = self.how
                if how == "cut":
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                    return
                if how == "held":  # until the scenario lets it go
                    self.gate.wait(20)
                    how = "ok"
                if how == "halved":  # in two parts, the second once the first was surely read
                    sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nh")
                    time.sleep(0.1)
                    sock.sendall(b"i")
                elif how != "never":
                    sock.sendall(b"HTTP/1.1 " + self.ANSWERS[how].encode())
                if how in ("last", "short", "endless", "garbage"):
                    return
            got, rest = read_message(sock, rest)


CONFIGURATION = {
    "name": "n0",
    "seed": "8c1f30d27a5be964",
    "limits": {"sockets": 256},
    "pipeline": {"news": {"image": 1, "ring": 0, "progress": "stable", "ceiling": 1.0, "lag_ms": 9}},
    "settings": {
        "balancers": 1,
        "profiles": [
            {"name": "read", "idempotency": "safe", "aim_us": 1000000, "give_up_us": 4000000},
            {"name": "book", "idempotency": "unsafe", "aim_us": 1000000, "give_up_us": 4000000},
        ],
        "limits": {
            "max_attempts": 4,
            "cancel": True,
            "retry_after": True,
            "max_retry_after_us": 500000,
            "idle_close_us": 3000000,
            "may_duplicate": True,
            "probes": True,
        },
        "rules": {
            "cold_share": 0.4,
            "cold_us": 1000000,
            "tip_multiple": 2.5,
            "overload_for_us": 1000000,
            "drain_grace_us": 1000000,
        },
        "report": {"fields": ["active"], "source": "pull"},
        "zones": ["a"],
        "family_info": {
            "caps": [0.5, 1.0],
            "waves": [0.5, 1.0],
            "allowance": 2,
            "vote_wait_us": 300000,
            "exposure_window_us": 3000000,
            "ballot_ttl_us": 10000000,
        },
    },
}


class SocketPlayer:
    """Plays a scenario against the program itself, with stand-ins for all whom it speaks to. Lines are
    server NAME BUILD HOW [...]     a stand-in that answers so (ScriptedServer); `how NAME HOW` changes it
    set KEY.KEY JSON                a value of the configuration; `refused TEXT`: with it no start
    list NAME[-!] ...               the whole list, - draining; `change` tells changes only, ! removed
    start | stop SIGNAL             the program, until its health is 200; a signal to it
    ask NAME METHOD [TIMEOUT]       an RPC on a connection of its own; METHOD read is a GET, book a POST
    raw NAME TEXT                   bytes on a connection of their own, with Python's escapes
    tell TEXT | lists TEXT          what the platform says, and discovery, as it stands
    reply TEXT | welcome TEXT       how the platform answers votes, and those who subscribe
    crowd N                         connections that say nothing; crowded() of them are still open
    let NAME                        a server that held its answers lets them go
    moved | hup                     list and platform at new addresses, told by SIGHUP; SIGHUP alone
    drop WHO | back WHO             platform, discovery, server, or a client by its name; listens again
    until WHAT | expect WHAT        a Python expression, that becomes true within 15 s, or is true
    """

    count = 0

    def __init__(self, folder):
        SocketPlayer.count += 1
        pid = os.getpid()  # an address of its own, so that its port is free
        self.listen = f"127.{1 + pid % 200}.{pid // 200 % 250}.{SocketPlayer.count}", 9000
        self.folder, self.config, self.process = folder, copy.deepcopy(CONFIGURATION), None
        self.servers, self.answers, self.clients, self.files = {}, {}, {}, []
        self.discovery, self.platform, self.known = DiscoveryStub(), PlatformStub(), []
        self.left = ()  # where list and platform were before they moved

    def line(self, verb, rest):
        whole = verb in ("until", "expect", "tell", "lists", "refused")
        words = [rest] if whole else rest.split(None, 1 if verb in ("raw", "set") else -1)
        getattr(self, "do_" + verb)(*words)

    def do_server(self, name, build, how, *more):
        self.servers[name] = ScriptedServer(int(build), how)
        if more:
            self.do_server(*more)

    def do_how(self, name, how):
        self.servers[name].how = how

    def do_set(self, path, value):
        *path, last = path.split(".")
        part = self.config
        for key in path:
            part = part.setdefault(key, {})
        part[last] = json.loads(value)

    def entries(self, words):
        phases = {"-": "draining", "!": "removed"}
        return [
            {
                "id": w.rstrip("-!"),
                "host_port": self.servers[w.rstrip("-!")].address,
                "locality": "a",
                "cell": 1,
                "phase": phases.get(w[-1], "up"),
                "size": 1.0,
                "up_since_ms": 0,
                "release": self.servers[w.rstrip("-!")].build,
            }
            for w in words
        ]

    def do_list(self, *words, whole=True):
        self.known = self.entries(words)
        self.discovery.revision += 1
        if self.process:
            self.do_until("discovery.watchers")
            self.do_lists(
                json.dumps({"revision": self.discovery.revision, "complete": whole, "members": self.known})
            )
            self.do_until(f'"revision={self.discovery.revision} " in log()')  # so the next RPC comes after

    def do_change(self, *words):
        self.do_list(*words, whole=False)

    def do_lists(self, text):
        self.discovery.send_update(text)

    def do_tell(self, text):
        self.do_until("platform.subscribers")
        self.platform.subscribers[-1].sendall(f"* {text}\r\n".encode())

    def do_reply(self, *words):
        self.platform.reply = " ".join(words)

    def do_welcome(self, *words):
        self.platform.subscribe_reply = " ".join(words)

    def write(self):
        self.config.update(listen=f"{self.listen[0]}:{self.listen[1]}", discovery=self.discovery.address)
        self.config["pipeline"].setdefault("address", self.platform.address)
        self.config.setdefault("known", {"revision": 1, "complete": True, "members": self.known})
        (self.folder / "config.json").write_text(json.dumps(self.config))

    def spawn(self):
        self.write()
        path, log = self.folder / "config.json", open(self.folder / "log", "ab")
        self.files.append(log)
        return subprocess.Popen(
            [sys.executable, "-m", "honeywood"],
            stdout=log,
            stderr=log,
            env={**os.environ, "ROUTER_CONFIG": str(path)},
        )

    def do_start(self):
        self.process = self.spawn()
        self.do_until("health() == 200")

    def do_refused(self, text):
        self.process = self.spawn()
        assert self.process.wait(15) == 2, self.log()
        assert self.log().splitlines()[-1:] == [f"honeywood: {text}"], self.log()
        self.config = copy.deepcopy(CONFIGURATION)

    def do_moved(self):
        self.left = self.discovery, self.platform
        self.discovery, self.platform = DiscoveryStub(), PlatformStub()
        self.discovery.revision, self.platform.reply = self.left[0].revision, self.left[1].reply
        self.config["pipeline"]["address"] = self.platform.address
        self.do_hup()

    def do_hup(self):
        self.write()
        self.process.send_signal(signal.SIGHUP)

    def do_stop(self, name):
        self.process.send_signal(getattr(signal, name))

    def log(self):
        return (self.folder / "log").read_text()

    def status(self, name):
        got = self.answers.get(name)
        return int(got[0].split()[1]) if got else None

    def talk(self, name, data):
        """Sends, and keeps the answers until the connection ends: NAME, NAME.2, NAME.3, NAME.end."""
        sock = self.clients[name] = socket.create_connection(self.listen, 15)

        def read():
            rest, number = b"", 0
            try:
                while (found := read_message(sock, rest))[0]:
                    number += 1
                    rest = found[1]
                    self.answers[f"{name}.{number}" if number > 1 else name] = found[0]
            except OSError:
                pass
            self.answers[f"{name}.end"] = None

        sock.sendall(data)
        threading.Thread(target=read, daemon=True).start()

    def do_ask(self, name, method, timeout="4"):
        first = "GET /api?x=1" if method == "read" else "POST /api"
        body = "" if method == "read" else "text"
        self.talk(
            name,
            f"{first} HTTP/1.1\r\nHOST: x\r\nX-Request-ID: id-{name}\r\nX-Timeout: {timeout}\r\n"
            f"x-priority-class: {method}\r\nContent-Length: {len(body)}\r\n\r\n{body}".encode(),
        )

    def do_raw(self, name, text=""):
        self.talk(name, text.encode().decode("unicode_escape").encode("latin-1"))

    def do_crowd(self, size):
        self.crowd = [socket.create_connection(self.listen, 15) for _ in range(int(size))]

    def crowded(self):
        return len(self.crowd) - len(select.select(self.crowd, [], [], 0)[0])

    def who(self, name):
        return {"platform": self.platform, "discovery": self.discovery}.get(name) or self.servers.get(name)

    def do_drop(self, name):
        if name in self.clients:
            self.clients[name].shutdown(socket.SHUT_RDWR)
        else:
            self.who(name).drop()

    def do_back(self, name):
        self.who(name).listen()

    def do_let(self, name):
        self.servers[name].gate.set()

    def health(self):
        return health(self.listen)

    def true(self, what):
        names = dict(
            status=self.status,
            health=self.health,
            discovery=self.discovery,
            log=self.log,
            platform=self.platform,
            left=self.left,
            answers=self.answers,
            process=self.process,
            ended=lambda n: f"{n}.end" in self.answers,
            picks=lambda n: len(self.servers[n].seen),
            seen=lambda n: self.servers[n].seen,
            crowded=self.crowded,
            probes=lambda n: self.servers[n].probes,
            held=lambda: len(os.listdir(f"/proc/{self.process.pid}/fd")),
            threads=lambda: len(os.listdir(f"/proc/{self.process.pid}/task")),
        )
        return eval(what, names)

    def state(self):
        answers = {name: got and got[0] for name, got in self.answers.items()}
        return f"answers {answers}, votes {self.platform.votes}, log {self.log()[-2000:]}"

    def do_expect(self, what):
        assert self.true(what), self.state()

    def do_until(self, what):
        until = time.monotonic() + 15
        while not self.true(what):
            assert time.monotonic() < until, "never: " + self.state()
            time.sleep(0.01)

    def end(self):
        for peer in (self.discovery, self.platform, *self.left, *self.servers.values()):
            try:
                peer.drop()
            except OSError:
                pass  # dropped by the scenario
        if self.process and self.process.poll() is None:
            self.process.kill()
        for file in self.files:
            file.close()


def play(path, folder):
    player = SocketPlayer(folder)
    try:
        for number, text in enumerate(path.read_text().splitlines(), 1):
            if text.strip() and not text.startswith("#"):
                try:
                    verb, _, rest = text.strip().partition(" ")
                    player.line(verb, rest.strip())
                except Exception as error:
                    raise AssertionError(f"{path.name}:{number}: {text}: {error!r}") from error
    finally:
        player.end()
