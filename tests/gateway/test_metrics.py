"""The metrics page, and a proxy's counters of clients that disconnect during a request."""

import asyncio

from ports import free_port
from socket_scene import GET, HEAD, Scene, ok, play
from ward import each, raises, test

from honeywood.gateway.metrics import Metrics, parse_port, render


async def read_page(ip, port, path):
    reader, writer = await asyncio.open_connection(ip, port)
    writer.write(b"GET %s HTTP/1.1\r\nHost: m\r\nConnection: close\r\n\r\n" % path)
    response = await reader.read()
    writer.close()
    return response


async def wait_until(condition):
    """Waits until `condition()` is true, for a second at most."""
    for _ in range(200):
        if condition():
            return
        await asyncio.sleep(0.005)
    raise AssertionError("the condition was not met within a second")


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


@test("the command line {arguments} gives the metrics port {port}")
def _(arguments=each([], ["--metrics", "9464"]), port=each(None, 9464)):
    assert parse_port(arguments) == port


@test("an invalid command line {arguments} ends the program with exit status 2")
def _(arguments=each(["--metrics"], ["--metrics", "x"], ["--metrics", "0"], ["--metrics", "65536"], ["-v"])):
    with raises(SystemExit) as program_exit:
        parse_port(arguments)
    assert program_exit.raised.code == 2


@test("a proxy serves metrics at the metrics port only, and runs without them if the port is taken")
def _():
    async def work():
        async with Scene([ok]) as scene:
            proxy = scene.proxy
            taken_port = proxy.metrics_endpoint.port = scene.port
            await proxy.metrics_endpoint.open(scene.server)
            assert proxy.metrics_endpoint.port is None and taken_port == scene.port
            await scene.get()
            proxy.metrics_endpoint.port = free_port()
            await proxy.metrics_endpoint.open(scene.server)
            page = await read_page("127.0.0.1", proxy.metrics_endpoint.port, b"/metrics")
            assert b"200 OK" in page and b'honeywood_events_total{event="answered 200"} 1\n' in page
            assert b"honeywood_config_version 5\n" in page and b"honeywood_open_requests 0\n" in page
            assert b" 404 " in await read_page("127.0.0.1", proxy.metrics_endpoint.port, b"/other")

    play(work)


@test("a client that disconnects during its {kind} request is counted, and so is the attempt that ends later")
def _(kind=each("safe", "unsafe")):
    async def work():
        answer = asyncio.Event()

        async def delayed_answer(id, writer):
            await answer.wait()
            writer.write(HEAD % id + b"ok")

        async with Scene([delayed_answer], kind=kind) as scene:
            counts = scene.proxy.counters.counts
            _, writer = await asyncio.open_connection("127.0.0.1", scene.port)
            writer.write(GET % b"id1")
            await wait_until(lambda: scene.machines[0].seen)
            writer.close()
            await wait_until(lambda: counts[f"client left: {kind} at a machine"] == 1)
            answer.set()
            await wait_until(lambda: counts[f"{kind} attempts ended after their client"] == 1)
            await wait_until(lambda: not scene.proxy.forwarder.open_requests)

    play(work)
