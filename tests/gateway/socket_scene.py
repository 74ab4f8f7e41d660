"""A real proxy on loopback sockets between a raw client and machines with scripted responses."""

import asyncio
import json

from ports import free_port
from timeline import config

from honeywood.gateway.configuration.packing import pack_for_proxies
from honeywood.gateway.configuration.settings import read_settings
from honeywood.gateway.proxy.program import Proxy
from honeywood.gateway.rpc.server import HttpServer
from honeywood.lab.emulator.boot import settings_text
from honeywood.lab.emulator.silent_log import SilentLog
from honeywood.standins.requests import read_request

HEAD = b"HTTP/1.1 200 OK\r\nX-Try-Id: %s\r\nX-Seal: s\r\nContent-Length: 2\r\n\r\n"
GET = b"GET /p0/a%%2Fb?c HTTP/1.1\r\nHost: h.example\r\nX-Try-Id: %s\r\nX-Deadline-Ms: 600\r\n\r\n"


class Machine:
    """A machine that answers by script: one function of (attempt id, writer) per request.

    The last function answers all further requests. `seen` lists the requests received, `accepted` counts the
    connections.
    """

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
                head, fields, body = await read_request(reader)
                self.seen.append((head, fields, body))
                step = self.script.pop(0) if len(self.script) > 1 else self.script[0]
                await step(fields.get(b"x-try-id", b""), writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()


async def ok(id, writer):
    writer.write(HEAD % id + b"ok")


async def truncated(id, writer):
    writer.write(HEAD % id + b"o")
    writer.close()


async def close_connection(id, writer):
    writer.close()


async def mismatched_id(id, writer):
    writer.write(HEAD % b"other" + b"no")


async def two_responses(id, writer):
    writer.write(HEAD % id + b"ok" + HEAD % id + b"no")


CHUNKED = (
    b"HTTP/1.1 200 OK\r\nX-Try-Id: %s\r\nX-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n%s\r\n0\r\n\r\n"
)


async def chunked(id, writer):
    writer.write(CHUNKED % (id, b"ok"))


async def two_chunked_responses(id, writer):
    writer.write(CHUNKED % (id, b"ok") + CHUNKED % (id, b"no"))


async def missing_seal(id, writer):
    writer.write(b"HTTP/1.1 200 OK\r\nX-Try-Id: %s\r\nContent-Length: 2\r\n\r\nno" % id)


async def malformed(id, writer):
    writer.write(b"\x00\x01 this is no answer\r\n\r\n")


async def not_run_503(id, writer):
    writer.write(b"HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nX-Try-Id: %s\r\nContent-Length: 0\r\n\r\n" % id)


async def misdirected_421(id, writer):
    writer.write(
        b"HTTP/1.1 421 Misdirected\r\nX-Try-Id: %s\r\nX-Instance: i-9\r\nContent-Length: 0\r\n\r\n" % id
    )


async def mismatched_503(id, writer):
    await not_run_503(b"other", writer)


async def mismatched_421(id, writer):
    await misdirected_421(b"other", writer)


async def undelimited(id, writer):
    writer.write(b"HTTP/1.1 200 OK\r\nX-Try-Id: %s\r\nX-Seal: s\r\n\r\nno" % id)
    writer.close()


async def error_500(id, writer):
    writer.write(b"HTTP/1.1 500 Error\r\nX-Try-Id: %s\r\nX-Seal: s\r\nContent-Length: 2\r\n\r\nno" % id)


async def unmarked_503(id, writer):
    writer.write(b"HTTP/1.1 503 Busy\r\nX-Try-Id: %s\r\nContent-Length: 0\r\n\r\n" % id)


async def truncated_long(id, writer):
    writer.write(b"HTTP/1.1 200 OK\r\nX-Try-Id: %s\r\nX-Seal: s\r\nContent-Length: 1000000\r\n\r\n" % id)
    writer.write(b"x" * 500000)
    await writer.drain()
    writer.close()


class Scene:
    """A proxy and its machines, one per script; its route has the given `kind` and `timeout` in seconds.

    At the end, the invariants of the proxy are checked.
    """

    def __init__(self, *scripts, kind="safe", timeout=0.6):
        self.scripts, self.kind, self.timeout = scripts, kind, timeout

    async def __aenter__(self):
        text = settings_text(
            "127.0.0.1", tolerated_failures=0, ports=(free_port(), free_port(), free_port(), 7000, 7010)
        )
        self.proxy = Proxy(read_settings(text), log=SilentLog())
        self.configure(self.configuration())
        self.machines = []
        for n, script in enumerate(self.scripts):
            machine = await self.machine(script).open()
            self.machines.append(machine)
            self.set_machine_state(n, "ready")
        self.port = self.proxy.settings.listen.http.port
        self.server = self.proxy.server = HttpServer(self.proxy.app)
        await self.server.open([("127.0.0.1", self.port)])
        return self

    def configuration(self):
        """Returns the initial configuration."""
        configuration = config(5, kind=self.kind)
        configuration["res"][0]["spec"]["timeout_s"] = self.timeout
        return configuration

    def configure(self, configuration):
        """Activates a configuration, given in the form that operators send."""
        self.proxy.records.apply("config", pack_for_proxies(json.dumps(configuration)))

    def machine(self, script):
        """Returns a machine that answers by a script."""
        return Machine(*script)

    def set_machine_state(self, n, state):
        """Publishes the record of machine `n` to the proxy."""
        value = {
            "svc": "s",
            "ip": "127.0.0.1",
            "port": self.machines[n].port,
            "zone": "z",
            "ver": "v1",
            "slots": 4,
        }
        self.proxy.records.apply(f"machine/i-{n}", {**value, "state": state, "cold": 0})

    async def __aexit__(self, *exception_info):
        for _ in range(2):
            self.proxy.invariants.check(self.proxy.clock())
            await asyncio.sleep(0.01)
        assert not self.proxy.invariants.violations, self.proxy.invariants.violations
        await self.server.close(0.1)
        for machine in self.machines:
            machine.server.close()

    async def raw(self, request):
        """Sends bytes on a new connection and returns all that is received.

        Reading ends when the connection is closed, when as many complete responses as requests have been
        received, or after a second without data.
        """
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        writer.write(request)
        writer.write_eof() if not request.endswith(b"\r\n\r\n") else None
        received = b""
        while True:
            try:
                async with asyncio.timeout(1.0):
                    chunk = await reader.read(65536)
            except (TimeoutError, ConnectionError):
                break
            received += chunk
            if (
                not chunk
                or received.count(b"HTTP/1.1 ") >= request.count(b" HTTP/1.1")
                and is_complete(received)
            ):
                break
        writer.close()
        return received

    async def get(self, id=b"id1"):
        return await self.raw(GET % id)

    async def post(self, id=b"id1"):
        head = b"POST /p0/x HTTP/1.1\r\nHost: h.example\r\nX-Try-Id: %s\r\nContent-Length: 4\r\n\r\n" % id
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        writer.write(head + b"body")
        response_head = await reader.readuntil(b"\r\n\r\n")
        writer.close()
        return response_head


def is_complete(received):
    """Returns whether the last response in `received` has the length that its header states."""
    head, _, body = received.rpartition(b"HTTP/1.1 ")[2].partition(b"\r\n\r\n")
    length = [line for line in head.lower().split(b"\r\n") if line.startswith(b"content-length")]
    return bool(length) and len(body) >= int(length[0].split(b":")[1])


def status(response):
    return int(response[9:12]) if response.startswith(b"HTTP/1.1 ") else None


def play(work):
    return asyncio.run(work())
