"""Clients that leave at each step of a request: idempotent work is ended, and nothing is left open."""

import asyncio
import socket
import struct

from socket_scene import GET, HEAD, Machine, Scene, play
from ward import each, test

from honeywood.gateway.dissemination.messages import PollRequest, Requester
from honeywood.gateway.dissemination.publisher import Publisher
from honeywood.gateway.dissemination.record import Stamp
from honeywood.standins.requests import read_request

ABANDONED_WITHIN_S = 0.45  # after a client's departure, in which its idempotent attempts must have ended
POST = (
    b"POST /p0/x HTTP/1.1\r\nHost: h.example\r\nX-Try-Id: %s\r\nX-Deadline-Ms: 3000\r\n"
    b"Content-Length: %d\r\n\r\n"
)
LONG_GET = GET.replace(b"600", b"3000")
LONG_HEAD = HEAD.replace(b"Content-Length: 2", b"Content-Length: 9000000")
LONG_BODY = b"x" * 400_000  # more than is held until an answer is whole


class HoldingMachine(Machine):
    """Keeps each request until its connection ends or `release` is set; says `first(id)` at once."""

    def __init__(self, first=lambda id: b""):
        super().__init__()
        self.first, self.release = first, asyncio.Event()
        self.started, self.cut = [], []  # ids of requests begun, and of those whose connection ended

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
        """Waits until the connection has ended (True) or the request is released."""
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

    async def until(self, holds, within_s=1.0):
        """Whether `holds()` comes true in time."""
        until = asyncio.get_running_loop().time() + within_s
        while not holds() and asyncio.get_running_loop().time() < until:
            await asyncio.sleep(0.005)
        return holds()

    def started(self):
        return sum(len(machine.started) for machine in self.machines)

    def cut(self):
        return sum(len(machine.cut) for machine in self.machines)

    def is_quiet(self):
        """Whether nothing of any request is open at the proxy."""
        endpoints = self.proxy.endpoints.by_id.values()
        forwarder = self.proxy.forwarder
        open_attempts = sum(endpoint.in_flight + endpoint.opening_connections for endpoint in endpoints)
        return not (forwarder.open_requests or forwarder.sender.in_flight or open_attempts)


def reset(writer):
    """Ends a client's connection by a reset."""
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


async def asked(scene, started=1):
    """The writer of a client whose requests so many machines have."""
    _, writer = await scene.connect()
    writer.write(LONG_GET % b"a")
    await scene.until(lambda: scene.started() == started)
    return writer


async def at_one_machine(scene):
    return (await asked(scene)).close


async def by_reset(scene):
    writer = await asked(scene)
    return lambda: reset(writer)


async def by_its_last_word(scene):
    return (await asked(scene)).write_eof


async def at_two_machines(scene):
    for service in scene.proxy.configuration.table.services:
        scene.proxy.endpoints.typical_latencies_s[service] = 0.02  # so that a second attempt comes soon
    return (await asked(scene, 2)).close


async def behind_another(scene):
    _, writer = await scene.connect()
    writer.write(LONG_GET % b"a" + LONG_GET % b"b")
    await scene.until(lambda: scene.started() == 2)
    return writer.close


async def with_reading_paused(scene):
    """What can't be begun behind another stops the reading of the connection: its end lies unread."""
    _, writer = await scene.connect()
    writer.write(LONG_GET % b"a" + POST % (b"b", 300_000) + b"x" * 150_000)
    await scene.until(lambda: scene.started() == 1)
    await asyncio.sleep(0.05)
    return writer.close


async def after_anothers_answer(scene):
    _, writer = await scene.connect()
    writer.write(LONG_GET % b"a")
    await scene.until(lambda: scene.proxy.counters.counts["surplus answers"] and scene.started())
    return writer.close


async def in_the_midst_of_its_answer(scene):
    reader, writer = await scene.connect()
    writer.write(LONG_GET % b"a")
    await reader.readuntil(b"\r\n\r\n")
    return writer.close


def strangers_answer(id):
    return HEAD % b"other" + b"no"


def half_an_answer(id):
    return LONG_HEAD % id + LONG_BODY


def nothing(id):
    return b""


@test("a client leaves {leave.__name__}: its idempotent attempts are ended, and nothing stays open")
def _(
    leave=each(
        at_one_machine,
        by_reset,
        by_its_last_word,
        at_two_machines,
        behind_another,
        with_reading_paused,
        after_anothers_answer,
        in_the_midst_of_its_answer,
    ),
    machines=each(1, 1, 1, 2, 2, 1, 1, 1),
    first=each(*[nothing] * 6, strangers_answer, half_an_answer),
):
    async def work():
        async with HoldingScene(machines, first) as scene:
            go = await leave(scene)
            begun = scene.started()
            assert begun and not scene.cut()
            go()
            assert await scene.until(lambda: scene.cut() == begun, ABANDONED_WITHIN_S)
            assert await scene.until(scene.is_quiet, ABANDONED_WITHIN_S)
            assert scene.started() == begun  # nothing is begun for who has left

    play(work)


@test("a client leaves while a machine has its unsafe request: it is finished, once")
def _():
    async def work():
        async with HoldingScene(1, kind="unsafe") as scene:
            _, writer = await scene.connect()
            writer.write(POST % (b"a", 4) + b"body")
            await scene.until(lambda: scene.started() == 1)
            writer.close()
            assert not await scene.until(scene.cut, ABANDONED_WITHIN_S)
            scene.machines[0].release.set()
            assert await scene.until(scene.is_quiet) and scene.machines[0].started == [b"a"]
            assert len(scene.proxy.endpoints.by_id["i-0"].idle_connections) == 1

    play(work)


@test("a client leaves while a long response waits behind another request: its attempt is ended")
def _():
    async def work():
        async with HoldingScene(2) as scene:
            _, writer = await scene.connect()
            scene.machines[0].first = scene.machines[1].first = lambda id: (
                LONG_HEAD % id + LONG_BODY if id == b"b" else b""
            )
            writer.write(LONG_GET % b"a" + LONG_GET % b"b")
            assert await scene.until(lambda: scene.proxy.counters.counts["requests"] == 1)
            writer.close()
            assert await scene.until(lambda: scene.cut() == 2, ABANDONED_WITHIN_S)
            assert await scene.until(scene.is_quiet, ABANDONED_WITHIN_S)

    play(work)


@test("a client leaves after a long response was read completely: its connection is kept for others")
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


async def before_its_body_is_whole(scene):
    _, writer = await scene.connect()
    writer.write(POST % (b"a", 1000) + b"half")
    await asyncio.sleep(0.05)
    return writer


async def while_a_connection_comes_up(scene):
    opened = scene.proxy.pool.open

    async def late(endpoint, until):
        connection = await opened(endpoint, until)
        await asyncio.sleep(0.1)
        return connection

    scene.proxy.pool.open = late
    _, writer = await scene.connect()
    writer.write(LONG_GET % b"a")
    await scene.until(lambda: scene.proxy.forwarder.open_requests)
    return writer


@test("a client leaves {leave.__name__}: its {kind} request reaches no machine, and nothing stays open")
def _(
    leave=each(*[before_its_body_is_whole, while_a_connection_comes_up] * 2),
    kind=each("safe", "safe", "unsafe", "unsafe"),
):
    async def work():
        async with HoldingScene(1, kind=kind) as scene:
            writer = await leave(scene)
            writer.close()
            await asyncio.sleep(0.15)
            assert await scene.until(scene.is_quiet, ABANDONED_WITHIN_S) and not scene.started()
            endpoint = scene.proxy.endpoints.by_id["i-0"]
            assert len(endpoint.idle_connections) == endpoint.open_connections  # what came up is kept

    play(work)


@test("a client leaves while its long body is sent to a machine that doesn't read: nothing stays open")
def _():
    class DeafMachine(Machine):
        async def serve(self, reader, writer):
            self.accepted += 1
            await asyncio.sleep(3.0)

    async def work():
        async with HoldingScene(0) as scene:
            machine = await DeafMachine().open()
            scene.machines.append(machine)
            scene.set_machine_state(0, "ready")
            _, writer = await scene.connect()
            writer.write(POST % (b"a", 20_000_000) + bytes(20_000_000))
            await scene.until(lambda: scene.proxy.forwarder.sender.in_flight, 3.0)
            await asyncio.sleep(0.05)
            writer.close()
            assert await scene.until(scene.is_quiet, ABANDONED_WITHIN_S)

    play(work)


@test("an unsafe request isn't started where the client's departure is unread in the kernel")
def _():
    async def work():
        async with HoldingScene(1, kind="unsafe") as scene:
            opened, client = scene.proxy.pool.open, socket.create_connection(("127.0.0.1", scene.port))

            async def open_then_leave(endpoint, until):
                connection = await opened(endpoint, until)
                client.close()  # nothing is read between this and the send
                return connection

            scene.proxy.pool.open = open_then_leave
            client.sendall(POST % (b"a", 4) + b"body")
            assert await scene.until(lambda: scene.proxy.counters.counts["requests"])
            assert not scene.started()

    play(work)


@test("a poll whose sender has left takes no share of the link, and the next one is answered")
def _():
    async def work():
        publisher, left = Publisher("l"), []
        held = asyncio.ensure_future(
            publisher.serve(PollRequest(Requester(is_proxy=True), hold_s=0.5), has_left=lambda: bool(left))
        )
        await asyncio.sleep(0.01)
        left.append(True)
        publisher.store.put("config", Stamp.of(1), "x" * 5000)
        assert not (await held).records and publisher.pacer.free_at == 0.0
        assert publisher.sent_bytes["asker left"] == 1
        told = await publisher.serve(PollRequest(Requester(is_proxy=True)))
        assert [record.key for record in told.records] == ["config"]

    play(work)
