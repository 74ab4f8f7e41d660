"""Clients that disconnect at each step of a request: idempotent attempts end, and nothing stays open."""

import asyncio
import socket
import struct

from socket_scene import GET, HEAD, Machine, Scene, play
from ward import each, test

from honeywood.gateway.dissemination.messages import PollRequest, Requester
from honeywood.gateway.dissemination.publisher import Publisher
from honeywood.gateway.dissemination.record import Stamp
from honeywood.standins.requests import read_request

ABANDONED_WITHIN_S = 0.45  # after a client's disconnect, by which its idempotent attempts must have ended
POST = (
    b"POST /p0/x HTTP/1.1\r\nHost: h.example\r\nX-Try-Id: %s\r\nX-Deadline-Ms: 3000\r\n"
    b"Content-Length: %d\r\n\r\n"
)
LONG_GET = GET.replace(b"600", b"3000")
LONG_HEAD = HEAD.replace(b"Content-Length: 2", b"Content-Length: 9000000")
LONG_BODY = b"x" * 400_000  # more than the proxy buffers of a response before it relays it


class HoldingMachine(Machine):
    """Writes `first(id)` at once, and keeps each request until its connection ends or `release` is set."""

    def __init__(self, first=lambda id: b""):
        super().__init__()
        self.first, self.release = first, asyncio.Event()
        self.started, self.cut = [], []  # ids of the requests received, and of those whose connection ended

    async def serve(self, reader, writer):
        try:
            while True:
                _, fields, _ = await read_request(reader)
                id = fields[b"x-try-id"]
                self.started.append(id)
                writer.write(self.first(id))
                if await self._was_cut(reader):
                    self.cut.append(id)
                    return writer.close()
                writer.write(HEAD % id + b"ok")
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()

    async def _was_cut(self, reader):
        """Waits for the end of the connection or the release of the request; returns whether it ended."""
        ended = asyncio.ensure_future(reader.read(1))
        released = asyncio.ensure_future(self.release.wait())
        await asyncio.wait((ended, released), return_when=asyncio.FIRST_COMPLETED)
        released.cancel()
        if not ended.done():
            ended.cancel()
            return False
        ended.exception()
        return True


class HoldingScene(Scene):
    """A scene of `count` HoldingMachines."""

    def __init__(self, count, first=lambda id: b"", kind="safe"):
        super().__init__(*[()] * count, kind=kind, timeout=3.0)
        self.first = first

    def machine(self, script):
        return HoldingMachine(self.first)

    async def connect(self):
        """A client's (reader, writer)."""
        return await asyncio.open_connection("127.0.0.1", self.port)

    async def wait_for(self, condition, within_s=1.0):
        """Returns whether `condition()` becomes true within `within_s` seconds."""
        deadline = asyncio.get_running_loop().time() + within_s
        while not condition() and asyncio.get_running_loop().time() < deadline:
            await asyncio.sleep(0.005)
        return condition()

    def started(self):
        return sum(len(machine.started) for machine in self.machines)

    def cut(self):
        return sum(len(machine.cut) for machine in self.machines)

    def is_quiet(self):
        """Returns whether no request, attempt or opening connection is left at the proxy."""
        endpoints = self.proxy.endpoints.by_id.values()
        forwarder = self.proxy.forwarder
        open_attempts = sum(endpoint.in_flight + endpoint.opening_connections for endpoint in endpoints)
        return not (forwarder.open_requests or forwarder.sender.in_flight or open_attempts)


def reset(writer):
    """Ends a client's connection by a reset."""
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


async def send_get(scene, started=1):
    """Sends a client's GET; returns its writer once `started` machines have received the request."""
    _, writer = await scene.connect()
    writer.write(LONG_GET % b"a")
    await scene.wait_for(lambda: scene.started() == started)
    return writer


async def at_one_machine(scene):
    return (await send_get(scene)).close


async def by_reset(scene):
    writer = await send_get(scene)
    return lambda: reset(writer)


async def by_end_of_stream(scene):
    return (await send_get(scene)).write_eof


async def at_two_machines(scene):
    for service in scene.proxy.configuration.table.services:
        scene.proxy.endpoints.typical_latencies_s[service] = 0.02  # so that a hedged attempt starts soon
    return (await send_get(scene, 2)).close


async def with_pipelined_requests(scene):
    _, writer = await scene.connect()
    writer.write(LONG_GET % b"a" + LONG_GET % b"b")
    await scene.wait_for(lambda: scene.started() == 2)
    return writer.close


async def with_reading_paused(scene):
    """A pipelined request that can't start early pauses reading, so that the end of stream stays unread."""
    _, writer = await scene.connect()
    writer.write(LONG_GET % b"a" + POST % (b"b", 300_000) + b"x" * 150_000)
    await scene.wait_for(lambda: scene.started() == 1)
    await asyncio.sleep(0.05)
    return writer.close


async def after_a_surplus_response(scene):
    _, writer = await scene.connect()
    writer.write(LONG_GET % b"a")
    await scene.wait_for(lambda: scene.proxy.counters.counts["surplus answers"] and scene.started())
    return writer.close


async def during_its_response(scene):
    reader, writer = await scene.connect()
    writer.write(LONG_GET % b"a")
    await reader.readuntil(b"\r\n\r\n")
    return writer.close


def response_to_another(id):
    return HEAD % b"other" + b"no"


def part_of_a_response(id):
    return LONG_HEAD % id + LONG_BODY


def nothing(id):
    return b""


@test("a client disconnects {leave.__name__}: its idempotent attempts end, and nothing stays open")
def _(
    leave=each(
        at_one_machine,
        by_reset,
        by_end_of_stream,
        at_two_machines,
        with_pipelined_requests,
        with_reading_paused,
        after_a_surplus_response,
        during_its_response,
    ),
    machines=each(1, 1, 1, 2, 2, 1, 1, 1),
    first=each(*[nothing] * 6, response_to_another, part_of_a_response),
):
    async def work():
        async with HoldingScene(machines, first) as scene:
            disconnect = await leave(scene)
            started = scene.started()
            assert started and not scene.cut()
            disconnect()
            assert await scene.wait_for(lambda: scene.cut() == started, ABANDONED_WITHIN_S)
            assert await scene.wait_for(scene.is_quiet, ABANDONED_WITHIN_S)
            assert scene.started() == started  # no attempt starts after the disconnect

    play(work)


@test("a client disconnects while a machine runs its unsafe request: the request runs to its end, once")
def _():
    async def work():
        async with HoldingScene(1, kind="unsafe") as scene:
            _, writer = await scene.connect()
            writer.write(POST % (b"a", 4) + b"body")
            await scene.wait_for(lambda: scene.started() == 1)
            writer.close()
            assert not await scene.wait_for(scene.cut, ABANDONED_WITHIN_S)
            scene.machines[0].release.set()
            assert await scene.wait_for(scene.is_quiet) and scene.machines[0].started == [b"a"]
            assert len(scene.proxy.endpoints.by_id["i-0"].idle_connections) == 1

    play(work)


@test("a client disconnects while a long response waits for a pipelined one: its attempt ends")
def _():
    async def work():
        async with HoldingScene(2) as scene:
            _, writer = await scene.connect()
            scene.machines[0].first = scene.machines[1].first = lambda id: (
                LONG_HEAD % id + LONG_BODY if id == b"b" else b""
            )
            writer.write(LONG_GET % b"a" + LONG_GET % b"b")
            assert await scene.wait_for(lambda: scene.proxy.counters.counts["requests"] == 1)
            writer.close()
            assert await scene.wait_for(lambda: scene.cut() == 2, ABANDONED_WITHIN_S)
            assert await scene.wait_for(scene.is_quiet, ABANDONED_WITHIN_S)

    play(work)


@test("a client disconnects after a long response was read completely: its endpoint connection is kept")
def _():
    async def work():
        async def long(id, writer):
            writer.write(HEAD.replace(b"Content-Length: 2", b"Content-Length: 400000") % id + LONG_BODY)

        async with Scene([long]) as scene:
            reader, writer = await asyncio.open_connection("127.0.0.1", scene.port)
            writer.write(GET % b"a")
            await reader.readuntil(b"\r\n\r\n")
            await reader.readexactly(400_000)
            await asyncio.sleep(0.05)
            writer.close()
            await asyncio.sleep(0.05)
            kept = scene.proxy.endpoints.by_id["i-0"].idle_connections
            assert [connection.reusable for connection in kept] == [True]
            assert not scene.proxy.counters.counts["attempts abandoned"]

    play(work)


async def before_its_body_is_complete(scene):
    _, writer = await scene.connect()
    writer.write(POST % (b"a", 1000) + b"half")
    await asyncio.sleep(0.05)
    return writer


async def while_a_connection_is_opened(scene):
    original_open = scene.proxy.pool.open

    async def open_late(endpoint, deadline):
        connection = await original_open(endpoint, deadline)
        await asyncio.sleep(0.1)
        return connection

    scene.proxy.pool.open = open_late
    _, writer = await scene.connect()
    writer.write(LONG_GET % b"a")
    await scene.wait_for(lambda: scene.proxy.forwarder.open_requests)
    return writer


@test("a client disconnects {leave.__name__}: its {kind} request reaches no machine, nothing stays open")
def _(
    leave=each(*[before_its_body_is_complete, while_a_connection_is_opened] * 2),
    kind=each("safe", "safe", "unsafe", "unsafe"),
):
    async def work():
        async with HoldingScene(1, kind=kind) as scene:
            writer = await leave(scene)
            writer.close()
            await asyncio.sleep(0.15)
            assert await scene.wait_for(scene.is_quiet, ABANDONED_WITHIN_S) and not scene.started()
            endpoint = scene.proxy.endpoints.by_id["i-0"]
            assert len(endpoint.idle_connections) == endpoint.open_connections  # what was opened is kept

    play(work)


@test("a client disconnects while its long body is sent to a machine that doesn't read: nothing stays open")
def _():
    class NonReadingMachine(Machine):
        async def serve(self, reader, writer):
            self.accepted += 1
            await asyncio.sleep(3.0)

    async def work():
        async with HoldingScene(0) as scene:
            machine = await NonReadingMachine().open()
            scene.machines.append(machine)
            scene.set_machine_state(0, "ready")
            _, writer = await scene.connect()
            writer.write(POST % (b"a", 20_000_000) + bytes(20_000_000))
            await scene.wait_for(lambda: scene.proxy.forwarder.sender.in_flight, 3.0)
            await asyncio.sleep(0.05)
            writer.close()
            assert await scene.wait_for(scene.is_quiet, ABANDONED_WITHIN_S)

    play(work)


@test("an unsafe request isn't sent if the client's disconnect is still unread in the kernel")
def _():
    async def work():
        async with HoldingScene(1, kind="unsafe") as scene:
            original_open, client = scene.proxy.pool.open, socket.create_connection(("127.0.0.1", scene.port))

            async def open_then_disconnect(endpoint, deadline):
                connection = await original_open(endpoint, deadline)
                client.close()  # the proxy doesn't read between this and the send
                return connection

            scene.proxy.pool.open = open_then_disconnect
            client.sendall(POST % (b"a", 4) + b"body")
            assert await scene.wait_for(lambda: scene.proxy.counters.counts["requests"])
            assert not scene.started()

    play(work)


@test("a poll whose sender has disconnected uses none of the link, and the next poll is answered")
def _():
    async def work():
        publisher, disconnected = Publisher("l"), []
        pending = asyncio.ensure_future(
            publisher.serve(
                PollRequest(Requester(is_proxy=True), hold_s=0.5), has_left=lambda: bool(disconnected)
            )
        )
        await asyncio.sleep(0.01)
        disconnected.append(True)
        publisher.store.put("config", Stamp.of(1), "x" * 5000)
        assert not (await pending).records and publisher.pacer.free_at == 0.0
        assert publisher.sent_bytes["asker left"] == 1
        response = await publisher.serve(PollRequest(Requester(is_proxy=True)))
        assert [record.key for record in response.records] == ["config"]

    play(work)
