"""One TCP connection under httpcore: what it reads and writes, and what it tells of it.

What is written waits until something is read, so that a request leaves in one piece; `flushed` tells whether
any byte may have left. Bytes that come while no request is out belong to none and make the connection
`stained`; what the kernel holds unread is looked at before a request leaves, since a program that was busy or
frozen has not heard of it yet.
"""

import asyncio
import select
import socket

import httpcore

FULL = 1 << 18  # bytes held unread before the peer is held up
SILENT_MS = 2500  # unacknowledged for so long, it is dead: a machine without power says nothing


class Stream(asyncio.Protocol, httpcore.AsyncNetworkStream):
    """httpcore's stream over an asyncio transport."""

    def __init__(self, up=lambda change: None):
        """`up` is told +1 when the connection stands and -1 when it has ended, whoever ended it."""
        self.up = up
        self.transport = self.waiter = self.clear = self.lost = None
        self.buffer, self.held, self.eof, self.paused = bytearray(), [], False, False
        self.flushed = self.out = self.stained = False

    # asyncio's side
    def connection_made(self, transport):
        self.transport = transport
        self.up(1)

    def data_received(self, data):
        self.stained = self.stained or not self.out
        self.buffer += data
        if len(self.buffer) > FULL and not self.paused:
            self.paused = True
            self.transport.pause_reading()
        self._wake()

    def eof_received(self):
        self.eof = True
        self._wake()

    def connection_lost(self, exc):
        self.eof = True
        self.up(-1)
        if exc is not None and self.lost is None:
            self.lost = httpcore.ReadError(str(exc))
        self._wake()

    def pause_writing(self):
        self.clear = asyncio.get_running_loop().create_future()

    def resume_writing(self):
        if self.clear is not None and not self.clear.done():
            self.clear.set_result(None)
        self.clear = None

    def _wake(self):
        for waiter in (self.waiter, self.clear if self.eof else None):
            if waiter is not None and not waiter.done():
                waiter.set_result(None)

    # httpcore's side
    async def read(self, max_bytes, timeout=None):
        self._flush()
        while not self.buffer:
            if self.lost is not None:
                raise self.lost
            if self.eof:
                return b""
            self.waiter = asyncio.get_running_loop().create_future()
            await self.waiter
        data = bytes(self.buffer[:max_bytes])
        del self.buffer[:max_bytes]
        if self.paused and len(self.buffer) < FULL // 2:
            self.paused = False
            self.transport.resume_reading()
        return data

    async def write(self, buffer, timeout=None):
        if self.lost is not None or self.eof and self.transport.is_closing():
            raise httpcore.WriteError("the connection has ended")
        self.held.append(buffer)
        if len(buffer) > FULL // 4:
            self._flush()
            if self.clear is not None:
                await self.clear

    def _flush(self):
        if self.held:
            if not self.out and not (self.fit and self.quiet):
                self.lost = self.lost or httpcore.ReadError("it ended or spoke before the request")
                self.held = []
                raise self.lost
            self.flushed = self.out = True
            self.transport.write(b"".join(self.held))
            self.held = []

    async def aclose(self):
        if self.transport is not None:
            self.transport.abort()

    def get_extra_info(self, info):
        if info == "is_readable":
            return bool(self.eof or self.buffer)
        return self.transport.get_extra_info(info) if self.transport else None

    # ours
    def begin(self):
        """A new exchange: nothing of it has left or come."""
        self.flushed = self.out = False

    def done(self, clean):
        """The exchange's answer is whole; `clean` says that nothing else was read with it."""
        self.out = False
        self.stained = self.stained or not clean

    def give_up(self, why="time is up"):
        """Ends what is out, and the connection with it."""
        if self.lost is None:
            self.lost = httpcore.ReadTimeout(why)
        self.eof = True
        if self.transport is not None:
            self.transport.abort()
        self._wake()

    @property
    def fit(self):
        """Whether an exchange may begin on it."""
        return not (self.eof or self.stained or self.buffer or self.lost)

    @property
    def quiet(self):
        """Whether the kernel holds nothing unread: neither bytes nor the connection's end."""
        sock = self.transport.get_extra_info("socket")
        if sock is None:
            return True
        look = select.poll()
        look.register(sock.fileno(), select.POLLIN)
        return not look.poll(0)


async def dial(ip, port, within, up=lambda change: None):
    """A Stream to a peer, or httpcore.ConnectError or ConnectTimeout after `within` seconds."""
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(within):
            transport, stream = await loop.create_connection(lambda: Stream(up), ip, port)
    except TimeoutError:
        raise httpcore.ConnectTimeout(f"no answer within {within:.3f} s") from None
    except OSError as wrong:
        raise httpcore.ConnectError(str(wrong)) from None
    sock = transport.get_extra_info("socket")
    if sock is not None and hasattr(socket, "TCP_USER_TIMEOUT"):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, SILENT_MS)
    return stream
