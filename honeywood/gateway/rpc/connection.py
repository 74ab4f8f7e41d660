"""One exchange after the other on one connection to a peer, by httpcore."""

import asyncio
from dataclasses import dataclass, field

import httpcore

from honeywood.gateway.rpc.stream import dial

HOLD_BYTES = 1 << 18  # of an answer that are held until it is whole; longer ones are passed on as they come
SURPLUS_MOST = 2  # answers to other requests that one exchange reads past
HOP_BY_HOP = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"proxy-authenticate",
        b"proxy-authorization",
    )
)


def end_to_end(headers):
    """Headers (names in lower case) without those that concern a single connection."""
    named = {
        token.strip().lower()
        for name, value in headers
        if name == b"connection"
        for token in value.split(b",")
    }
    return [(name, value) for name, value in headers if name not in HOP_BY_HOP and name not in named]


class Remainder:
    """What follows the start of a long answer, as an asynchronous iterator of bytes that is read once."""

    __slots__ = ("connection", "chunks", "whole")

    def __init__(self, connection, chunks):
        """`chunks` are read from `connection`."""
        self.connection, self.chunks, self.whole = connection, chunks, False

    async def __aiter__(self):
        """The chunks; reading raises where the answer ends early. The connection is given back at the end."""
        async for chunk in self.chunks:
            yield chunk
        self.whole = True
        self.connection.on_release(self.connection)

    def abandon(self):
        """Nobody wants the rest: ends the connection, and with it the reading. What has been read whole has
        given its connection back, and others may use it."""
        if not self.whole:
            self.connection.close()


@dataclass(slots=True)
class Reply:
    """A whole answer, or with `remainder` the start of a long one. `headers` are in lower case, as they came;
    `fields` has one value of each."""

    status: int
    headers: list
    body: bytes
    remainder: Remainder | None = None
    fields: dict = field(default_factory=dict)
    surplus: bool = False  # it answers another request, and `Connection.read_on` may find the right one


@dataclass(slots=True)
class ExchangeFailed:
    """No whole answer: `sent` says that bytes of the request may have left, `timed_out` that time was up."""

    reason: str
    sent: bool
    timed_out: bool = False


class AfterSurplus(httpcore.AsyncNetworkStream):
    """A stream on which a request has been sent and a surplus answer read. To a new httpcore connection it
    gives what follows that answer, and drops the request, which has left already."""

    def __init__(self, stream, unread):
        """`unread` was read behind the surplus answer."""
        self.stream, self.unread = stream, unread

    async def read(self, max_bytes, timeout=None):
        """What was read behind the surplus answer, then what comes."""
        if not self.unread:
            return await self.stream.read(max_bytes, timeout)
        data, self.unread = self.unread[:max_bytes], self.unread[max_bytes:]
        return data

    async def write(self, buffer, timeout=None):
        """The request again: it isn't sent twice."""

    async def aclose(self):
        """Ends the connection."""
        await self.stream.aclose()

    def get_extra_info(self, info):
        """As of the stream."""
        return self.stream.get_extra_info(info)


class Connection:
    """A connection to a peer. `idle_since` is when its last exchange ended, `keep_alive_s` for how long the
    peer says it keeps an idle one, `on_release` is told of it when a long answer has been passed on."""

    __slots__ = (
        "stream",
        "origin",
        "http",
        "idle_since",
        "keep_alive_s",
        "on_release",
        "head_sent",
        "request",
        "expected",
        "surplus",
    )

    def __init__(self, stream, ip, port):
        """Over a Stream that stands; see `open`."""
        self.stream, self.origin = stream, httpcore.Origin(b"http", ip.encode(), port)
        self.http = httpcore.AsyncHTTP11Connection(self.origin, stream)
        self.idle_since, self.keep_alive_s = 0.0, None
        self.on_release = lambda connection: None
        self.head_sent = False  # after a HEAD the end of an answer depends on which request it answers
        self.request, self.expected, self.surplus = None, None, 0

    @classmethod
    async def open(cls, ip, port, within_s, *on_change):
        """A new connection, or httpcore.ConnectError or ConnectTimeout."""
        return cls(await dial(ip, port, within_s, *on_change), ip, port)

    async def exchange(self, method, target, headers, body, until, hold=HOLD_BYTES, expected=None):
        """Reply or ExchangeFailed, by `until` on the loop's clock; then the connection is `reusable`, or
        ended. An answer over `hold` bytes is passed on as it comes. `expected` is the (name, value) of the
        header that answers repeat: an answer with another value is surplus. Whoever cancels this ends the
        connection."""
        if not self.stream.usable:
            return ExchangeFailed("the connection had ended", False)
        self.stream.begin_exchange()
        self.head_sent = self.head_sent or method == b"HEAD"
        url = httpcore.URL(scheme=b"http", host=self.origin.host, port=self.origin.port, target=target)
        self.request, self.expected = httpcore.Request(method, url, headers=headers, content=body), expected
        return await self._reply(until, hold)

    async def read_on(self, until, hold=HOLD_BYTES):
        """The answer that follows a surplus one, as `exchange` returns it; nothing is sent."""
        return await self._reply(until, hold)

    async def _reply(self, until, hold):
        timer = asyncio.get_running_loop().call_at(until, self.stream.abort)
        reply = None
        try:
            reply = await self._read(hold, timer)
            return reply
        except (httpcore.NetworkError, httpcore.TimeoutException, httpcore.ProtocolError, OSError) as wrong:
            self.close()
            reason = f"{type(wrong).__name__}: {wrong}"
            return ExchangeFailed(reason, self.stream.sent, isinstance(wrong, httpcore.TimeoutException))
        except BaseException:  # cancelled: what was asked for may still come, and must meet no other
            self.close()
            raise
        finally:
            if reply is None or reply.remainder is None:  # else the remainder's reader ends it
                timer.cancel()

    async def _read(self, hold, timer):
        """The Reply to the request that is out."""
        response = await self.http.handle_async_request(self.request)
        headers = [(name.lower(), value) for name, value in response.headers]
        fields = dict(headers)
        if not is_framed(self.request.method, response.status, fields):
            raise httpcore.RemoteProtocolError("nothing tells where the answer ends")
        chunks, size, parts = aiter(response.stream), 0, []
        async for chunk in chunks:
            parts.append(chunk)
            size += len(chunk)
            if size > hold:
                remainder = Remainder(self, self._remainder(response, chunks, fields, timer))
                return Reply(response.status, headers, b"".join(parts), remainder, fields)
        reply = Reply(response.status, headers, b"".join(parts), None, fields, self._may_read_on(fields))
        if reply.surplus:
            self._pass_over()
        else:
            await self._end(response, fields)
        return reply

    def _may_read_on(self, fields):
        """Whether a whole answer belongs to another request, and the right one may follow it."""
        if self.expected is None or self.head_sent or self.surplus >= SURPLUS_MOST:
            return False
        name, value = self.expected
        closes = b"close" in fields.get(b"connection", b"").lower()
        return fields.get(name, value) != value and not closes

    def _pass_over(self):
        """Makes ready for what follows a surplus answer. No other request is sent on this connection."""
        self.surplus += 1
        self.stream.tainted = True
        self.http = httpcore.AsyncHTTP11Connection(self.origin, AfterSurplus(self.stream, self._unread))

    @property
    def _unread(self):
        """What came behind an answer. httpcore tells of that only after upgrades, but its h11 state (of the
        pinned version) knows."""
        unread, _ = self.http._h11_state.trailing_data
        return unread

    async def _end(self, response, fields):
        """The answer is whole: keeps the connection only if nothing came behind it."""
        unread = self._unread
        await response.aclose()
        self.stream.end_exchange(not unread)
        self.keep_alive_s, self.idle_since = keep_alive_of(fields), asyncio.get_running_loop().time()
        if not self.reusable:
            self.close()

    async def _remainder(self, response, chunks, fields, timer):
        try:
            async for chunk in chunks:
                yield chunk
            await self._end(response, fields)
        except BaseException:
            self.close()
            raise
        finally:
            timer.cancel()

    @property
    def reusable(self):
        """Whether another exchange may begin on it."""
        return self.stream.usable and self.http.is_idle()

    @property
    def ended(self):
        """Whether it has ended, or is about to."""
        return self.stream.eof

    def close(self):
        """Ends it; what is out on it fails."""
        self.stream.abort("closed")


def is_framed(method, status, fields):
    """Whether an answer tells where it ends. One that ends with its connection could have been cut."""
    bare = method == b"HEAD" or status in (204, 304)
    return bare or b"content-length" in fields or b"transfer-encoding" in fields


def keep_alive_of(fields):
    """For how many seconds the peer keeps an idle connection, None where it doesn't say."""
    for part in fields.get(b"keep-alive", b"").split(b","):
        name, _, value = part.strip().partition(b"=")
        if name.lower() == b"timeout" and value.strip().isdigit():
            return int(value)
    return None
