"""Sequential HTTP/1.1 exchanges on one connection to a peer, using httpcore."""

from __future__ import annotations

import asyncio
from typing import cast

import httpcore

from honeywood.gateway.rpc.headers import closes_connection, is_self_delimited, keep_alive_timeout_s
from honeywood.gateway.rpc.reply import BodyRemainder, ExchangeFailure, Reply
from honeywood.gateway.rpc.resumed_stream import ResumedStream
from honeywood.gateway.rpc.tcp_stream import TcpStream

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import AsyncIterable, AsyncIterator, Callable

    from honeywood.gateway.rpc.headers import HeaderField, HeaderFields

MAX_BUFFERED_BYTES = 1 << 18  # of a response body; the rest of a longer one is streamed
MAX_SURPLUS_REPLIES = 2  # responses to other requests that are skipped on one connection
CONNECT_ERRORS = (httpcore.ConnectError, httpcore.ConnectTimeout)  # nothing was sent
HTTPCORE_ERRORS = (httpcore.NetworkError, httpcore.TimeoutException, httpcore.ProtocolError, OSError)


class Connection:
    """A connection to a peer.

    `idle_since` is when its last exchange ended, in seconds on the event loop's clock. `keep_alive_s` is for
    how many seconds the peer keeps an idle connection open, None if it has not stated that. `on_release` is
    called with the connection after a response with a `remainder` has been read completely.
    """

    __slots__ = (
        "_expected_header",
        "_head_sent",
        "_http",
        "_origin",
        "_request",
        "_surplus_count",
        "idle_since",
        "keep_alive_s",
        "on_release",
        "stream",
    )

    _request: httpcore.Request  # of the latest exchange

    def __init__(self, stream: TcpStream, ip: str, port: int) -> None:
        """`stream` is connected to `ip` and `port`; use `open` to establish a connection."""
        self.stream, self._origin = stream, httpcore.Origin(b"http", ip.encode(), port)
        self._http = httpcore.AsyncHTTP11Connection(self._origin, stream)
        self.idle_since = 0.0
        self.keep_alive_s: int | None = None
        self.on_release: Callable[[Connection], None] = lambda connection: None
        # After a HEAD request, the end of a response depends on which request it answers.
        self._head_sent = False
        self._expected_header: HeaderField | None = None
        self._surplus_count = 0

    @classmethod
    async def open(
        cls,
        ip: str,
        port: int,
        timeout_s: float,
        on_count_change: Callable[[int], None] = lambda change: None,
    ) -> Connection:
        """Open a connection; raises httpcore.ConnectError, or ConnectTimeout after `timeout_s` seconds.

        `on_count_change` is called with +1 when the connection opens and -1 when it ends.
        """
        return cls(await TcpStream.connect(ip, port, timeout_s, on_count_change), ip, port)

    async def exchange(
        self,
        method: bytes,
        target: bytes,
        headers: HeaderFields,
        body: bytes,
        deadline: float,
        max_buffered_bytes: int = MAX_BUFFERED_BYTES,
        expected_header: HeaderField | None = None,
    ) -> Reply | ExchangeFailure:
        """Send a request and return the reply, or a failure, by `deadline` on the event loop's clock.

        After a complete reply the connection is either `reusable` or closed, unless the reply is surplus and
        `read_next_reply` may be called. Failure and cancellation close the connection. If a body exceeds
        `max_buffered_bytes`, its rest is read through the reply's `remainder`. `expected_header` is a header
        that replies to this request repeat: a reply in which it has another value is surplus.
        """
        if not self.stream.usable:
            return ExchangeFailure("the connection had ended", sent=False)
        self.stream.begin_exchange()
        self._head_sent = self._head_sent or method == b"HEAD"
        url = httpcore.URL(scheme=b"http", host=self._origin.host, port=self._origin.port, target=target)
        self._request = httpcore.Request(method, url, headers=headers, content=body)
        self._expected_header = expected_header
        return await self._read_reply_before(deadline, max_buffered_bytes)

    async def read_next_reply(
        self, deadline: float, max_buffered_bytes: int = MAX_BUFFERED_BYTES
    ) -> Reply | ExchangeFailure:
        """Return the reply that follows a surplus one, or a failure, like `exchange`; nothing is sent."""
        return await self._read_reply_before(deadline, max_buffered_bytes)

    async def _read_reply_before(self, deadline: float, max_buffered_bytes: int) -> Reply | ExchangeFailure:
        timer = asyncio.get_running_loop().call_at(deadline, self.stream.abort)
        try:
            reply = await self._read_reply(max_buffered_bytes, timer)
        except HTTPCORE_ERRORS as error:
            timer.cancel()
            self.close()
            timed_out = isinstance(error, httpcore.TimeoutException)
            return ExchangeFailure(f"{type(error).__name__}: {error}", self.stream.sent, timed_out)
        except BaseException:  # cancelled: a late response must not be taken for that to another request
            timer.cancel()
            self.close()
            raise
        if reply.remainder is None:  # otherwise _read_remainder cancels it
            timer.cancel()
        return reply

    async def _read_reply(self, max_buffered_bytes: int, timer: asyncio.TimerHandle) -> Reply:
        """Return the reply to the outstanding request."""
        response = await self._http.handle_async_request(self._request)
        headers = [(name.lower(), value) for name, value in response.headers]
        fields = dict(headers)
        if not is_self_delimited(self._request.method, response.status, fields):
            raise httpcore.RemoteProtocolError("nothing tells where the answer ends")
        chunks = aiter(cast("AsyncIterable[bytes]", response.stream))
        body, is_complete = await read_until_limit(chunks, max_buffered_bytes)
        if not is_complete:
            remainder = BodyRemainder(self, self._read_remainder(response, chunks, fields, timer))
            return Reply(response.status, headers, body, remainder, fields)
        is_surplus = self._is_surplus(fields)
        if is_surplus:
            self._prepare_next_reply()
        else:
            await self._finish(response, fields)
        return Reply(response.status, headers, body, None, fields, is_surplus)

    def _is_surplus(self, fields: dict[bytes, bytes]) -> bool:
        """Return whether a complete response answers another request and the expected one may follow."""
        if self._expected_header is None or self._head_sent or self._surplus_count >= MAX_SURPLUS_REPLIES:
            return False
        name, value = self._expected_header
        return fields.get(name, value) != value and not closes_connection(fields)

    def _prepare_next_reply(self) -> None:
        """Prepare for reading the response after a surplus one, and prevent any further request."""
        self._surplus_count += 1
        self.stream.taint()
        resumed = ResumedStream(self.stream, self._trailing_bytes)
        self._http = httpcore.AsyncHTTP11Connection(self._origin, resumed)

    @property
    def _trailing_bytes(self) -> bytes:
        """Bytes that were received after the end of a response.

        httpcore exposes them only after an upgrade, so they are taken from the h11 state inside the pinned
        version of httpcore.
        """
        unread, _ = self._http._h11_state.trailing_data
        return unread

    async def _finish(self, response: httpcore.Response, fields: dict[bytes, bytes]) -> None:
        """End an exchange after its complete response; close the connection unless it is reusable."""
        no_trailing_bytes = not self._trailing_bytes
        await response.aclose()
        self.stream.end_exchange(no_trailing_bytes=no_trailing_bytes)
        self.keep_alive_s = keep_alive_timeout_s(fields)
        self.idle_since = asyncio.get_running_loop().time()
        if not self.reusable:
            self.close()

    async def _read_remainder(
        self,
        response: httpcore.Response,
        chunks: AsyncIterator[bytes],
        fields: dict[bytes, bytes],
        timer: asyncio.TimerHandle,
    ) -> AsyncIterator[bytes]:
        try:
            async for chunk in chunks:
                yield chunk
            await self._finish(response, fields)
        except BaseException:
            self.close()
            raise
        finally:
            timer.cancel()

    @property
    def reusable(self) -> bool:
        """Whether another exchange may be started."""
        return self.stream.usable and self._http.is_idle()

    @property
    def ended(self) -> bool:
        """Whether the connection has ended or is about to end."""
        return self.stream.eof

    def close(self) -> None:
        """Close the connection; an exchange in progress fails."""
        self.stream.abort("closed")


async def read_until_limit(chunks: AsyncIterator[bytes], max_bytes: int) -> tuple[bytes, bool]:
    """Read `chunks` to their end, or up to the chunk with which they exceed `max_bytes`.

    Returns the bytes read, and whether the end was reached.
    """
    buffered, size = [], 0
    async for chunk in chunks:
        buffered.append(chunk)
        size += len(chunk)
        if size > max_bytes:
            return b"".join(buffered), False
    return b"".join(buffered), True
