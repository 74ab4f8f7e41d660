"""One exchange after the other on one connection to a peer, by httpcore."""

import asyncio
from dataclasses import dataclass, field
from typing import Any

import httpcore

from honeywood.gateway.rpc.stream import dial

HOLD = 1 << 18  # bytes of an answer that are held until it is whole; longer ones are passed on as they come
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


@dataclass(slots=True)
class Broken:
    """No whole answer: `sent` says that bytes of the request may have left, `late` that time was up."""

    why: str
    sent: bool
    late: bool = False


class Connection:
    """A connection to a peer; `idle_at` is when its last exchange ended, `keep` the peer's patience, `home`
    where it goes when a long answer has been passed on."""

    def __init__(self, stream, ip, port):
        self.stream, self.origin = stream, httpcore.Origin(b"http", ip.encode(), port)
        self.line = httpcore.AsyncHTTP11Connection(self.origin, stream)
        self.host, self.idle_at, self.keep, self.used = f"{ip}:{port}".encode(), 0.0, None, 0
        self.home = lambda link: None

    @classmethod
    async def to(cls, ip, port, within, *up):
        return cls(await dial(ip, port, within, *up), ip, port)

    async def exchange(self, method, target, headers, body, until, hold=HOLD):
        """Reply or Broken, by `until` on the loop's clock; then the link is `fit` for another, or ended. An
        answer over `hold` bytes is passed on as it comes. Whoever cancels this ends the connection."""
        loop, stream = asyncio.get_running_loop(), self.stream
        if not stream.fit:
            return Broken("the connection had ended", False)
        stream.begin()
        self.used += 1
        timer = loop.call_at(until, stream.give_up)
        try:
            url = httpcore.URL(scheme=b"http", host=self.origin.host, port=self.origin.port, target=target)
            reply = await self.line.handle_async_request(
                httpcore.Request(method, url, headers=headers, content=body)
            )
            fields = {name.lower(): value for name, value in reply.headers}
            found = Reply(
                reply.status, [(name.lower(), value) for name, value in reply.headers], b"", None, fields
            )
            if not framed(method, reply.status, fields):
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

    async def _over(self, reply, fields):
        """The answer is whole: keeps the connection only if nothing came behind it. httpcore tells of that
        only after upgrades, but its h11 state (of the pinned version) knows."""
        behind, _ = self.line._h11_state.trailing_data
        await reply.aclose()
        self.stream.done(not behind)
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
