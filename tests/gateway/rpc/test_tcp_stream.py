"""rpc/tcp_stream.py: unread input of the socket prevents the sending of a request; counted connections."""

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


@test("a connect that is cancelled at any step of the event loop leaves no connection counted")
def _():
    changes, outcomes = [], set()

    async def connect_and_cancel(port, loop_steps):
        task = asyncio.ensure_future(TcpStream.connect("127.0.0.1", port, 5.0, changes.append))
        for _ in range(loop_steps):
            await asyncio.sleep(0)
        task.cancel()
        await asyncio.wait((task,))
        outcomes.add((task.cancelled(), bool(changes)))
        if not task.cancelled():
            task.result().abort()
        while sum(changes):
            await asyncio.sleep(0)

    async def work():
        server = await asyncio.start_server(lambda reader, writer: writer.close(), "127.0.0.1", 0)
        for loop_steps in range(30):
            changes.clear()
            await asyncio.wait_for(
                connect_and_cancel(server.sockets[0].getsockname()[1], loop_steps), timeout=5.0
            )
        server.close()

    asyncio.run(work())
    # Cancelled before and after the connection was counted, and not in time.
    assert outcomes == {(True, False), (True, True), (False, True)}
