"""Plays scenario files: a front of its own, answers that follow a script, and what must have come of it.

A line is one of
    given NAME VALUE ...            settings; methods are listed as name=kind/soft/deadline/utility (ms)
    MS given NAME VALUE ...         those of a restart
    MS list a/1 b/1 c/2@MS d/1-     the whole list: server/build, @ its start, - draining
    MS change a/1 c/2               changes only
    MS news BUILD STEP CAP [STANDING] [stale]
    MS answer PATTERN RESULT MS     from now on picks matching PATTERN (server, /build or method) end so;
                                    RESULT may be OTHER:N for every Nth, ok else; "never" leaves
                                    them out; "trickled" is ok, and the first of it comes at once
    MS rpc NAME METHOD [DEADLINE [KEY]]   one RPC
    MS waited NAME METHOD WAITED    one that has waited for the front for so long
    MS flow UNTIL EVERY METHOD [CUSTOMER]   a stream of them
    MS wrong SERVER METHOD N        so many wrong answers are reported
    MS tally BUILD METHOD FAILED ENDED MS   what the platform counted until 1500 ms ago
    MS restart                      a new front with the last list
    MS expect WHAT                  a Python expression over the names bound in Play.expect
"""

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
from heapq import heappop, heappush

from honeywood.balancer.decisions.balancer import Balancer
from honeywood.balancer.model import (
    UNKNOWN_START,
    AttemptResult,
    Exclusion,
    GiveUpReason,
    Idempotency,
    Method,
    PlatformCounts,
    ReleaseState,
    ReleaseUpdate,
    Rpc,
    Server,
    ServerEntry,
    ServerStatus,
    Vote,
)
from honeywood.balancer.settings import Settings
from standins.control import DiscoveryStand, PlatformStand
from standins.peer import Peer, health, message

RESULTS = {
    "error": AttemptResult.ERROR,
    "ok": AttemptResult.OK,
    "trickled": AttemptResult.OK,
    "full": AttemptResult.FULL,
    "timeout": AttemptResult.TIMEOUT,
    "unconnected": AttemptResult.CONNECT_FAILED,
    "reset": AttemptResult.RESET,
    "moot": AttemptResult.EXPIRED,
}
MS = 10


class Play:
    def __init__(self):
        self.given = dict(
            seed=7,
            clock_resolution=50,
            zone=0,
            balancers=2,
            balancer_index=0,
            max_attempts=4,
            may_duplicate=True,
            may_cancel=True,
            may_probe=False,
            max_retry_after=10000,
            list_on_request=False,
            ask_within=100000,
            cold_capacity_share=0.4,
            warm_up_time=40000,
            overload_multiple=2.5,
            overload_window=20000,
            load_report_fields=(),
            cross_zone_price=0.0,
            probe_price=0.0,
            caps=[0.1, 0.5, 1.0],
            waves=[0.1, 0.4, 1.0],
            exposure_allowance=2,
            exposure_window=30000,
            exposure_per_method=False,
            guarded_steps=0,
            one_way=False,
            vote_rule="any",
            rollback_votes=1,
            proceed_votes=1,
            vote_ttl=60000,
            vote_timeout=12000,
            platform_counts_period=0,
        )
        self.methods, self.servers, self.rpcs, self.answers = {}, {}, {}, []
        self.queue, self.order, self.now = [], 0, 0
        self.sends, self.votes, self.pushed, self.aborted, self.watches = [], [], [], [], 0
        self.balancer, self.reply, self.lines, self.probes = None, "ok", [], 0
        self.observer, self.excluded, self.found = self, {}, []

    # What the front asks of its host.
    def send(self, attempt, until):
        self.sends.append(attempt)
        assert sum(a.result is None for a in attempt.rpc.attempts) == 1 or self.given["may_duplicate"]
        for pattern, result, after in reversed(self.answers):
            names = (self.name(attempt.server), f"/{attempt.server.build}", self.method(attempt.rpc), "*")
            if pattern in names:
                kind, _, every = result.partition(":")
                picked = (
                    sum(a.server.build == attempt.server.build for a in self.sends) % int(every or 1) == 0
                )
                if kind == "trickled":
                    self.at(1, lambda a: self.balancer.on_response_started(self.now, a), attempt)
                if kind != "never" or not picked:
                    return self.at(after, self.end, attempt, RESULTS[kind if picked else "ok"], after)
                break
        self.at(until - self.now, self.end, attempt, AttemptResult.TIMEOUT, until - self.now)

    def reject(self, rpc, retry_after):
        assert rpc not in self.pushed + self.aborted, "two final answers"
        self.pushed.append(rpc)

    def abort(self, rpc):
        assert rpc not in self.pushed + self.aborted, "two final answers"
        self.aborted.append(rpc)

    def cancel(self, attempt):
        self.at(1, self.end, attempt, AttemptResult.CANCELLED, 1)

    def probe(self, server):
        self.probes += 1

    def wake_after(self, delay):
        balancer = self.balancer
        self.at(delay, lambda: balancer.on_timer(self.now) if balancer is self.balancer else None)

    def vote(self, build, step, vote):
        self.votes.append((build, step, vote))
        if self.reply != "never":
            self.at(
                500,
                lambda: self.balancer.on_vote_answered(
                    self.now, ReleaseUpdate(build, *self.stands) if self.reply == "ok" else None
                ),
            )

    def watch_servers(self):
        self.watches += 1

    def log(self, text):
        self.lines.append(text)

    # What the decisions tell of their reasons (interface.Observer).
    def considered(self, rpc, server, exclusion):
        self.excluded.setdefault(id(rpc), []).append((self.name(server), exclusion))

    def considered_all(self, rpc, servers, exclusions):
        for server, exclusion in zip(servers, exclusions):
            self.considered(rpc, server, exclusion)

    def tested(self, now, results):
        self.found = results

    # The script's side.
    def at(self, after, call, *values):
        self.order += 1
        heappush(self.queue, (self.now + max(1, int(after)), self.order, call, values))

    def run(self, until):
        while self.queue and self.queue[0][0] <= until:
            self.now, _, call, values = heappop(self.queue)
            call(*values)
        self.now = until

    def end(self, attempt, result, latency):
        if attempt.result is None:
            final = result == AttemptResult.OK or attempt.rpc.done
            self.balancer.on_result(self.now, attempt, result, latency, (), final)

    def name(self, server):
        return next(n for n, s in self.servers.items() if s is server)

    def method(self, rpc):
        return next(n for n, m in self.methods.items() if m is rpc.method)

    def line(self, verb, *words):
        if verb == "given":
            self.do_given(*words)
        elif verb == "methods":
            for place, (name, kind, soft, deadline, utility) in enumerate(w.split("/") for w in words):
                self.methods[name] = Method(
                    idempotency=Idempotency(kind),
                    latency_target=int(soft) * MS,
                    target_per_work=0,
                    timeout=int(deadline) * MS,
                    index=place,
                    utility=float(utility),
                    late_utility=0,
                    dedup_scope="all",
                    dedup_window=80000,
                )
        else:
            until = int(verb) * MS
            if self.balancer is None:
                self.start()
            self.run(until)
            getattr(self, "do_" + words[0])(*words[1:])

    def start(self):
        settings = Settings(methods=list(self.methods.values()), **self.given)
        self.balancer = Balancer(settings, self)
        self.balancer.on_start(self.now)

    def do_given(self, *words):
        for name, value in zip(words[::2], words[1::2]):
            self.given[name] = eval(value)

    def do_list(self, *words, whole=True):
        lines = []
        for word in words:
            name, _, rest = word.partition("/")
            build, _, boot = rest.rstrip("-").partition("@")
            server = self.servers.setdefault(name, Server())
            booted = int(boot) * MS if boot else UNKNOWN_START
            status = ServerStatus.DRAINING if "-" in rest else ServerStatus.READY
            lines.append(ServerEntry(server, int(build), 0, 0, 1.0, status, booted))
        self.balancer.on_server_list(self.now, lines, whole)

    def do_change(self, *words):
        self.do_list(*words, whole=False)

    def do_failed(self):
        self.balancer.on_server_list_failed(self.now)

    def do_news(self, build, step, cap, standing="0", result="ok"):
        self.stands = (int(step), float(cap), ReleaseState(int(standing)), 0)
        if result == "ok":
            self.balancer.on_release_update(self.now, ReleaseUpdate(int(build), *self.stands))

    def do_replies(self, result):
        self.reply = result

    def do_answer(self, pattern, result, after):
        self.answers.append((pattern, result, int(after) * MS))

    def do_wrong(self, server, method, times):
        for _ in range(int(times)):
            self.balancer.on_wrong_answer(self.now, self.servers[server], self.methods[method])

    def do_tally(self, build, method, failed, ended, mean):
        counts = int(failed), int(ended), int(mean) * MS
        told = PlatformCounts(int(build), self.methods[method], *counts, 1500 * MS)
        self.balancer.on_platform_counts(self.now, told)

    def do_rpc(self, name, method, deadline=None, key=None, customer=0, waited=0):
        kind, taken = self.methods[method], self.now - int(waited) * MS
        rpc = self.rpcs[name] = Rpc(
            method=kind,
            tenant=customer,
            key=int(key or len(self.rpcs) + 1000),
            arrived_at=taken,
            deadline=taken + (int(deadline) * MS if deadline else kind.timeout),
        )
        self.balancer.on_request(self.now, rpc)

    def do_waited(self, name, method, waited):
        self.do_rpc(name, method, waited=waited)

    def do_flow(self, until, every, method, customer=0):
        for at in range(self.now, int(until) * MS, int(every) * MS):
            name = f"{method}{at}{every}"
            self.at(at - self.now, lambda n: self.do_rpc(n, method, customer=int(customer)), name)

    def do_restart(self):
        for server in self.servers.values():
            server.status, server.in_flight = ServerStatus.GONE, 0
        self.rpcs, self.queue = {}, []
        self.start()

    def do_expect(self, *words):
        names = dict(
            pushes=len(self.pushed),
            votes=self.votes,
            release=self.balancer.release,
            watches=self.watches,
            log=self.lines,
            probes=self.probes,
            pushes_of=[sum(r.tenant == c for r in self.pushed) for c in (0, 1)],
            on=lambda n: [self.name(p.server) for p in self.rpcs[n].attempts],
            closed=lambda: self.balancer.reject_connections_until > self.now,
            pushed=lambda n: self.rpcs[n] in self.pushed,
            aborted=lambda n: self.rpcs[n] in self.aborted,
            exclusions=lambda n: dict(self.excluded.get(id(self.rpcs[n]), ())),
            Exclusion=Exclusion,
            GiveUpReason=GiveUpReason,
            Vote=Vote,
            why=lambda n: self.rpcs[n].give_up_reason,
            found=self.found,
            ended=lambda n: self.rpcs[n].done,
            sent=self.sent,
            most=self.most,
            unended=[n for n, r in self.rpcs.items() if not r.done],
        )
        text = " ".join(words)
        assert eval(text, names), f"at {self.now // MS} ms: {text}; votes {self.votes[-4:]}, log {self.lines}"

    def sent(self, who, since=0, method=None):
        """How many picks a server or a /build got since a time in ms."""
        return sum(
            p.sent_at >= since * MS
            and who in (self.name(p.server), f"/{p.build}")
            and method in (None, self.method(p.rpc))
            for p in self.sends
        )

    def most(self, who, window):
        """The most picks that a server or a /build got in any window of so many ms."""
        times = [p.sent_at for p in self.sends if who in (self.name(p.server), f"/{p.build}")]
        return max((sum(t <= u <= t + window * MS for u in times) for t in times), default=0)


def play(path):
    game = Play()
    for number, text in enumerate(path.read_text().splitlines(), 1):
        words = text.split("#")[0].split()
        if words:
            try:
                game.line(*words)
            except Exception as wrong:
                raise AssertionError(f"{path.name}:{number}: {text}: {wrong}") from wrong


class ServerStand(Peer):
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
                self.open.append(socket.socket())
                self.open[-1].setblocking(False)
                self.open[-1].connect_ex(self.sock.getsockname())

    def serve(self, sock):
        got, rest = message(sock)
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
            got, rest = message(sock, rest)


CONFIG = {
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


class Sockets:
    """Plays a scenario against the program itself, with stand-ins for all whom it speaks to. Lines are
    server NAME BUILD HOW [...]     a stand-in that answers so (ServerStand); `how NAME HOW` changes it
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
        Sockets.count += 1
        pid = os.getpid()  # an address of its own, so that its port is free
        self.listen = f"127.{1 + pid % 200}.{pid // 200 % 250}.{Sockets.count}", 9000
        self.folder, self.config, self.process = folder, copy.deepcopy(CONFIG), None
        self.servers, self.answers, self.clients, self.files = {}, {}, {}, []
        self.discovery, self.platform, self.known = DiscoveryStand(), PlatformStand(), []
        self.left = ()  # where list and platform were before they moved

    def line(self, verb, rest):
        whole = verb in ("until", "expect", "tell", "lists", "refused")
        words = [rest] if whole else rest.split(None, 1 if verb in ("raw", "set") else -1)
        getattr(self, "do_" + verb)(*words)

    def do_server(self, name, build, how, *more):
        self.servers[name] = ServerStand(int(build), how)
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
            self.do_until("discovery.watching")
            self.do_lists(
                json.dumps({"revision": self.discovery.revision, "complete": whole, "members": self.known})
            )
            self.do_until(f'"revision={self.discovery.revision} " in log()')  # so the next RPC comes after

    def do_change(self, *words):
        self.do_list(*words, whole=False)

    def do_lists(self, text):
        self.discovery.tell(text)

    def do_tell(self, text):
        self.do_until("platform.told")
        self.platform.told[-1].sendall(f"* {text}\r\n".encode())

    def do_reply(self, *words):
        self.platform.reply = " ".join(words)

    def do_welcome(self, *words):
        self.platform.welcome = " ".join(words)

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
        self.config = copy.deepcopy(CONFIG)

    def do_moved(self):
        self.left = self.discovery, self.platform
        self.discovery, self.platform = DiscoveryStand(), PlatformStand()
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
                while (found := message(sock, rest))[0]:
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


def play_sockets(path, folder):
    game = Sockets(folder)
    try:
        for number, text in enumerate(path.read_text().splitlines(), 1):
            if text.strip() and not text.startswith("#"):
                try:
                    verb, _, rest = text.strip().partition(" ")
                    game.line(verb, rest.strip())
                except Exception as wrong:
                    raise AssertionError(f"{path.name}:{number}: {text}: {wrong!r}") from wrong
    finally:
        game.end()
