"""A real proxy with two scripted endpoints and scripted clients, on the emulator's simulated clock."""

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
MISDIRECTED = b"HTTP/1.1 421 No\r\nContent-Length: 0\r\n\r\n"  # without the id of any request
TIMEOUT_S, MARGIN_S = 0.6, RESPONSE_MARGIN_S


def good(id):
    """A valid response to the request `id`."""
    return HEAD % (b"200 OK", id, id[-2:])


def id_of(request):
    return request.lower().partition(b"x-try-id: ")[2].partition(b"\r\n")[0]


class CallScenario:
    """A proxy with one route and the machines m and n.

    `kind` is "safe" for a route of idempotent requests, or else "unsafe".

    `script(transport, id)` plays the machine for the first request that arrives, or for each request with
    `scripts_all`. Without a script a machine answers after STEP.
    """

    def __init__(self, kind="safe", script=None, scripts_all=False):
        self.loop, self.kind, self.script, self.scripts_all = (
            ScriptedLoop(self.serve),
            kind,
            script,
            scripts_all,
        )
        self.suspended_s = 0.0  # seconds for which the script suspends the proxy
        self.rejected_in_flight = []  # ids that were rejected while an attempt was in flight
        self.method = b"POST"
        self.must_succeed = False  # whether each request has to be answered 200
        self.maintains = False  # whether the maintenance, which checks invariants, runs after each request
        asyncio.set_event_loop(self.loop)
        arguments = settings("f", tolerated_failures=0), None, self.loop.time, self.loop.time
        self.proxy, self.runs, self.responses = (
            Proxy(*arguments, random=Random(1), log=SilentLog()),
            Counter(),
            {},
        )
        self.proxy.records.apply("config", json.dumps(config(5, kind=kind)))
        for id in "mn":
            self.proxy.records.apply(f"machine/{id}", machine(id))

    def serve(self, transport, request):
        """Plays a machine that has received a request."""
        id = id_of(request)
        self.runs[id] += 1
        script, self.script = self.script, self.script if self.scripts_all else None
        if script is not None:
            script(transport, id)
        else:
            transport.loop.call_later(STEP, transport.say, good(id))

    async def send_request(self, id):
        """Forwards one request of a client; returns the status of the response."""
        proxy = self.proxy
        fields = {b"host": b"h.example", b"x-try-id": id}
        route = proxy.configuration.table.find(b"h.example", b"/p0/x")
        started_at = self.loop.time()
        request = ClientRequest(self.method, b"/p0/x", list(fields.items()), fields, b"body")
        response = await proxy.forwarder.forward(route, request)
        self.responses[id] = response.status, response.body, self.loop.time() - started_at
        in_flight = sum(one.in_flight - one.opening_connections for one in proxy.endpoints.by_id.values())
        if response.status in NOT_RUN_STATUSES and in_flight:  # nothing is sent while a connection opens
            self.rejected_in_flight.append(id)
        return response.status

    def play(self, *ids, pause_s=0.0):
        """Forwards the requests one after the other; returns the violations after three further seconds."""

        async def work():
            for id in ids:
                await self.send_request(id)
                await asyncio.sleep(pause_s)
                if self.maintains:
                    await self.proxy.maintain()
                    await asyncio.sleep(STEP)
            await asyncio.sleep(3.0)
            await self.proxy.maintain()
            await asyncio.sleep(STEP)

        self.loop.run_until_complete(work())
        violations = self.find_violations()
        self.loop.close()
        return violations

    def find_violations(self):
        """Returns what violates the rules for responses, or the invariants of the proxy.

        No non-idempotent request may run twice. A success must be the response to its request. A request that
        is rejected with a status that promises "not run" must not have run, nor be in flight at a machine. No
        request may take longer than its time-out. At the end no attempt may be in flight, and all open
        connections must be reusable.
        """
        self.proxy.invariants.check(self.loop.time())
        found = [f"{count} x {violation}" for violation, count in self.proxy.invariants.violations.items()]
        for id, (status, body, elapsed_s) in self.responses.items():
            if self.kind == "unsafe" and self.runs[id] > 1:
                found.append(f"{id} ran {self.runs[id]} times")
            if self.must_succeed and (status != 200 or self.runs[id] != 1):
                found.append(f"{id} got {status}, or did not run exactly once")
            if status == 200 and body != id[-2:]:
                found.append(f"{id} got the body {body}")
            if status in NOT_RUN_STATUSES and self.runs[id]:
                found.append(f"{id} was rejected as not run, and ran")
            if id in self.rejected_in_flight:
                found.append(f"{id} was rejected while an attempt was in flight")
            if elapsed_s > max(TIMEOUT_S, self.suspended_s + 3 * STEP) + 0.001:
                found.append(f"{id} took too long, in seconds: {elapsed_s}")
        for endpoint in self.proxy.endpoints.by_id.values():
            idle = sum(connection.reusable for connection in endpoint.idle_connections)
            if endpoint.in_flight or endpoint.opening_connections or endpoint.open_connections != idle:
                counts = f"{endpoint.in_flight} in flight, {endpoint.open_connections} open, {idle} idle"
                found.append(f"{endpoint.id}: {counts}")
        return found


REQUEST = b"%s /p0/x HTTP/1.1\r\nHost: h.example\r\nX-Try-Id: %s\r\n%sContent-Length: 0\r\n\r\n"


class ScriptedClient(ScriptedTransport):
    """A client's connection to the proxy's listener; `out` is what the proxy has written to it."""

    def __init__(self, scenario, port=80):
        self.out, server = b"", HttpServer(scenario.proxy.app)
        self.server, uvicorn_server = server, server.uvicorn_server
        uvicorn_server.config.load()
        protocol = HttpProtocol(uvicorn_server.config, uvicorn_server.server_state, {}, scenario.loop)
        super().__init__(scenario.loop, protocol)
        self._extra["sockname"] = ("f", port)
        protocol.connection_made(self)

    def write(self, data):
        self.out += b"" if self.closing else data

    def run(self, until):
        """Runs the loop until the time `until` in seconds; returns this client."""
        self.loop.run_until_complete(asyncio.sleep(until - self.loop.time()))
        return self

    @property
    def ids(self):
        """The X-Try-Id of each response, in the order in which they were written."""
        return [part.partition(b"\r\n")[0] for part in self.out.lower().split(b"x-try-id: ")[1:]]
