"""A real proxy with two scripted endpoints, and scripted clients of its listener, on a clock that jumps."""

import asyncio
import json
from collections import Counter
from random import Random

from scripted_transport import STEP, ScriptedLoop, ScriptedTransport
from timeline import config, machine

from honeywood.gateway.proxy.client_request import ClientRequest
from honeywood.gateway.proxy.failure_responses import RESPONSE_MARGIN_S
from honeywood.gateway.proxy.program import Proxy
from honeywood.gateway.routing.outcomes import NOT_RUN_STATUSES
from honeywood.gateway.rpc.protocol import HttpProtocol
from honeywood.gateway.rpc.server import HttpServer
from honeywood.lab.emulator.boot import settings
from honeywood.lab.emulator.silent_log import SilentLog

HEAD = b"HTTP/1.1 %s\r\nX-Try-Id: %s\r\nX-Seal: s\r\nContent-Length: 2\r\n\r\n%s"
FULL = b"HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nX-Try-Id: %s\r\nContent-Length: 0\r\n\r\n"
NOBODYS = b"HTTP/1.1 421 No\r\nContent-Length: 0\r\n\r\n"
TIMEOUT, SPARE = 0.6, RESPONSE_MARGIN_S


def good(id):
    return HEAD % (b"200 OK", id, id[-2:])


def id_of(request):
    return request.lower().partition(b"x-try-id: ")[2].partition(b"\r\n")[0]


class CallScenario:
    """A proxy with a route of one `kind` and machines m and n; `script(line, id)` plays the first arrival,
    all others are answered at once, unless `every`."""

    def __init__(self, kind="safe", script=None, every=False):
        self.loop, self.kind, self.script, self.every = ScriptedLoop(self.serve), kind, script, every
        self.still = 0.0  # seconds for which the proxy stood still
        self.still_out = []  # ids refused while a machine had them
        self.method = b"POST"
        self.served = False  # whether nothing keeps a request from being served
        asyncio.set_event_loop(self.loop)
        given = settings("f", tolerated_failures=0), None, self.loop.time, self.loop.time
        self.proxy, self.runs, self.answers = Proxy(*given, random=Random(1), log=SilentLog()), Counter(), {}
        self.proxy.records.apply("config", json.dumps(config(5, kind=kind)))
        for id in "mn":
            self.proxy.records.apply(f"machine/{id}", machine(id))

    def serve(self, line, request):
        id = id_of(request)
        self.runs[id] += 1
        script, self.script = self.script, self.script if self.every else None
        if script is not None:
            script(line, id)
        else:
            line.loop.call_later(STEP, line.say, good(id))

    async def ask(self, id):
        """One request of a client on its own."""
        proxy = self.proxy
        fields = {b"host": b"h.example", b"x-try-id": id}
        route = proxy.configuration.table.find(b"h.example", b"/p0/x")
        began = self.loop.time()
        request = ClientRequest(self.method, b"/p0/x", list(fields.items()), fields, b"body")
        answer = await proxy.forwarder.forward(route, request)
        self.answers[id] = answer.status, answer.body, self.loop.time() - began
        at_work = sum(one.in_flight - one.opening_connections for one in proxy.endpoints.by_id.values())
        if answer.status in NOT_RUN_STATUSES and at_work:  # what is still being dialled gets nothing
            self.still_out.append(id)
        return answer.status

    def play(self, *ids, every=0.0):
        """The requests one after the other, then three seconds in which nothing may come of them."""

        async def work():
            for id in ids:
                await self.ask(id)
                await asyncio.sleep(every)
            await asyncio.sleep(3.0)
            await self.proxy.maintain()
            await asyncio.sleep(STEP)

        self.loop.run_until_complete(work())
        broken = self.broken()
        self.loop.close()
        return broken

    def broken(self):
        """What doesn't hold of TWICE, MIXED, REFUSED, and of what was given up."""
        self.proxy.invariants.check(self.loop.time())
        found = [f"{count} x {what}" for what, count in self.proxy.invariants.violations.items()]
        for id, (status, body, took) in self.answers.items():
            if self.kind == "unsafe" and self.runs[id] > 1:
                found.append(f"{id} ran {self.runs[id]} times")
            if self.served and (status != 200 or self.runs[id] != 1):
                found.append(f"{id} got {status} though nothing of it was lost")
            if status == 200 and body != id[-2:]:
                found.append(f"{id} got {body}")
            if status in NOT_RUN_STATUSES and self.runs[id]:
                found.append(f"{id} was refused and ran")
            if id in self.still_out:
                found.append(f"{id} was refused with a machine at work")
            if took > max(TIMEOUT, self.still + 3 * STEP) + 0.001:
                found.append(f"{id} was held for {took}")
        for held in self.proxy.endpoints.by_id.values():
            kept = sum(one.reusable for one in held.idle_connections)
            if held.in_flight or held.opening_connections or held.open_connections != kept:
                counted = f"{held.in_flight} open, {held.open_connections} connections, {kept} kept"
                found.append(f"{held.id}: {counted}")
        return found


REQUEST = b"%s /p0/x HTTP/1.1\r\nHost: h.example\r\nX-Try-Id: %s\r\n%sContent-Length: 0\r\n\r\n"


class ScriptedClient(ScriptedTransport):
    """A client's connection to the proxy's listener."""

    def __init__(self, scenario, port=80):
        self.out, listening = b"", HttpServer(scenario.proxy.app)
        self.server, uvicorn_server = listening, listening.uvicorn_server
        uvicorn_server.config.load()
        protocol = HttpProtocol(uvicorn_server.config, uvicorn_server.server_state, {}, scenario.loop)
        super().__init__(scenario.loop, protocol)
        self._extra["sockname"] = ("f", port)
        protocol.connection_made(self)

    def write(self, data):
        self.out += b"" if self.closing else data

    def run(self, until):
        self.loop.run_until_complete(asyncio.sleep(until - self.loop.time()))
        return self

    @property
    def ids(self):
        return [part.partition(b"\r\n")[0] for part in self.out.lower().split(b"x-try-id: ")[1:]]
