"""rpc/tcp_stream.py between a connection's two ends."""

import asyncio
import socket

from scripted_transport import STEP, ScriptedLoop, ScriptedTransport
from ward import each, test

from honeywood.gateway.rpc.tcp_stream import TcpStream


@test("the kernel holds {what} unread: a request leaves {leaves}")
def _(what=each("nothing", "bytes", "the end"), leaves=each(True, False, False)):
    # What a program that was suspended or busy has not read yet isn't taken for the next response.
    loop, (own, peer) = ScriptedLoop(None), socket.socketpair()
    with own, peer:
        stream = TcpStream()
        stream.connection_made(ScriptedTransport(loop, stream))
        stream.transport._extra["socket"] = own
        peer.send(b"x") if what == "bytes" else peer.shutdown(socket.SHUT_WR) if what == "the end" else None

        async def work():
            stream.begin_exchange()
            await stream.write(b"GET")
            task = loop.create_task(stream.read(1))
            await asyncio.sleep(STEP)
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)

        loop.run_until_complete(work())
        assert stream.sent == leaves
    loop.close()
