"""Runs scenario files against the program, with stand-ins for discovery, the platform and the servers."""

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
    """A server whose kind of response the scenario sets.

    Besides RESPONSES: `reset` resets the connection, `blocked` waits for the command `unblock` and then acts
    as `ok`, `two_parts` sends the body in two parts, `none` never responds, and `unreachable` accepts no
    connection.
    """

    RESPONSES = {
        "ok": "200 OK\r\nX-Server-Load: active=1\r\nContent-Length: 2\r\n\r\nhi",
        "chunked": "200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nh\r\n1;x\r\ni\r\n0\r\nA: b\r\n\r\n",
        "connection_close": "200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\nhi",
        "error": "500 Oh\r\nContent-Length: 0\r\n\r\n",
        "unmarked_503": "503 Oh\r\nContent-Length: 0\r\n\r\n",
        "full": "503 Full\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n",
        "expired": "504 Late\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n",
        "truncated": "200 OK\r\nContent-Length: 9\r\n\r\nhi",
        "undelimited": "200 OK\r\n\r\nhi",
        "malformed": "what?\r\n\r\n",
        "oversized": "200 OK\r\nContent-Length: 3000000000\r\n\r\n" + "x" * 99,
        "extra_bytes": "200 OK\r\nContent-Length: 2\r\n\r\nhiHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nho",
        "large": f"200 OK\r\nContent-Length: 400000\r\n\r\n{'x' * 400000}",
        "interim": "100 Go on\r\n\r\nHTTP/1.1 103 Hint\r\nA: b\r\n\r\nHTTP/1.1 200 OK\r\n"
        "X-Server-Load: active=nan\r\nContent-Length: 2\r\n\r\nhi",
        "interim_flood": "100 Go on\r\n\r\n" * 2000,
    }

    def __init__(self, build, response):
        super().__init__()
        self.build, self.response, self.requests, self.probes, self.unblocked = (
            build,
            response,
            [],
            0,
            threading.Event(),
        )
        # With a full accept queue, connections are neither established nor refused.
        if response == "unreachable":
            self.drop()
            self.sock = socket.create_server(("127.0.0.1", self.port()), backlog=0)
            for _ in range(3):
                self.sockets.append(socket.socket())
                self.sockets[-1].setblocking(False)
                self.sockets[-1].connect_ex(self.sock.getsockname())

    def serve(self, sock):
        request, rest = read_message(sock)
        while request:
            if request[0].startswith("GET /_load"):
                self.probes += 1
                sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\nactive=0")
            else:
                self.requests.append(request)
                response = self.response
                if response == "reset":
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                    return
                if response == "blocked":  # until the scenario unblocks it
                    self.unblocked.wait(20)
                    response = "ok"
                if response == "two_parts":  # the second after the balancer has had time to read the first
                    sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nh")
                    time.sleep(0.1)
                    sock.sendall(b"i")
                elif response != "none":
                    sock.sendall(b"HTTP/1.1 " + self.RESPONSES[response].encode())
                if response in ("connection_close", "truncated", "undelimited", "malformed"):
                    return
            request, rest = read_message(sock, rest)


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
    """Runs a scenario against the program. The commands of a scenario are:
    server NAME BUILD RESPONSE ...  start stand-in servers (ScriptedServer)
    respond NAME RESPONSE           change the kind of response of a server
    set KEY.KEY JSON                set a value of the configuration
    rejects TEXT                    start with this configuration; the program must exit with this error
    list NAME[-] ...                send the complete server list; - marks a draining server
    change NAME[-!] ...             send changes of the list; ! marks a removed server
    start | signal SIGNAL           start the program and wait until it is healthy; send it a signal
    request NAME METHOD [TIMEOUT]   send an RPC on a new connection; METHOD read is a GET, book a POST
    raw NAME TEXT                   send bytes on a new connection, with Python's escapes
    platform_sends TEXT             send a notification of the platform
    discovery_sends TEXT            send a line of discovery
    vote_reply TEXT                 set the platform's answer to votes
    subscribe_reply TEXT            set the platform's answer to subscriptions
    connect N                       open connections that send nothing; connected() of them are still open
    unblock NAME                    let a `blocked` server respond
    change_addresses                restart discovery and the platform at new addresses, and reload
    reload                          write the configuration and send SIGHUP
    drop PEER | listen PEER         disconnect platform, discovery, a server or a client; listen again
    until EXPRESSION                wait up to 15 s until a Python expression is true
    expect EXPRESSION               require that a Python expression is true
    """

    count = 0

    def __init__(self, folder):
        SocketPlayer.count += 1
        pid = os.getpid()  # a unique loopback address, so that its port is free
        self.listen = f"127.{1 + pid % 200}.{pid // 200 % 250}.{SocketPlayer.count}", 9000
        self.folder, self.config, self.process = folder, copy.deepcopy(CONFIGURATION), None
        self.servers, self.answers, self.clients, self.files = {}, {}, {}, []
        self.discovery, self.platform, self.known = DiscoveryStub(), PlatformStub(), []
        self.previous_peers = ()  # discovery and platform before change_addresses

    def run_command(self, verb, rest):
        is_one_argument = verb in ("until", "expect", "platform_sends", "discovery_sends", "rejects")
        words = [rest] if is_one_argument else rest.split(None, 1 if verb in ("raw", "set") else -1)
        getattr(self, "do_" + verb)(*words)

    def do_server(self, name, build, response, *further):
        self.servers[name] = ScriptedServer(int(build), response)
        if further:
            self.do_server(*further)

    def do_respond(self, name, response):
        self.servers[name].response = response

    def do_set(self, path, value):
        *path, last = path.split(".")
        part = self.config
        for key in path:
            part = part.setdefault(key, {})
        part[last] = json.loads(value)

    def list_entries(self, words):
        phases = {"-": "draining", "!": "removed"}
        return [
            {
                "id": word.rstrip("-!"),
                "host_port": self.servers[word.rstrip("-!")].address,
                "locality": "a",
                "cell": 1,
                "phase": phases.get(word[-1], "up"),
                "size": 1.0,
                "up_since_ms": 0,
                "release": self.servers[word.rstrip("-!")].build,
            }
            for word in words
        ]

    def do_list(self, *words, complete=True):
        self.known = self.list_entries(words)
        self.discovery.revision += 1
        if self.process:
            self.do_until("discovery.watchers")
            self.do_discovery_sends(
                json.dumps({"revision": self.discovery.revision, "complete": complete, "members": self.known})
            )
            self.do_until(f'"revision={self.discovery.revision} " in log()')  # before the next RPC is sent

    def do_change(self, *words):
        self.do_list(*words, complete=False)

    def do_discovery_sends(self, text):
        self.discovery.send_update(text)

    def do_platform_sends(self, text):
        self.do_until("platform.subscribers")
        self.platform.subscribers[-1].sendall(f"* {text}\r\n".encode())

    def do_vote_reply(self, *words):
        self.platform.reply = " ".join(words)

    def do_subscribe_reply(self, *words):
        self.platform.subscribe_reply = " ".join(words)

    def write_configuration(self):
        self.config.update(listen=f"{self.listen[0]}:{self.listen[1]}", discovery=self.discovery.address)
        self.config["pipeline"].setdefault("address", self.platform.address)
        self.config.setdefault("known", {"revision": 1, "complete": True, "members": self.known})
        (self.folder / "config.json").write_text(json.dumps(self.config))

    def spawn(self):
        self.write_configuration()
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

    def do_rejects(self, text):
        self.process = self.spawn()
        assert self.process.wait(15) == 2, self.log()
        assert self.log().splitlines()[-1:] == [f"honeywood: {text}"], self.log()
        self.config = copy.deepcopy(CONFIGURATION)

    def do_change_addresses(self):
        self.previous_peers = self.discovery, self.platform
        self.discovery, self.platform = DiscoveryStub(), PlatformStub()
        self.discovery.revision, self.platform.reply = (
            self.previous_peers[0].revision,
            self.previous_peers[1].reply,
        )
        self.config["pipeline"]["address"] = self.platform.address
        self.do_reload()

    def do_reload(self):
        self.write_configuration()
        self.process.send_signal(signal.SIGHUP)

    def do_signal(self, name):
        self.process.send_signal(getattr(signal, name))

    def log(self):
        return (self.folder / "log").read_text()

    def status(self, name):
        answer = self.answers.get(name)
        return int(answer[0].split()[1]) if answer else None

    def send_and_collect(self, name, data):
        """Send bytes, and store the answers until the connection ends: NAME, NAME.2, NAME.3, NAME.end."""
        sock = self.clients[name] = socket.create_connection(self.listen, 15)

        def read():
            rest, number = b"", 0
            try:
                while (received := read_message(sock, rest))[0]:
                    number += 1
                    rest = received[1]
                    self.answers[f"{name}.{number}" if number > 1 else name] = received[0]
            except OSError:
                pass
            self.answers[f"{name}.end"] = None

        sock.sendall(data)
        threading.Thread(target=read, daemon=True).start()

    def do_request(self, name, method, timeout="4"):
        first = "GET /api?x=1" if method == "read" else "POST /api"
        body = "" if method == "read" else "text"
        self.send_and_collect(
            name,
            f"{first} HTTP/1.1\r\nHOST: x\r\nX-Request-ID: id-{name}\r\nX-Timeout: {timeout}\r\n"
            f"x-priority-class: {method}\r\nContent-Length: {len(body)}\r\n\r\n{body}".encode(),
        )

    def do_raw(self, name, text=""):
        self.send_and_collect(name, text.encode().decode("unicode_escape").encode("latin-1"))

    def do_connect(self, size):
        self.connections = [socket.create_connection(self.listen, 15) for _ in range(int(size))]

    def connected(self):
        return len(self.connections) - len(select.select(self.connections, [], [], 0)[0])

    def find_peer(self, name):
        return {"platform": self.platform, "discovery": self.discovery}.get(name) or self.servers.get(name)

    def do_drop(self, name):
        if name in self.clients:
            self.clients[name].shutdown(socket.SHUT_RDWR)
        else:
            self.find_peer(name).drop()

    def do_listen(self, name):
        self.find_peer(name).listen()

    def do_unblock(self, name):
        self.servers[name].unblocked.set()

    def health(self):
        return health(self.listen)

    def evaluate(self, expression):
        names = dict(
            status=self.status,
            health=self.health,
            discovery=self.discovery,
            log=self.log,
            platform=self.platform,
            previous_peers=self.previous_peers,
            answers=self.answers,
            process=self.process,
            ended=lambda name: f"{name}.end" in self.answers,
            attempts=lambda name: len(self.servers[name].requests),
            requests=lambda name: self.servers[name].requests,
            connected=self.connected,
            probes=lambda name: self.servers[name].probes,
            descriptors=lambda: len(os.listdir(f"/proc/{self.process.pid}/fd")),
            threads=lambda: len(os.listdir(f"/proc/{self.process.pid}/task")),
        )
        return eval(expression, names)

    def describe_state(self):
        answers = {name: answer and answer[0] for name, answer in self.answers.items()}
        return f"answers {answers}, votes {self.platform.votes}, log {self.log()[-2000:]}"

    def do_expect(self, expression):
        assert self.evaluate(expression), self.describe_state()

    def do_until(self, expression):
        deadline = time.monotonic() + 15
        while not self.evaluate(expression):
            assert time.monotonic() < deadline, "timeout: " + self.describe_state()
            time.sleep(0.01)

    def shut_down(self):
        for peer in (self.discovery, self.platform, *self.previous_peers, *self.servers.values()):
            try:
                peer.drop()
            except OSError:
                pass  # already dropped by the scenario
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
                    player.run_command(verb, rest.strip())
                except Exception as error:
                    raise AssertionError(f"{path.name}:{number}: {text}: {error!r}") from error
    finally:
        player.shut_down()
