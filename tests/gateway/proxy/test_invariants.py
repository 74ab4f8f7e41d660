"""Each invariant of a running proxy is violated once the code that ensures it is disabled."""

import asyncio
from contextlib import suppress
from types import SimpleNamespace

from call_scenario import CallScenario, ScriptedClient, good
from scripted_transport import STEP
from socket_scene import GET, HEAD, Scene, ok, play
from timeline import machine
from ward import each, test

from honeywood.gateway.dissemination.record import Stamp
from honeywood.gateway.errors import GatewayError
from honeywood.gateway.proxy.attempt_sender import AttemptSender
from honeywood.gateway.proxy.connection_pool import ConnectionPool
from honeywood.gateway.proxy.invariants import ABANDONED_WITHIN_S, Violation
from honeywood.gateway.routing.attempt_policy import AttemptPolicy

LONG_BODY_BYTES = 400_000  # more than the proxy buffers of a response before it relays it
LONG_HEAD = HEAD.replace(b"Content-Length: 2", b"Content-Length: %d" % LONG_BODY_BYTES)
CHECKS, CHECK_INTERVAL_S = 150, 0.02  # on a busy machine the violation may take long to appear


async def no_answer(id, writer):
    await asyncio.sleep(3.0)


async def reset(id, writer):
    writer.transport.abort()


async def long(id, writer):
    writer.write(LONG_HEAD % id + b"x" * LONG_BODY_BYTES)


async def send_and_disconnect(scene, after_s):
    """Sends a client's request, and closes its connection after `after_s` seconds."""
    _, writer = await asyncio.open_connection("127.0.0.1", scene.port)
    writer.write(GET % b"a")
    await asyncio.sleep(after_s)
    writer.close()
    await asyncio.sleep(0.02)


async def attempt_is_not_abandoned(scene, patch):
    patch(AttemptSender, "abandon", lambda self, request: None)
    await send_and_disconnect(scene, 0.05)
    await asyncio.sleep(ABANDONED_WITHIN_S)


async def disconnect_is_ignored(scene, patch):
    patch(AttemptPolicy, "request_rejection", lambda self, now, request: None)
    original_open = scene.proxy.pool.open

    async def open_late(endpoint, deadline):
        connection = await original_open(endpoint, deadline)
        await asyncio.sleep(0.1)
        return connection

    scene.proxy.pool.open = open_late
    await send_and_disconnect(scene, 0.02)
    await asyncio.sleep(0.15)


async def unsafe_request_is_retried(scene, patch):
    patch(AttemptPolicy, "request_rejection", lambda self, now, request: None)
    patch(AttemptPolicy, "_repeat_rejection", lambda self, request, endpoint: None)
    response = asyncio.ensure_future(scene.post())
    await asyncio.sleep(0.1)
    response.cancel()


async def attempt_is_not_finished(scene, patch):
    patch(AttemptSender, "_finish", lambda self, attempt: self._remove(attempt))
    await scene.get()


async def connection_is_not_counted(scene, patch):
    await scene.get()
    scene.proxy.endpoints.by_id["i-0"].idle_connections.clear()


async def connection_leaks_under_load(scene, patch):
    await scene.get()
    scene.proxy.endpoints.by_id["i-0"].idle_connections.clear()
    scene.proxy.forwarder.open_requests.add(object())


async def long_response_is_not_released(scene, patch):
    patch(ConnectionPool, "release", lambda self, endpoint, connection: None)
    assert len(await scene.get()) > LONG_BODY_BYTES


async def unusable_connection_is_kept(scene, patch):
    patch(ConnectionPool, "close_expired", lambda self, endpoints: None)
    await scene.get()
    scene.proxy.endpoints.by_id["i-0"].idle_connections[0].stream.data_received(b"stray")


async def configuration_is_not_activated(scene, patch):
    with suppress(GatewayError):  # the store keeps the record, but the configuration can't be read
        scene.proxy.publisher.store.put("config", Stamp.of(9), "{}")


@test("{fault.__name__}: the violation {violation} is counted and reported")
def _(
    fault=each(
        attempt_is_not_abandoned,
        disconnect_is_ignored,
        unsafe_request_is_retried,
        attempt_is_not_finished,
        connection_is_not_counted,
        connection_leaks_under_load,
        long_response_is_not_released,
        long_response_is_not_released,
        unusable_connection_is_kept,
        configuration_is_not_activated,
    ),
    violation=each(
        Violation.WORK_AFTER_DISCONNECT,
        Violation.ATTEMPT_AFTER_DISCONNECT,
        Violation.UNSAFE_RETRY,
        Violation.ATTEMPT_COUNT,
        Violation.CONNECTION_COUNT,
        Violation.LEAKED_CONNECTION,
        Violation.CONNECTION_COUNT,
        Violation.LEAKED_CONNECTION,
        Violation.UNUSABLE_CONNECTION,
        Violation.CONFIGURATION,
    ),
    script=each(no_answer, no_answer, reset, ok, ok, ok, long, long, ok, ok),
    kind=each("safe", "safe", "unsafe", "safe", "safe", "safe", "safe", "safe", "safe", "safe"),
):
    originals = []

    def patch(owner, name, value):
        originals.append((owner, name, owner.__dict__.get(name)))
        setattr(owner, name, value)

    async def work():
        async with Scene([script], kind=kind) as scene:
            invariants, reported = scene.proxy.invariants, []
            invariants.on_violation = lambda violation, details: reported.append(violation)
            await fault(scene, patch)
            for _ in range(CHECKS):
                invariants.check(scene.proxy.clock())
                if invariants.violations[violation]:
                    break
                await asyncio.sleep(CHECK_INTERVAL_S)
            assert invariants.violations[violation] and violation in reported
            # The scene checks the invariants at its end and must not find this violation.
            scene.proxy.invariants = SimpleNamespace(check=lambda now: None, violations={})

    try:
        play(work)
    finally:
        for owner, name, value in reversed(originals):
            setattr(owner, name, value) if value is not None else delattr(owner, name)


@test("a mismatch that only one check finds is not reported")
def _():
    async def work():
        async with Scene([ok]) as scene:
            await scene.get()
            endpoint = scene.proxy.endpoints.by_id["i-0"]
            endpoint.open_connections += 1
            scene.proxy.invariants.check(1.0)
            endpoint.open_connections -= 1
            scene.proxy.invariants.check(1.5)
            assert not scene.proxy.invariants.violations

    play(work)


@test("second responses on idle connections, each closed after a check, are not reported")
def _():
    # Reported as "m: 0 known, 1 counted", though each check found another connection.
    def answer_twice(transport, id):
        transport.say(good(id))
        transport.loop.call_later(STEP, transport.say, good(id))

    scenario = CallScenario(script=answer_twice, scripts_all=True)
    scenario.proxy.records.apply("machine/n", machine("n", state="draining"))

    async def work():
        for id in (b"a1", b"a2"):
            assert await scenario.send_request(id) == 200
            await asyncio.sleep(2 * STEP)
            endpoint = scenario.proxy.endpoints.by_id["m"]
            assert not endpoint.idle_connections[0].reusable and endpoint.open_connections == 1
            await scenario.proxy.maintain()
            await asyncio.sleep(STEP)
            assert not endpoint.idle_connections and not endpoint.open_connections

    scenario.loop.run_until_complete(work())
    assert scenario.proxy.pool.opened == 2 and not scenario.find_violations()


@test("a long response that waits for an earlier one to a slow client is not reported, a lost connection is")
def _():
    def answer(transport, id):
        transport.say(good(id) if id == b"a1" else LONG_HEAD % id + b"x" * (LONG_BODY_BYTES - 1))

    scenario = CallScenario(script=answer, scripts_all=True)
    client, invariants = ScriptedClient(scenario), scenario.proxy.invariants
    client.protocol.pause_writing()
    scenario.loop.call_soon(client.say, GET % b"a1" + GET % b"b1")
    for until in (0.1, 0.2):
        client.run(until)
        invariants.check(until)
    endpoints = scenario.proxy.endpoints.by_id.values()
    assert sum(endpoint.open_connections for endpoint in endpoints) == 2 and not client.out
    assert not scenario.proxy.forwarder.open_requests and not invariants.violations
    for endpoint in endpoints:
        endpoint.idle_connections.clear()
    invariants.check(0.3)
    invariants.check(0.4)
    assert {*invariants.violations} == {Violation.CONNECTION_COUNT, Violation.LEAKED_CONNECTION}
