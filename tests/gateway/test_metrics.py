"""The metrics page, and what a proxy counts of clients that leave."""

import asyncio

from ports import free_port
from socket_scene import GET, HEAD, Scene, ok, play
from ward import each, raises, test

from honeywood.gateway.metrics import Metrics, parse_port, render


async def read_page(ip, port, path):
    reader, writer = await asyncio.open_connection(ip, port)
    writer.write(b"GET %s HTTP/1.1\r\nHost: m\r\nConnection: close\r\n\r\n" % path)
    found = await reader.read()
    writer.close()
    return found


async def until(holds):
    """Waits until `holds()`, a second at most."""
    for _ in range(200):
        if holds():
            return
        await asyncio.sleep(0.005)
    raise AssertionError("not within a second")


@test("metrics are rendered as text, with names escaped")
def _():
    page = render(Metrics({'answered "200"\\': 2}, {"ready": True, "connections": 3}))
    assert page.decode().splitlines() == [
        "# TYPE honeywood_events_total counter",
        'honeywood_events_total{event="answered \\"200\\"\\\\"} 2',
        "# TYPE honeywood_connections gauge",
        "honeywood_connections 3",
        "# TYPE honeywood_ready gauge",
        "honeywood_ready 1",
    ]


@test("the command line {given} names the metrics port {port}")
def _(given=each([], ["--metrics", "9464"]), port=each(None, 9464)):
    assert parse_port(given) == port


@test("a command line {given} that can't be used ends the program with status 2")
def _(given=each(["--metrics"], ["--metrics", "x"], ["--metrics", "0"], ["--metrics", "65536"], ["-v"])):
    with raises(SystemExit) as ended:
        parse_port(given)
    assert ended.raised.code == 2


@test("a proxy serves its metrics at their address only, and does without where that is taken")
def _():
    async def work():
        async with Scene([ok]) as scene:
            proxy = scene.proxy
            taken = proxy.metrics_endpoint.port = scene.port
            await proxy.metrics_endpoint.open(scene.server)
            assert proxy.metrics_endpoint.port is None and taken == scene.port
            await scene.get()
            proxy.metrics_endpoint.port = free_port()
            await proxy.metrics_endpoint.open(scene.server)
            page = await read_page("127.0.0.1", proxy.metrics_endpoint.port, b"/metrics")
            assert b"200 OK" in page and b'honeywood_events_total{event="answered 200"} 1\n' in page
            assert b"honeywood_config_version 5\n" in page and b"honeywood_open_requests 0\n" in page
            assert b" 404 " in await read_page("127.0.0.1", proxy.metrics_endpoint.port, b"/other")

    play(work)


@test("a client that leaves while a machine has its {kind} request is counted, and so is the work after it")
def _(kind=each("safe", "unsafe")):
    async def work():
        answer = asyncio.Event()

        async def held(id, writer):
            await answer.wait()
            writer.write(HEAD % id + b"ok")

        async with Scene([held], kind=kind) as scene:
            counts = scene.proxy.counters.counts
            _, writer = await asyncio.open_connection("127.0.0.1", scene.port)
            writer.write(GET % b"id1")
            await until(lambda: scene.machines[0].seen)
            writer.close()
            await until(lambda: counts[f"client left: {kind} at a machine"] == 1)
            answer.set()
            await until(lambda: counts[f"{kind} attempts ended after their client"] == 1)
            await until(lambda: not scene.proxy.forwarder.open_requests)

    play(work)
