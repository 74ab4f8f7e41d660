"""One TCP connection under httpcore: what it reads and writes, and what it tells of it.

What is written waits until something is read, so that a request leaves in one piece; `sent` tells whether any
byte may have left. Bytes that come while no request is out belong to none and make the connection `tainted`;
what the kernel holds unread is looked at before a request leaves, since a program that was busy or frozen has
not heard of it yet.
"""

import asyncio
import select
import socket

import httpcore

HIGH_WATER = 1 << 18  # bytes held unread before the peer is held up
WRITE_AT_ONCE = HIGH_WATER // 4  # bytes written that don't wait for a read
SILENT_MS = 2500  # unacknowledged for so long, it is dead: a machine without power says nothing


class Stream(asyncio.Protocol, httpcore.AsyncNetworkStream):
    """httpcore's stream over an asyncio transport."""

    def __init__(self, on_change=lambda change: None):
        """`on_change` is told +1 when the connection stands and -1 when it has ended, whoever ended it."""
        self.on_change = on_change
        self.transport = self.readable = self.writable = self.error = None
        self.received, self.unsent, self.eof, self.paused = bytearray(), [], False, False
        self.sent = self.exchanging = self.tainted = False

    # asyncio's side
    def connection_made(self, transport):
        """The connection stands."""
        self.transport = transport
        self.on_change(1)

    def data_received(self, data):
        """Bytes have come; those that belong to no exchange taint the connection."""
        self.tainted = self.tainted or not self.exchanging
        self.received += data
        if len(self.received) > HIGH_WATER and not self.paused:
            self.paused = True
            self.transport.pause_reading()
        self._wake()

    def eof_received(self):
        """The peer sends no more."""
        self.eof = True
        self._wake()

    def connection_lost(self, exc):
        """The connection has ended."""
        self.eof = True
        self.on_change(-1)
        if exc is not None and self.error is None:
            self.error = httpcore.ReadError(str(exc))
        self._wake()

    def pause_writing(self):
        """The transport holds too much that is unsent."""
        self.writable = asyncio.get_running_loop().create_future()

    def resume_writing(self):
        """The transport takes more."""
        if self.writable is not None and not self.writable.done():
            self.writable.set_result(None)
        self.writable = None

    def _wake(self):
        for waiter in (self.readable, self.writable if self.eof else None):
            if waiter is not None and not waiter.done():
                waiter.set_result(None)

    # httpcore's side
    async def read(self, max_bytes, timeout=None):
        """The next bytes, none at the end; sends what was written before."""
        self._flush()
        while not self.received:
            if self.error is not None:
                raise self.error
            if self.eof:
                return b""
            self.readable = asyncio.get_running_loop().create_future()
            await self.readable
        data = bytes(self.received[:max_bytes])
        del self.received[:max_bytes]
        if self.paused and len(self.received) < HIGH_WATER // 2:
            self.paused = False
            self.transport.resume_reading()
        return data

    async def write(self, buffer, timeout=None):
        """Takes bytes that leave at the next read, at once where they are many."""
        if self.error is not None or self.eof and self.transport.is_closing():
            raise httpcore.WriteError("the connection has ended")
        self.unsent.append(buffer)
        if len(buffer) > WRITE_AT_ONCE:
            self._flush()
            if self.writable is not None:
                await self.writable

    def _flush(self):
        if not self.unsent:
            return
        if not self.exchanging and not (self.usable and self.nothing_unread):
            self.error = self.error or httpcore.ReadError("it ended or spoke before the request")
            self.unsent = []
            raise self.error
        self.sent = self.exchanging = True
        self.transport.write(b"".join(self.unsent))
        self.unsent = []

    async def aclose(self):
        """Ends the connection."""
        if self.transport is not None:
            self.transport.abort()

    def get_extra_info(self, info):
        """httpcore asks whether an idle connection has anything to read; else as of the transport."""
        if info == "is_readable":
            return bool(self.eof or self.received)
        return self.transport.get_extra_info(info) if self.transport else None

    # ours
    def begin_exchange(self):
        """A new exchange: nothing of it has left or come."""
        self.sent = self.exchanging = False

    def end_exchange(self, clean):
        """The exchange's answer is whole; `clean` says that nothing else was read with it."""
        self.exchanging = False
        self.tainted = self.tainted or not clean

    def abort(self, reason="time is up"):
        """Ends what is out, and the connection with it."""
        if self.error is None:
            self.error = httpcore.ReadTimeout(reason)
        self.eof = True
        if self.transport is not None:
            self.transport.abort()
        self._wake()

    @property
    def usable(self):
        """Whether an exchange may begin on it."""
        return not (self.eof or self.tainted or self.received or self.error)

    @property
    def nothing_unread(self):
        """Whether the kernel holds nothing unread: neither bytes nor the connection's end."""
        sock = self.transport.get_extra_info("socket")
        if sock is None:
            return True
        poll = select.poll()
        poll.register(sock.fileno(), select.POLLIN)
        return not poll.poll(0)


async def dial(ip, port, within_s, on_change=lambda change: None):
    """A Stream to a peer, or httpcore.ConnectError or ConnectTimeout after `within_s` seconds."""
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(within_s):
            transport, stream = await loop.create_connection(lambda: Stream(on_change), ip, port)
    except TimeoutError:
        raise httpcore.ConnectTimeout(f"no answer within {within_s:.3f} s") from None
    except OSError as wrong:
        raise httpcore.ConnectError(str(wrong)) from None
    sock = transport.get_extra_info("socket")
    if sock is not None and hasattr(socket, "TCP_USER_TIMEOUT"):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, SILENT_MS)
    return stream
