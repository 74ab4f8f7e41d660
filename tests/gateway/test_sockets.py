"""Invalid requests are rejected before a byte is forwarded; how a connection ends after its last response."""

import asyncio
import socket

from socket_scene import Scene, ok, play, status
from ward import each, test

LINE = b"GET /p0/ HTTP/1.1\r\nHost: h.example\r\nX-Try-Id: 1\r\n"


@test("{request!r} is rejected with {expected_status} before a byte is forwarded")
def _(
    request=each(
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
    expected_status=each(*[400] * 10, 431, 404, 400),
):
    async def work():
        async with Scene([ok]) as scene:
            response = await scene.raw(request)
            assert status(response) == expected_status and scene.machines[0].accepted == 0

    play(work)


async def receive_until_end(port, sent):
    """Returns what a client receives before the end of the stream; raises ConnectionError after a reset."""
    loop, received = asyncio.get_running_loop(), b""
    with socket.socket() as client:
        client.setblocking(False)
        await loop.sock_connect(client, ("127.0.0.1", port))
        await loop.sock_sendall(client, sent)
        while chunk := await loop.sock_recv(client, 65536):
            received += chunk
    return received


POST = b"POST /p0/x HTTP/1.1\r\nHost: h.example\r\nX-Try-Id: %s\r\n%sContent-Length: %d\r\n\r\n"


@test("a response that closes its connection, {why}, is followed by the end of the stream, not by a reset")
def _(
    why=each("since the proxy stops", "as its client asks", "to a head that is ambiguous"),
    header=each(b"", b"Connection: close\r\n", b"Host: other\r\n"),
    expected_status=each(200, 200, 400),
):
    # With bytes unread, the kernel reset the connection: a client that was still sending lost the response to
    # an unsafe request that had run.
    async def work():
        async with Scene([ok], kind="unsafe") as scene:
            if "stops" in why:
                scene.proxy.stopping.set()
            behind = POST % (b"id2", b"", 200_000) + b"x" * 200_000
            sent = POST % (b"id1", header, 0) + behind
            async with asyncio.timeout(5.0):
                received = await receive_until_end(scene.port, sent)
            assert status(received) == expected_status and received.count(b"HTTP/1.1 ") == 1
            assert len(scene.machines[0].seen) == (expected_status == 200)

    play(work)
