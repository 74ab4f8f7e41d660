"""A TCP connection with its buffers and state, as a network stream for httpcore.

Written bytes are buffered until the next read, so that a request is sent in one piece. Bytes received while
no request is outstanding answer no request and make the connection unusable. Before a request is sent, the
socket is checked for unread input, since a program that was busy or suspended has not read it yet.
"""

from __future__ import annotations

import asyncio
import socket

import httpcore

from honeywood.gateway.rpc.socket_state import has_unread_input

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Callable

READ_HIGH_WATER_BYTES = 1 << 18  # buffered input above which reading is paused
READ_LOW_WATER_BYTES = READ_HIGH_WATER_BYTES // 2  # buffered input below which reading resumes
IMMEDIATE_WRITE_BYTES = READ_HIGH_WATER_BYTES // 4  # a longer write does not wait for the next read
# The kernel drops a connection on which sent data stays unacknowledged for this long, since a machine that
# loses power sends no reset.
USER_TIMEOUT_MS = 2500


class TcpStream(asyncio.Protocol, httpcore.AsyncNetworkStream):
    """httpcore's network stream over an asyncio transport; created by `connect`."""

    transport: asyncio.Transport  # set by connection_made before any other method is called

    def __init__(self, on_count_change: Callable[[int], None] = lambda change: None) -> None:
        """`on_count_change` is called with +1 when the connection opens and -1 when either side ends it."""
        self._on_count_change = on_count_change
        self.error: httpcore.NetworkError | httpcore.TimeoutException | None = None
        self.eof = False  # the peer sends nothing more, or the connection has ended
        self.sent = False  # bytes of the current exchange's request may have been sent
        self._is_exchanging = False  # a request is outstanding
        self._is_tainted = False  # no further exchange may begin, e.g. since unexpected bytes were received
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
        """Record that the connection is open."""
        self.transport = transport
        self._on_count_change(1)

    def data_received(self, data: bytes) -> None:
        """Buffer received bytes; those received outside of an exchange taint the connection."""
        self._is_tainted = self._is_tainted or not self._is_exchanging
        self._received += data
        if len(self._received) > READ_HIGH_WATER_BYTES and not self._is_reading_paused:
            self._is_reading_paused = True
            self.transport.pause_reading()
        self._wake_waiters()

    def eof_received(self) -> None:
        """Record that the peer sends nothing more."""
        self.eof = True
        self._wake_waiters()

    def connection_lost(self, exc: Exception | None) -> None:
        """Record that the connection has ended."""
        self.eof = True
        self._on_count_change(-1)
        if exc is not None and self.error is None:
            self.error = httpcore.ReadError(str(exc))
        self._wake_waiters()

    def pause_writing(self) -> None:
        """Make the next long write wait, because the transport has too many unsent bytes."""
        self._write_waiter = asyncio.get_running_loop().create_future()

    def resume_writing(self) -> None:
        """Let a waiting write continue."""
        if self._write_waiter is not None and not self._write_waiter.done():
            self._write_waiter.set_result(None)
        self._write_waiter = None

    def _wake_waiters(self) -> None:
        for waiter in (self._read_waiter, self._write_waiter if self.eof else None):
            if waiter is not None and not waiter.done():
                waiter.set_result(None)

    # httpcore.AsyncNetworkStream
    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Send the written bytes, and return received ones, b"" at the end; raises `error` if it is set."""
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
        """Buffer bytes until the next read, or send them immediately if they are many.

        Raises httpcore.WriteError if the connection has ended.
        """
        if self.error is not None or (self.eof and self.transport.is_closing()):
            raise httpcore.WriteError("the connection has ended")
        self._unsent.append(buffer)
        if len(buffer) > IMMEDIATE_WRITE_BYTES:
            self._flush()
            if self._write_waiter is not None:
                await self._write_waiter

    def _flush(self) -> None:
        if not self._unsent:
            return
        if not self._is_exchanging and not (self.usable and not self._has_unread_input):
            self.error = self.error or httpcore.ReadError("the peer closed or sent bytes before the request")
            self._unsent = []
            raise self.error
        self.sent = self._is_exchanging = True
        self.transport.write(b"".join(self._unsent))
        self._unsent = []

    async def aclose(self) -> None:
        """Close the connection."""
        self.transport.abort()

    def get_extra_info(self, info: str) -> object:
        """Return the transport's information; for `is_readable`, whether input or the end can be read."""
        if info == "is_readable":
            return bool(self.eof or self._received)
        return self.transport.get_extra_info(info)

    # Exchanges
    def begin_exchange(self) -> None:
        """Begin a new exchange, of which no bytes have been sent or received."""
        self.sent = self._is_exchanging = False

    def end_exchange(self, *, no_trailing_bytes: bool) -> None:
        """End the exchange after its response; unless `no_trailing_bytes`, taint the connection."""
        self._is_exchanging = False
        self._is_tainted = self._is_tainted or not no_trailing_bytes

    def taint(self) -> None:
        """Prevent any further exchange."""
        self._is_tainted = True

    def abort(self, reason: str = "time is up") -> None:
        """Close the connection; a waiting read raises httpcore.ReadTimeout with `reason`."""
        if self.error is None:
            self.error = httpcore.ReadTimeout(reason)
        self.eof = True
        self.transport.abort()
        self._wake_waiters()

    @property
    def usable(self) -> bool:
        """Whether a new exchange may begin."""
        return not (self.eof or self._is_tainted or self._received or self.error)

    @property
    def _has_unread_input(self) -> bool:
        return has_unread_input(self.transport.get_extra_info("socket"))
