"""Invalid requests of clients are rejected before a byte is forwarded."""

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
