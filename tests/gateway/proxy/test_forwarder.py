"""Requests that are forwarded over real connections, and the results of failed attempts."""

import asyncio

from socket_scene import (
    GET,
    HEAD,
    Scene,
    close_connection,
    error_500,
    malformed,
    misdirected_421,
    mismatched_421,
    mismatched_503,
    mismatched_id,
    missing_seal,
    not_run_503,
    ok,
    play,
    status,
    truncated,
    undelimited,
    unmarked_503,
)
from ward import each, test


@test("method, raw path, query, id and body are forwarded unchanged; the response comes back")
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


@test("a {kind} request whose machine first does {first.__name__} gets {expected} after {attempts} attempts")
def _(
    kind=each(*["safe"] * 10, *["unsafe"] * 11),
    first=each(
        truncated,
        close_connection,
        mismatched_id,
        missing_seal,
        malformed,
        not_run_503,
        misdirected_421,
        mismatched_503,
        mismatched_421,
        undelimited,
        truncated,
        close_connection,
        mismatched_id,
        malformed,
        mismatched_503,
        mismatched_421,
        undelimited,
        not_run_503,
        misdirected_421,
        error_500,
        unmarked_503,
    ),
    expected=each(*[200] * 10, *[502] * 2, 504, 502, *[504] * 2, 502, 200, 200, 500, 502),
    attempts=each(*[2] * 10, *[1] * 7, 2, 2, 1, 1),
):
    # No invalid response reaches a client, and no unsafe request that may have run is sent again. A response
    # promises that a request has not run only if the machine said so. After a response to another request
    # (mismatched_id, mismatched_503, mismatched_421) the response to this one may follow: an unsafe request
    # waits for it until its deadline.
    async def work():
        async with Scene([first, ok], [first, ok], kind=kind) as scene:
            for machine in scene.machines:
                machine.script = scene.machines[0].script
            found = await (scene.get() if kind == "safe" else scene.post())
            assert status(found) == expected
            assert sum(len(machine.seen) for machine in scene.machines) == attempts
            assert b"no" != found[-2:] or expected == 500

    play(work)


@test("pipelined requests run at the same time, and are answered in order")
def _():
    async def work():
        second_arrived = asyncio.Event()

        async def respond_after_second(id, writer):
            if id == b"a":
                await second_arrived.wait()
            second_arrived.set()
            writer.write(HEAD % id + b"ok")

        async with Scene([respond_after_second], [respond_after_second]) as scene:
            found = await scene.raw(GET % b"a" + GET % b"b")
            assert found.count(b"200 OK") == 2 and found.index(b"x-try-id: a") < found.index(b"x-try-id: b")

    play(work)


@test("a machine that starts draining while a connection to it is opened gets no request")
def _():
    async def work():
        async with Scene([ok]) as scene:
            original_open = scene.proxy.pool.open

            async def open_then_drain(endpoint, deadline):
                connection = await original_open(endpoint, deadline)
                scene.set_machine_state(0, "draining")
                return connection

            scene.proxy.pool.open = open_then_drain
            found = await scene.get()
            assert status(found) == 503 and b"retry-after" in found and scene.machines[0].seen == []

    play(work)
