"""Compares the processor time of a request in a proxy with that of uvicorn and httpcore alone.

    python benchmarks/proxy.py [REQUESTS]

A child process is both the client and the machine. This process serves requests, first with the libraries
alone (it reads each request, forwards it on a reused connection and sends the response), then as a proxy. It
prints the milliseconds per request of both and the difference, which is the cost of the proxy's own code.
"""

import asyncio
import json
import multiprocessing
import os
import sys
import time

sys.path[:0] = [
    os.path.join(os.path.dirname(__file__), ".."),
    os.path.join(os.path.dirname(__file__), "../tests/gateway"),
]

from timeline import config  # noqa: E402

from honeywood.gateway.configuration.model import Limits  # noqa: E402
from honeywood.gateway.configuration.settings import read_settings  # noqa: E402
from honeywood.gateway.proxy.program import Proxy  # noqa: E402
from honeywood.gateway.rpc.asgi import read_body, send_response  # noqa: E402
from honeywood.gateway.rpc.connection import Connection  # noqa: E402
from honeywood.gateway.rpc.headers import end_to_end  # noqa: E402
from honeywood.gateway.rpc.request_context import CONTEXT  # noqa: E402
from honeywood.gateway.rpc.server import HttpServer  # noqa: E402
from honeywood.lab.emulator.boot import settings_text  # noqa: E402

CLIENTS, BODY = 8, b"x" * 1500


async def machine(reader, writer):
    """Answer each request of a connection."""
    try:
        while True:
            head = await reader.readuntil(b"\r\n\r\n")
            id = head.lower().partition(b"x-try-id: ")[2].partition(b"\r\n")[0]
            writer.write(
                b"HTTP/1.1 200 OK\r\nX-Try-Id: %s\r\nX-Seal: s\r\nX-Load: 1,0,6\r\nContent-Length: %d\r\n\r\n"
                % (id, len(BODY))
                + BODY
            )
    except (asyncio.IncompleteReadError, ConnectionError):
        writer.close()


async def client(port, count, number):
    """Send `count` requests one after the other on one connection."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    for n in range(count):
        writer.write(
            b"GET /p0/x HTTP/1.1\r\nHost: h.example\r\nX-Try-Id: %d-%d\r\nX-Deadline-Ms: 600\r\n\r\n"
            % (number, n)
        )
        head = await reader.readuntil(b"\r\n\r\n")
        assert head.startswith(b"HTTP/1.1 200"), head
        await reader.readexactly(len(BODY))
    writer.close()


def run_peers(pipe):
    """Run the machine, and clients whenever the pipe delivers (port, number of requests)."""

    async def run():
        server = await asyncio.start_server(machine, "127.0.0.1", 0)
        pipe.send(server.sockets[0].getsockname()[1])
        loop = asyncio.get_running_loop()
        while request := await loop.run_in_executor(None, pipe.recv):
            port, count = request
            await asyncio.gather(*[client(port, count // CLIENTS, number) for number in range(CLIENTS)])
            pipe.send(True)

    asyncio.run(run())


class LibrariesOnly:
    """An application that forwards requests with the libraries alone."""

    limits = Limits()

    def begin_early(self, scope):
        return None

    def __init__(self, port):
        self.port, self.idle = port, []

    async def __call__(self, scope, receive, send):
        await read_body(receive, 1 << 20)
        connection = self.idle.pop() if self.idle else await Connection.open("127.0.0.1", self.port, 1.0)
        deadline = asyncio.get_running_loop().time() + 1.0
        reply = await connection.exchange(b"GET", scope[CONTEXT].target, scope["headers"], b"", deadline)
        self.idle.append(connection)
        await send_response(
            send,
            reply.status,
            [h for h in end_to_end(reply.headers) if h[0] != b"content-length"],
            reply.body,
        )


async def measure(app, port, pipe, count):
    """Return the ms of processor time per request, after a warm-up of a tenth of the requests."""
    server = HttpServer(app)
    await server.open([("127.0.0.1", port)])
    loop = asyncio.get_running_loop()
    for n in (count // 10, count):
        began = time.process_time()
        pipe.send((port, n))
        await loop.run_in_executor(None, pipe.recv)
        took = time.process_time() - began
    await server.close(0.1)
    return took / count * 1000


async def compare(count, pipe):
    """Measure both three times in turn and print a table."""
    port = pipe.recv()
    proxy = Proxy(
        read_settings(
            settings_text("127.0.0.1", tolerated_failures=0, ports=(18180, 18181, 18182, 7000, 7010))
        )
    )
    proxy.records.apply("config", json.dumps(config(5)))
    for n in range(4):
        proxy.records.apply(
            f"machine/i-{n}",
            {
                "svc": "s",
                "ip": "127.0.0.1",
                "port": port,
                "zone": "z",
                "ver": "v1",
                "slots": 6,
                "state": "ready",
                "cold": 0,
            },
        )
    libraries_ms, proxy_ms = [], []
    for turn in range(3):
        libraries_ms.append(await measure(LibrariesOnly(port), 18190 + turn, pipe, count))
        proxy.app.ready_port = proxy.app.peer_port = 0
        proxy_ms.append(await measure(proxy.app, 18195 + turn, pipe, count))
    print("| turn | libraries, ms | proxy, ms | own code, ms |\n| --- | --- | --- | --- |")
    for turn, (a, b) in enumerate(zip(libraries_ms, proxy_ms)):
        print(f"| {turn + 1} | {a:.3f} | {b:.3f} | {b - a:.3f} |")
    pipe.send(None)


if __name__ == "__main__":
    parent_pipe, child_pipe = (
        multiprocessing.Pipe()
    )  # before any event loop: a child that shares its selector would take its wake-ups
    multiprocessing.Process(target=run_peers, args=(child_pipe,), daemon=True).start()
    asyncio.run(compare(int(sys.argv[1]) if len(sys.argv) > 1 else 8000, parent_pipe))
