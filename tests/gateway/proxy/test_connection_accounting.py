"""Counts of attempts and connections, under events at every step of a request and its connection.

The open connections are counted at their transports, independently of the proxy.
"""

import asyncio
from unittest.mock import patch

from call_scenario import CallScenario, good
from scripted_transport import STEP
from timeline import machine
from ward import each, test

from honeywood.gateway.proxy.client_request import ClientRequest
from honeywood.gateway.proxy.connection_pool import CONNECT_TIMEOUT_S, ConnectionPool
from honeywood.gateway.routing.endpoint import Endpoint
from honeywood.gateway.routing.endpoint_state import EndpointState
from honeywood.gateway.rpc.client_disconnect import ClientDisconnect
from honeywood.gateway.rpc.tcp_stream import TcpStream

EVENT_TIMES = [count * STEP / 2 for count in range(9)]  # from the request's start to after its response
LOOP_STEPS = range(8)  # of the event loop after each of these times
SETTLED_S = 3.0
MAINTENANCE_INTERVAL_S = 0.5


class AccountingScenario(CallScenario):
    """A request to the machine m, with one event on its way, and a second one after it."""

    def __init__(self, kind, connects_after_s):
        super().__init__(kind)
        self.endpoints = []  # all that the proxy has known
        self.disconnect, self.task = ClientDisconnect(), None
        self.proxy.records.apply("machine/n", machine("n", state="gone"))
        self.note_endpoint()
        create_connection = self.loop.create_connection

        async def create_late(factory, ip, port):
            await asyncio.sleep(connects_after_s)
            return await create_connection(factory, ip, port)

        self.loop.create_connection = create_late

    def note_endpoint(self):
        endpoint = self.proxy.endpoints.by_id.get("m")
        if endpoint is not None and endpoint not in self.endpoints:
            self.endpoints.append(endpoint)

    def apply(self, state, **changes):
        self.proxy.records.apply("machine/m", {**machine("m", state=state), **changes})
        self.note_endpoint()

    # Events
    def machine_drains(self):
        self.apply("draining")

    def machine_is_gone(self):
        self.apply("gone")

    def machine_is_renewed(self):
        """Its record is dropped since its heartbeats are overdue, and comes back: another Endpoint."""
        self.apply("silent")
        self.apply("ready")

    def machine_moves(self):
        self.apply("ready", ip="o", port=2)

    def client_disconnects(self):
        self.disconnect.notify(self.loop.time())

    def request_is_cancelled(self):
        self.task.cancel()

    def connection_is_reset(self):
        for transport in self.loop.transports:
            transport.reset()

    def stream_ends(self):
        for transport in self.loop.transports:
            transport.eof()

    def second_response_arrives(self):
        for transport in self.loop.transports:
            transport.say(good(b"a1"))

    def play_event(self, event, at_s, loop_steps):
        """Plays the requests, with `event` after `at_s` seconds and further steps of the event loop."""

        def later(left):
            self.loop.call_soon(later, left - 1) if left else event(self)

        async def work():
            self.loop.call_at(at_s, later, loop_steps)
            self.task = asyncio.ensure_future(self.forward(b"a1", self.disconnect))
            await asyncio.wait((self.task,))
            await self.wait_and_maintain(2 * STEP + CONNECT_TIMEOUT_S)
            await self.forward(b"a2", ClientDisconnect())
            await self.wait_and_maintain(SETTLED_S)

        self.loop.run_until_complete(work())
        found = self.find_leaks()
        self.loop.close()
        return found

    async def forward(self, id, disconnect):
        fields = {b"host": b"h.example", b"x-try-id": id}
        route = self.proxy.configuration.table.find(b"h.example", b"/p0/x")
        request = ClientRequest(b"POST", b"/p0/x", list(fields.items()), fields, b"body", disconnect)
        return await self.proxy.forwarder.forward(route, request)

    async def wait_and_maintain(self, duration_s):
        until = self.loop.time() + duration_s
        while self.loop.time() < until:
            await asyncio.sleep(min(MAINTENANCE_INTERVAL_S, until - self.loop.time()))
            await self.proxy.maintain()
        await asyncio.sleep(STEP)

    def find_leaks(self):
        """Returns the counts that are not those of what is open, and the invariants that were violated."""
        found = [str(violation) for violation in self.proxy.invariants.violations]
        kept = sum(endpoint.open_connections for endpoint in self.endpoints)
        is_open = [not transport.closing for transport in self.loop.transports]
        registered = len(self.proxy.pool.connections)
        if not sum(is_open) == kept == registered:
            found.append(f"{sum(is_open)} open, {kept} counted, {registered} registered")
        for endpoint in self.endpoints:
            idle = [connection.reusable for connection in endpoint.idle_connections]
            counts = endpoint.in_flight, endpoint.opening_connections, endpoint.open_connections, len(idle)
            is_current = self.proxy.endpoints.by_id.get("m") is endpoint
            if counts[:2] != (0, 0) or counts[2] != sum(idle) or (idle and not is_current):
                found.append(f"in flight, opening, open and idle at the end: {counts}")
        if self.proxy.forwarder.open_requests or self.proxy.forwarder.sender.in_flight:
            found.append("a request or an attempt is left open")
        return found


EVENTS = (
    AccountingScenario.machine_drains,
    AccountingScenario.machine_is_gone,
    AccountingScenario.machine_is_renewed,
    AccountingScenario.machine_moves,
    AccountingScenario.client_disconnects,
    AccountingScenario.request_is_cancelled,
    AccountingScenario.connection_is_reset,
    AccountingScenario.stream_ends,
    AccountingScenario.second_response_arrives,
)


def play_event_at_all_steps(event, kind):
    """Returns where the first leak was found, None without any, and the number of scenarios played."""
    played = 0
    for connects_after_s in (0.0, CONNECT_TIMEOUT_S - STEP):  # the second one meets the time-out
        for at_s in EVENT_TIMES:
            for loop_steps in LOOP_STEPS:
                played += 1
                scenario = AccountingScenario(kind, connects_after_s)
                leaks = scenario.play_event(event, connects_after_s + at_s, loop_steps)
                if leaks:
                    return (connects_after_s, at_s, loop_steps, leaks), played
    return None, played


@test("{event.__name__} at any step of a {kind} request: no attempt or connection is left counted")
def _(event=each(*2 * EVENTS), kind=each(*["safe"] * len(EVENTS), *["unsafe"] * len(EVENTS))):
    assert play_event_at_all_steps(event, kind) == (None, 2 * len(EVENT_TIMES) * len(LOOP_STEPS))


def release_without_closing(pool, endpoint, connection):
    if connection.reusable and endpoint.state is EndpointState.READY:
        endpoint.idle_connections.append(connection)


def forget_idle(pool, endpoint):
    endpoint.idle_connections.clear()


def forget_expired(pool, endpoints):
    for endpoint in endpoints:
        endpoint.idle_connections[:] = [one for one in endpoint.idle_connections if one.reusable]


MUTATIONS = {  # by name of a step: (what replaces it, the event whose scenarios find a leak)
    "a released connection that is not kept is closed": (
        (ConnectionPool, "release", release_without_closing),
        AccountingScenario.machine_drains,
    ),
    "idle connections of a machine out of service are closed": (
        (ConnectionPool, "close_idle", forget_idle),
        AccountingScenario.machine_is_renewed,
    ),
    "unusable idle connections are closed": (
        (ConnectionPool, "close_expired", forget_expired),
        AccountingScenario.second_response_arrives,
    ),
    "the end of a connection is counted": (
        (TcpStream, "connection_lost", lambda stream, error: stream.eof_received()),
        AccountingScenario.connection_is_reset,
    ),
    "the end of an attempt is counted": (
        (Endpoint, "attempt_ended", lambda endpoint, now, answered: None),
        AccountingScenario.machine_drains,
    ),
}


@test("without the step that {step} the enumeration finds a leak")
def _(step=each(*MUTATIONS)):
    (owner, name, replacement), event = MUTATIONS[step]
    with patch.object(owner, name, replacement):
        assert play_event_at_all_steps(event, "safe")[0]
