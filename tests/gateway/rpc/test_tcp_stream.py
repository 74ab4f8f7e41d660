"""rpc/tcp_stream.py: unread input of the socket prevents the sending of a request."""

import asyncio
import socket

from scripted_transport import STEP, ScriptedLoop, ScriptedTransport
from ward import each, test

from honeywood.gateway.rpc.tcp_stream import TcpStream


@test("while the kernel has {unread} unread, a request is sent: {sent}")
def _(unread=each("nothing", "bytes", "the end"), sent=each(True, False, False)):
    # Input that a suspended or busy program has not read yet must not be taken for the next response.
    loop, (own, peer) = ScriptedLoop(None), socket.socketpair()
    with own, peer:
        stream = TcpStream()
        stream.connection_made(ScriptedTransport(loop, stream))
        stream.transport._extra["socket"] = own
        peer.send(b"x") if unread == "bytes" else peer.shutdown(
            socket.SHUT_WR
        ) if unread == "the end" else None

        async def work():
            stream.begin_exchange()
            await stream.write(b"GET")
            task = loop.create_task(stream.read(1))
            await asyncio.sleep(STEP)
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)

        loop.run_until_complete(work())
        assert stream.sent == sent
    loop.close()
