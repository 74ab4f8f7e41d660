"""What only sockets show: a real proxy on loopback between a raw client and a scripted machine."""

import asyncio
import json

from ports import free_port
from timeline import config
from ward import each, test

from honeywood.gateway.configuration.settings import read
from honeywood.gateway.proxy.program import Proxy
from honeywood.gateway.rpc.server import HttpServer
from honeywood.lab.emulator.boot import boot

HEAD = b"HTTP/1.1 200 OK\r\nX-Try-Id: %s\r\nX-Seal: s\r\nContent-Length: 2\r\n\r\n"
GET = b"GET /p0/a%%2Fb?c HTTP/1.1\r\nHost: h.example\r\nX-Try-Id: %s\r\nX-Deadline-Ms: 600\r\n\r\n"


class Machine:
    """Answers by a script: one function of (try id, writer) a request, the last for all that follow."""

    def __init__(self, *script):
        self.script, self.seen, self.accepted = list(script), [], 0

    async def open(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def serve(self, reader, writer):
        self.accepted += 1
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                fields = dict(line.lower().split(b": ", 1) for line in head.split(b"\r\n")[1:] if line)
                body = await reader.readexactly(int(fields.get(b"content-length", b"0")))
                self.seen.append((head, fields, body))
                step = self.script.pop(0) if len(self.script) > 1 else self.script[0]
                await step(fields[b"x-try-id"], writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()


async def ok(id, writer):
    writer.write(HEAD % id + b"ok")


async def cut(id, writer):
    writer.write(HEAD % id + b"o")
    writer.close()


async def close(id, writer):
    writer.close()


async def stranger(id, writer):
    writer.write(HEAD % b"other" + b"no")


async def twice(id, writer):
    writer.write(HEAD % id + b"ok" + HEAD % id + b"no")


CHUNKED = (
    b"HTTP/1.1 200 OK\r\nX-Try-Id: %s\r\nX-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n%s\r\n0\r\n\r\n"
)


async def chunked(id, writer):
    writer.write(CHUNKED % (id, b"ok"))


async def chunked_twice(id, writer):
    writer.write(CHUNKED % (id, b"ok") + CHUNKED % (id, b"no"))


async def sealless(id, writer):
    writer.write(b"HTTP/1.1 200 OK\r\nX-Try-Id: %s\r\nContent-Length: 2\r\n\r\nno" % id)


async def noise(id, writer):
    writer.write(b"\x00\x01 this is no answer\r\n\r\n")


async def full(id, writer):
    writer.write(b"HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nX-Try-Id: %s\r\nContent-Length: 0\r\n\r\n" % id)


async def other(id, writer):
    writer.write(
        b"HTTP/1.1 421 Misdirected\r\nX-Try-Id: %s\r\nX-Instance: i-9\r\nContent-Length: 0\r\n\r\n" % id
    )


async def full_late(id, writer):
    await full(b"other", writer)


async def other_late(id, writer):
    await other(b"other", writer)


async def endless(id, writer):
    writer.write(b"HTTP/1.1 200 OK\r\nX-Try-Id: %s\r\nX-Seal: s\r\n\r\nno" % id)
    writer.close()


async def sick(id, writer):
    writer.write(b"HTTP/1.1 500 Error\r\nX-Try-Id: %s\r\nX-Seal: s\r\nContent-Length: 2\r\n\r\nno" % id)


async def silent_503(id, writer):
    writer.write(b"HTTP/1.1 503 Busy\r\nX-Try-Id: %s\r\nContent-Length: 0\r\n\r\n" % id)


async def long(id, writer):
    writer.write(b"HTTP/1.1 200 OK\r\nX-Try-Id: %s\r\nX-Seal: s\r\nContent-Length: 1000000\r\n\r\n" % id)
    writer.write(b"x" * 500000)
    await writer.drain()
    writer.close()


class Scene:
    """A proxy with a configuration of one `kind`, and machines that know their scripts."""

    def __init__(self, *scripts, kind="safe", timeout=0.6):
        self.scripts, self.kind, self.timeout = scripts, kind, timeout

    async def __aenter__(self):
        text = boot("127.0.0.1", bear=0, ports=(free_port(), free_port(), free_port(), 7000, 7010))
        quiet = type("Quiet", (Proxy,), {"say": lambda *said, **more: None})
        self.proxy = quiet(read(text))
        sent = config(5, kind=self.kind)
        sent["res"][0]["spec"]["timeout_s"] = self.timeout
        self.proxy.hear("config", json.dumps(sent))
        self.machines = []
        for n, script in enumerate(self.scripts):
            machine = await Machine(*script).open()
            self.machines.append(machine)
            self.note(n, "ready")
        self.port = self.proxy.settings.listen["http"][1]
        self.server = self.proxy.server = HttpServer(self.proxy.app)
        await self.server.open([("127.0.0.1", self.port)])
        return self

    def note(self, n, state):
        value = {
            "svc": "s",
            "ip": "127.0.0.1",
            "port": self.machines[n].port,
            "zone": "z",
            "ver": "v1",
            "slots": 4,
        }
        self.proxy.hear(f"machine/i-{n}", {**value, "state": state, "cold": 0})

    async def __aexit__(self, *wrong):
        await self.server.close(0.1)
        for machine in self.machines:
            machine.server.close()

    async def raw(self, sent):
        """All that comes back on one connection until it closes or nothing more is to come."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        writer.write(sent)
        writer.write_eof() if not sent.endswith(b"\r\n\r\n") else None
        found = b""
        while True:
            try:
                async with asyncio.timeout(1.0):
                    part = await reader.read(65536)
            except (TimeoutError, ConnectionError):
                break
            found += part
            if not part or found.count(b"HTTP/1.1 ") >= sent.count(b" HTTP/1.1") and whole(found):
                break
        writer.close()
        return found

    async def get(self, id=b"id1"):
        return await self.raw(GET % id)

    async def post(self, id=b"id1"):
        head = b"POST /p0/x HTTP/1.1\r\nHost: h.example\r\nX-Try-Id: %s\r\nContent-Length: 4\r\n\r\n" % id
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        writer.write(head + b"body")
        found = await reader.readuntil(b"\r\n\r\n")
        writer.close()
        return found


def whole(found):
    head, _, body = found.rpartition(b"HTTP/1.1 ")[2].partition(b"\r\n\r\n")
    length = [line for line in head.lower().split(b"\r\n") if line.startswith(b"content-length")]
    return bool(length) and len(body) >= int(length[0].split(b":")[1])


def status(found):
    return int(found[9:12]) if found.startswith(b"HTTP/1.1 ") else None


def play(work):
    return asyncio.run(work())


@test("method, path with its escapes, query, id and body go on unchanged; the machine's answer comes back")
def _():
    async def work():
        async with Scene([ok]) as scene:
            found = await scene.get()
            head, fields, _ = scene.machines[0].seen[0]
            assert status(found) == 200 and found.endswith(b"\r\n\r\nok") and b"x-seal: s" in found
            assert head.startswith(b"GET /p0/a%2Fb?c HTTP/1.1\r\n")
            assert fields[b"x-want-instance"] == b"i-0" and 500 < int(fields[b"x-deadline-ms"]) <= 600
        async with Scene([ok], kind="unsafe") as scene:
            assert status(await scene.post()) == 200 and scene.machines[0].seen[0][2] == b"body"

    play(work)


@test("a {kind} request whose machine first does {first.__name__}: {told}, sent {sends} times in all")
def _(
    kind=each(*["safe"] * 10, *["unsafe"] * 11),
    first=each(
        cut,
        close,
        stranger,
        sealless,
        noise,
        full,
        other,
        full_late,
        other_late,
        endless,
        cut,
        close,
        stranger,
        noise,
        full_late,
        other_late,
        endless,
        full,
        other,
        sick,
        silent_503,
    ),
    told=each(*[200] * 10, *[502] * 2, 504, 502, *[504] * 2, 502, 200, 200, 500, 502),
    sends=each(*[2] * 10, *[1] * 7, 2, 2, 1, 1),
):
    # MIXED, TWICE, REFUSED: nothing spoilt reaches a client, nothing that may have run goes again, and only
    # what a machine said has not run is promised not to have. After another's answer (stranger, full_late,
    # other_late) its own may follow: an unsafe request waits for it until its time is up.
    async def work():
        async with Scene([first, ok], [first, ok], kind=kind) as scene:
            for machine in scene.machines:
                machine.script = scene.machines[0].script
            found = await (scene.get() if kind == "safe" else scene.post())
            assert status(found) == told
            assert sum(len(machine.seen) for machine in scene.machines) == sends
            assert b"no" != found[-2:] or told == 500

    play(work)


@test("after {first.__name__} the next request needs {dials} connections in all, and gets its own answer")
def _(first=each(ok, chunked, twice, chunked_twice), dials=each(1, 1, 2, 2)):
    async def work():
        async with Scene([first, ok]) as scene:
            assert b"ok" in await scene.get(b"a") and (await scene.get(b"b")).endswith(b"ok")
            assert scene.machines[0].accepted == dials

    play(work)


@test("a kept connection that the machine has closed is not used, and an unsafe request goes out once")
def _():
    async def work():
        async with Scene([ok], kind="unsafe") as scene:
            assert status(await scene.post(b"a")) == 200
            kept = scene.proxy.endpoints.by_id["i-0"].idle_connections[0]
            scene.machines[0].script = [close]
            kept.stream.eof_received()  # its end has come
            scene.machines[0].script = [ok]
            assert status(await scene.post(b"b")) == 200 and scene.machines[0].accepted == 2

    play(work)


@test("a machine that drains while a connection to it comes up gets nothing")
def _():
    async def work():
        async with Scene([ok]) as scene:
            opened = scene.proxy.pool.open

            async def late(machine, until):
                connection = await opened(machine, until)
                scene.note(0, "draining")
                return connection

            scene.proxy.pool.open = late
            found = await scene.get()
            assert status(found) == 503 and b"retry-after" in found and scene.machines[0].seen == []

    play(work)


@test("an answer that ends early doesn't look whole, long or short")
def _():
    async def work():
        async with Scene([long]) as scene:
            found = await scene.get()
            assert status(found) == 200 and b"content-length: 1000000" in found and len(found) < 600000

    play(work)


@test("requests behind one another are at work at once, and answered in order")
def _():
    async def work():
        gate = asyncio.Event()

        async def by_turns(id, writer):
            if id == b"a":
                await gate.wait()  # until the one behind it is at work
            gate.set()
            writer.write(HEAD % id + b"ok")

        async with Scene([by_turns], [by_turns]) as scene:
            found = await scene.raw(GET % b"a" + GET % b"b")
            assert found.count(b"200 OK") == 2 and found.index(b"x-try-id: a") < found.index(b"x-try-id: b")

    play(work)


LINE = b"GET /p0/ HTTP/1.1\r\nHost: h.example\r\nX-Try-Id: 1\r\n"


@test("{what!r} is refused with {told} before a byte goes on")
def _(
    what=each(
        b"POST /p0/ HTTP/1.1\r\nHost: h.example\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n",
        b"POST /p0/ HTTP/1.1\r\nHost: h.example\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\n",
        b"POST /p0/ HTTP/1.1\r\nHost: h.example\r\nTransfer-Encoding: gzip, chunked\r\n\r\n",
        b"POST /p0/ HTTP/1.1\r\nHost: h.example\r\nContent-Length: +4\r\n\r\n",
        LINE + b"X: a\r\n b\r\n\r\n",
        LINE.replace(b"\r\n", b"\n") + b"\n\r\n\r\n",
        LINE + b"Host: g.example\r\n\r\n",
        b"GET /p0/ HTTP/1.1\r\n\r\n",
        b"GET http://g.example/p0/ HTTP/1.1\r\nHost: h.example\r\n\r\n",
        b"GET /p0/#x HTTP/1.1\r\nHost: h.example\r\n\r\n",
        LINE + b"X: " + b"a" * 20000 + b"\r\n\r\n",
        b"GET /q/ HTTP/1.1\r\nHost: h.example\r\n\r\n",
        LINE + b"X-Deadline-Ms: soon\r\n\r\n",
    ),
    told=each(*[400] * 10, 431, 404, 400),
):
    async def work():
        async with Scene([ok]) as scene:
            found = await scene.raw(what)
            assert status(found) == told and scene.machines[0].accepted == 0

    play(work)


@test("a machine that says nothing: 504 when the time is up, not later")
def _():
    async def work():
        async def nothing(id, writer):
            pass

        async with Scene([nothing], kind="unsafe", timeout=0.05) as scene:
            found = await scene.post()
            assert status(found) == 504 and len(scene.machines[0].seen) == 1

    play(work)


@test("a refusal says why no machine was free, and when to come back; the proxy counts what it did")
def _():
    async def work():
        async with Scene([ok]) as scene:
            await scene.get(b"id1")
            scene.note(0, "draining")
            found = (await scene.get(b"id2")).lower()
            assert status(found.upper()) == 503 and b"no machine free: state" in found
            assert b"retry-after: 0.1" in found
            told = []
            scene.proxy.say = lambda event, *given, **more: told.append((event, more))
            await scene.proxy.count()
            (event, more), counts = told[0], scene.proxy.forwarder.counts
            assert event == "counts" and more["answered 200"] == more["answered 503"] == 1
            assert counts["requests"] == 2 and counts["no machine: state"] == 1 and more["machines"] == 1

    play(work)
