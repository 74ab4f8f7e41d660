"""Each invariant of a running proxy is seen to be violated when its guard is taken away."""

import asyncio
from contextlib import suppress
from types import SimpleNamespace

from socket_scene import GET, Scene, ok, play
from ward import each, test

from honeywood.gateway.dissemination.record import Stamp
from honeywood.gateway.errors import GatewayError
from honeywood.gateway.proxy.invariants import ABANDONED_WITHIN_S, Violation
from honeywood.gateway.proxy.sender import AttemptSender
from honeywood.gateway.routing.attempts import AttemptPolicy

LOOKS, LOOK_S = 150, 0.02  # a busy machine may take long to bring a fault about


async def silence(id, writer):
    await asyncio.sleep(3.0)


async def reset(id, writer):
    writer.transport.abort()


async def leave(scene, after_s):
    """A client asks, and leaves after a while."""
    _, writer = await asyncio.open_connection("127.0.0.1", scene.port)
    writer.write(GET % b"a")
    await asyncio.sleep(after_s)
    writer.close()
    await asyncio.sleep(0.02)


async def work_goes_on(scene, patch):
    patch(AttemptSender, "abandon", lambda self, request: None)
    await leave(scene, 0.05)
    await asyncio.sleep(ABANDONED_WITHIN_S)


async def leaving_is_not_heeded(scene, patch):
    patch(AttemptPolicy, "request_refusal", lambda self, now, request: None)
    opened = scene.proxy.pool.open

    async def late(endpoint, until):
        await asyncio.sleep(0.1)
        return await opened(endpoint, until)

    scene.proxy.pool.open = late
    await leave(scene, 0.02)
    await asyncio.sleep(0.15)


async def unsafe_is_repeated(scene, patch):
    patch(AttemptPolicy, "request_refusal", lambda self, now, request: None)
    patch(AttemptPolicy, "_repeat_refusal", lambda self, request, endpoint: None)
    asked = asyncio.ensure_future(scene.post())
    await asyncio.sleep(0.1)
    asked.cancel()


async def attempt_is_forgotten(scene, patch):
    patch(AttemptSender, "_end", lambda self, flight: self._forget(flight))
    await scene.get()


async def connection_is_forgotten(scene, patch):
    await scene.get()
    scene.proxy.endpoints.by_id["i-0"].idle_connections.clear()


async def configuration_is_not_taken(scene, patch):
    with suppress(GatewayError):  # it is kept, and can't be read here
        scene.proxy.publisher.store.put("config", Stamp.of(9), "{}")


@test("{fault.__name__}: it is counted as {violation}, and told")
def _(
    fault=each(
        work_goes_on,
        leaving_is_not_heeded,
        unsafe_is_repeated,
        attempt_is_forgotten,
        connection_is_forgotten,
        configuration_is_not_taken,
    ),
    violation=each(
        Violation.WORK_FOR_NOBODY,
        Violation.BEGUN_FOR_NOBODY,
        Violation.REPEATED,
        Violation.ATTEMPTS,
        Violation.CONNECTIONS,
        Violation.CONFIGURATION,
    ),
    script=each(silence, silence, reset, ok, ok, ok),
    kind=each("safe", "safe", "unsafe", "safe", "safe", "safe"),
):
    undo = []

    def patch(place, name, value):
        undo.append((place, name, place.__dict__.get(name)))
        setattr(place, name, value)

    async def work():
        async with Scene([script], kind=kind) as scene:
            invariants, told = scene.proxy.invariants, []
            invariants.tell = lambda *given: told.append(given[0])
            await fault(scene, patch)
            for _ in range(LOOKS):
                invariants.look(scene.proxy.clock())
                if invariants.violations[violation]:
                    break
                await asyncio.sleep(LOOK_S)
            assert invariants.violations[violation] and violation in told
            # for the scene's own looks
            scene.proxy.invariants = SimpleNamespace(look=lambda now: None, violations={})

    try:
        play(work)
    finally:
        for place, name, value in reversed(undo):
            setattr(place, name, value) if value is not None else delattr(place, name)


@test("what stands for one look only is no violation")
def _():
    async def work():
        async with Scene([ok]) as scene:
            await scene.get()
            endpoint = scene.proxy.endpoints.by_id["i-0"]
            endpoint.connected += 1
            scene.proxy.invariants.look(1.0)
            endpoint.connected -= 1
            scene.proxy.invariants.look(1.5)
            assert not scene.proxy.invariants.violations

    play(work)
