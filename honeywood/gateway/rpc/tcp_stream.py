"""One TCP connection under httpcore: its bytes, and what is known of its state.

What is written waits until something is read, so that a request leaves in one piece. Bytes that come while no
request is out belong to none and make the connection unusable. What the kernel holds unread is looked at
before a request leaves, since a program that was busy or suspended has not read it yet.
"""

from __future__ import annotations

import asyncio
import socket

import httpcore

from honeywood.gateway.rpc.socket_state import has_unread_input

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Callable

READ_HIGH_WATER_BYTES = 1 << 18  # held unread before reading is paused
READ_LOW_WATER_BYTES = READ_HIGH_WATER_BYTES // 2  # held unread when reading is resumed
WRITE_AT_ONCE_BYTES = READ_HIGH_WATER_BYTES // 4  # a longer write doesn't wait for a read
# Unacknowledged for so long, the connection is dead: a machine that loses its power sends no reset.
USER_TIMEOUT_MS = 2500


class TcpStream(asyncio.Protocol, httpcore.AsyncNetworkStream):
    """httpcore's network stream over an asyncio transport. `connect` opens one."""

    transport: asyncio.Transport  # set by connection_made, before anything else is called

    def __init__(self, on_count_change: Callable[[int], None] = lambda change: None) -> None:
        """`on_count_change` is called with +1 when it opens and with -1 when it ends, whoever ends it."""
        self._on_count_change = on_count_change
        self.error: httpcore.NetworkError | httpcore.TimeoutException | None = None
        self.eof = False  # the peer sends no more, or the connection has ended
        self.sent = False  # bytes of the exchange's request may have left
        self._is_exchanging = False  # a request is out
        self._is_tainted = False  # bytes came that belong to no request
        self._received = bytearray()
        self._unsent: list[bytes] = []
        self._is_reading_paused = False
        self._read_waiter: asyncio.Future[None] | None = None
        self._write_waiter: asyncio.Future[None] | None = None

    @classmethod
    async def connect(
        cls,
        ip: str,
        port: int,
        timeout_s: float,
        on_count_change: Callable[[int], None] = lambda change: None,
    ) -> TcpStream:
        """Open a connection; raises httpcore.ConnectError, or ConnectTimeout after `timeout_s` seconds."""
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(timeout_s):
                transport, stream = await loop.create_connection(lambda: cls(on_count_change), ip, port)
        except TimeoutError:
            raise httpcore.ConnectTimeout(f"no answer within {timeout_s:.3f} s") from None
        except OSError as error:
            raise httpcore.ConnectError(str(error)) from None
        sock = transport.get_extra_info("socket")
        if sock is not None and hasattr(socket, "TCP_USER_TIMEOUT"):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
        return stream

    # asyncio.Protocol
    def connection_made(self, transport: asyncio.Transport) -> None:  # type: ignore[override]
        """Note that the connection is open."""
        self.transport = transport
        self._on_count_change(1)

    def data_received(self, data: bytes) -> None:
        """Buffer bytes; those that belong to no exchange taint the connection."""
        self._is_tainted = self._is_tainted or not self._is_exchanging
        self._received += data
        if len(self._received) > READ_HIGH_WATER_BYTES and not self._is_reading_paused:
            self._is_reading_paused = True
            self.transport.pause_reading()
        self._wake_waiters()

    def eof_received(self) -> None:
        """Note that the peer sends no more."""
        self.eof = True
        self._wake_waiters()

    def connection_lost(self, exc: Exception | None) -> None:
        """Note that the connection has ended."""
        self.eof = True
        self._on_count_change(-1)
        if exc is not None and self.error is None:
            self.error = httpcore.ReadError(str(exc))
        self._wake_waiters()

    def pause_writing(self) -> None:
        """Make the next long write wait: the transport holds too much unsent."""
        self._write_waiter = asyncio.get_running_loop().create_future()

    def resume_writing(self) -> None:
        """Let writes go on."""
        if self._write_waiter is not None and not self._write_waiter.done():
            self._write_waiter.set_result(None)
        self._write_waiter = None

    def _wake_waiters(self) -> None:
        for waiter in (self._read_waiter, self._write_waiter if self.eof else None):
            if waiter is not None and not waiter.done():
                waiter.set_result(None)

    # httpcore.AsyncNetworkStream
    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Send what was written and return the next bytes, b"" at the end; raises `error` if there is one."""
        self._flush()
        while not self._received:
            if self.error is not None:
                raise self.error
            if self.eof:
                return b""
            self._read_waiter = asyncio.get_running_loop().create_future()
            await self._read_waiter
        data = bytes(self._received[:max_bytes])
        del self._received[:max_bytes]
        if self._is_reading_paused and len(self._received) < READ_LOW_WATER_BYTES:
            self._is_reading_paused = False
            self.transport.resume_reading()
        return data

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Take bytes that leave at the next read, or at once if they are many; raises httpcore.WriteError."""
        if self.error is not None or (self.eof and self.transport.is_closing()):
            raise httpcore.WriteError("the connection has ended")
        self._unsent.append(buffer)
        if len(buffer) > WRITE_AT_ONCE_BYTES:
            self._flush()
            if self._write_waiter is not None:
                await self._write_waiter

    def _flush(self) -> None:
        if not self._unsent:
            return
        if not self._is_exchanging and not (self.usable and not self._has_unread_input):
            self.error = self.error or httpcore.ReadError("it ended or spoke before the request")
            self._unsent = []
            raise self.error
        self.sent = self._is_exchanging = True
        self.transport.write(b"".join(self._unsent))
        self._unsent = []

    async def aclose(self) -> None:
        """End the connection."""
        self.transport.abort()

    def get_extra_info(self, info: str) -> object:
        """Return what the transport knows; for `is_readable` whether there is anything to read."""
        if info == "is_readable":
            return bool(self.eof or self._received)
        return self.transport.get_extra_info(info)

    # Exchanges
    def begin_exchange(self) -> None:
        """Begin a new exchange, of which nothing has left or come."""
        self.sent = self._is_exchanging = False

    def end_exchange(self, *, nothing_behind: bool) -> None:
        """End the exchange after its response; `nothing_behind` if no other bytes were read with it."""
        self._is_exchanging = False
        self._is_tainted = self._is_tainted or not nothing_behind

    def taint(self) -> None:
        """Keep any further exchange from beginning."""
        self._is_tainted = True

    def abort(self, reason: str = "time is up") -> None:
        """End the connection; a read that waits raises httpcore.ReadTimeout with `reason`."""
        if self.error is None:
            self.error = httpcore.ReadTimeout(reason)
        self.eof = True
        self.transport.abort()
        self._wake_waiters()

    @property
    def usable(self) -> bool:
        """Whether an exchange may begin."""
        return not (self.eof or self._is_tainted or self._received or self.error)

    @property
    def _has_unread_input(self) -> bool:
        return has_unread_input(self.transport.get_extra_info("socket"))
