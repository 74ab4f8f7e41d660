"""What a client may not send: it is rejected before a byte is forwarded."""

from socket_scene import Scene, ok, play, status
from ward import each, test

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
