"""What only sockets show: a real proxy on loopback between a raw client and a scripted machine."""

import asyncio

from socket_scene import (
    GET,
    HEAD,
    Scene,
    chunked,
    chunked_twice,
    close,
    cut,
    endless,
    full,
    full_late,
    long,
    noise,
    ok,
    other,
    other_late,
    play,
    sealless,
    sick,
    silent_503,
    status,
    stranger,
    twice,
)
from ward import each, test


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
            scene.proxy.log.info = lambda event, **more: told.append((event, more))
            await scene.proxy.count()
            (event, more), counts = told[0], scene.proxy.forwarder.counts
            assert event == "counts" and more["answered 200"] == more["answered 503"] == 1
            assert counts["requests"] == 2 and counts["no machine: state"] == 1 and more["machines"] == 1

    play(work)
