"""One exchange after the other on one connection to a peer, by httpcore."""

import asyncio
from dataclasses import dataclass, field
from typing import Any

import httpcore

from honeywood.gateway.rpc.stream import dial

HOLD = 1 << 18  # bytes of an answer that are held until it is whole; longer ones are passed on as they come
SURPLUS_MOST = 2  # answers to earlier requests that one exchange reads past
HOPS = frozenset(
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
    return [(name, value) for name, value in headers if name not in HOPS and name not in named]


@dataclass(slots=True)
class Reply:
    """A whole answer, or with `rest` the start of a long one. `headers` are in lower case, as they came."""

    status: int
    headers: list
    body: bytes
    rest: Any = None
    fields: dict = field(default_factory=dict)
    surplus: bool = False  # it answers another request, and `Connection.read_on` may find the right one


@dataclass(slots=True)
class Broken:
    """No whole answer: `sent` says that bytes of the request may have left, `late` that time was up."""

    why: str
    sent: bool
    late: bool = False


class AfterSurplus(httpcore.AsyncNetworkStream):
    """A stream on which a request has been sent and a surplus answer read. To a new httpcore connection it
    gives what follows that answer, and drops the request, which has left already."""

    def __init__(self, stream, unread):
        self.stream, self.unread = stream, unread

    async def read(self, max_bytes, timeout=None):
        if not self.unread:
            return await self.stream.read(max_bytes, timeout)
        data, self.unread = self.unread[:max_bytes], self.unread[max_bytes:]
        return data

    async def write(self, buffer, timeout=None):
        pass

    async def aclose(self):
        await self.stream.aclose()

    def get_extra_info(self, info):
        return self.stream.get_extra_info(info)


class Connection:
    """A connection to a peer; `idle_at` is when its last exchange ended, `keep` the peer's patience, `home`
    where it goes when a long answer has been passed on."""

    def __init__(self, stream, ip, port):
        self.stream, self.origin = stream, httpcore.Origin(b"http", ip.encode(), port)
        self.line = httpcore.AsyncHTTP11Connection(self.origin, stream)
        self.host, self.idle_at, self.keep, self.used = f"{ip}:{port}".encode(), 0.0, None, 0
        self.home = lambda link: None
        self.head_sent = False  # after a HEAD the end of an answer depends on which request it answers
        self.asked, self.expected, self.surplus = None, None, 0

    @classmethod
    async def to(cls, ip, port, within, *up):
        return cls(await dial(ip, port, within, *up), ip, port)

    async def exchange(self, method, target, headers, body, until, hold=HOLD, expected=None):
        """Reply or Broken, by `until` on the loop's clock; then the link is `fit` for another, or ended. An
        answer over `hold` bytes is passed on as it comes. `expected` is the (name, value) of the header that
        answers repeat: an answer with another value is surplus. Whoever cancels this ends the connection."""
        if not self.stream.fit:
            return Broken("the connection had ended", False)
        self.stream.begin()
        self.used += 1
        self.head_sent = self.head_sent or method == b"HEAD"
        url = httpcore.URL(scheme=b"http", host=self.origin.host, port=self.origin.port, target=target)
        self.asked, self.expected = httpcore.Request(method, url, headers=headers, content=body), expected
        return await self._answer(until, hold)

    async def read_on(self, until, hold=HOLD):
        """The answer that follows a surplus one, as `exchange` returns it; nothing is sent."""
        return await self._answer(until, hold)

    async def _answer(self, until, hold):
        stream = self.stream
        timer = asyncio.get_running_loop().call_at(until, stream.give_up)
        try:
            reply = await self.line.handle_async_request(self.asked)
            fields = {name.lower(): value for name, value in reply.headers}
            found = Reply(
                reply.status, [(name.lower(), value) for name, value in reply.headers], b"", None, fields
            )
            if not framed(self.asked.method, reply.status, fields):
                raise httpcore.RemoteProtocolError("nothing tells where the answer ends")
            chunks, size, parts = aiter(reply.stream), 0, []
            async for chunk in chunks:
                parts.append(chunk)
                size += len(chunk)
                if size > hold:
                    found.body, found.rest = b"".join(parts), self._rest(reply, chunks, fields, timer)
                    timer = None
                    return found
            found.body = b"".join(parts)
            found.surplus = self._may_read_on(fields)
            if found.surplus:
                self._pass_over()
            else:
                await self._over(reply, fields)
            return found
        except (httpcore.NetworkError, httpcore.TimeoutException, httpcore.ProtocolError, OSError) as wrong:
            late = isinstance(wrong, httpcore.TimeoutException)
            self.close()
            return Broken(f"{type(wrong).__name__}: {wrong}", stream.flushed, late)
        except BaseException:  # cancelled: what was asked for may still come, and must meet no other
            self.close()
            raise
        finally:
            if timer is not None:
                timer.cancel()

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
        self.stream.stained = True
        self.line = httpcore.AsyncHTTP11Connection(self.origin, AfterSurplus(self.stream, self._unread))

    @property
    def _unread(self):
        """What came behind an answer. httpcore tells of that only after upgrades, but its h11 state (of the
        pinned version) knows."""
        unread, _ = self.line._h11_state.trailing_data
        return unread

    async def _over(self, reply, fields):
        """The answer is whole: keeps the connection only if nothing came behind it."""
        unread = self._unread
        await reply.aclose()
        self.stream.done(not unread)
        self.keep, self.idle_at = kept(fields), asyncio.get_running_loop().time()
        if not self.fit:
            self.close()

    async def _rest(self, reply, chunks, fields, timer):
        try:
            async for chunk in chunks:
                yield chunk
            await self._over(reply, fields)
            self.home(self)
        except BaseException:
            self.close()
            raise
        finally:
            timer.cancel()

    @property
    def fit(self):
        """Whether another exchange may begin on it."""
        return self.stream.fit and self.line.is_idle()

    def close(self):
        self.stream.give_up("closed")


def framed(method, status, fields):
    """Whether an answer tells where it ends. One that ends with its connection could have been cut."""
    bare = method == b"HEAD" or status in (204, 304)
    return bare or b"content-length" in fields or b"transfer-encoding" in fields


def kept(fields):
    """For how many seconds the peer keeps an idle connection, None where it doesn't say."""
    for part in fields.get(b"keep-alive", b"").split(b","):
        name, _, value = part.strip().partition(b"=")
        if name.lower() == b"timeout" and value.strip().isdigit():
            return int(value)
    return None
