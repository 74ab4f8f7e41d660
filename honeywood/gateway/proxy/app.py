"""The proxy's ASGI application: clients, the platform's readiness calls, and news."""

import json

from honeywood.gateway.configuration.check import read_json
from honeywood.gateway.configuration.outcome import Wrong
from honeywood.gateway.dissemination.messages import Ask
from honeywood.gateway.dissemination.record import PATH
from honeywood.gateway.proxy.forwarding import AGAIN_S, ours
from honeywood.gateway.rpc.asgi import answer, body_of

NEWS_MOST = 8 << 20  # bytes of one ask or answer of news


class App:
    def __init__(self, proxy):
        self.proxy = proxy
        self.ready_port = proxy.settings.listen["ready"][1]
        self.news_port = proxy.settings.proxy_port

    @property
    def limits(self):
        return self.proxy.limits

    async def __call__(self, scope, receive, send):
        port = scope["server"][1]
        if port == self.ready_port:
            return await answer(send, 200 if self.proxy.ready else 503)
        if port == self.news_port:
            return await self.news(scope, receive, send)
        early = scope.get("early")
        found = await (early if early is not None else self.client(scope, receive))
        headers = found.headers
        behind = scope.get("behind", bool)  # what has begun behind this one is answered before the end
        if self.proxy.stopping.is_set() and not behind():
            headers = [*headers, (b"connection", b"close")]
        if found.rest is None:
            return await answer(send, found.status, headers, found.body)
        await send({"type": "http.response.start", "status": found.status, "headers": headers})
        await send({"type": "http.response.body", "body": found.body, "more_body": True})
        async for chunk in found.rest:
            await send({"type": "http.response.body", "body": chunk, "more_body": True})
        await send({"type": "http.response.body", "body": b""})

    def early(self, scope):
        """Begins with a request that stands behind another, where it may be repeated and has no body."""
        fields = dict(scope["headers"])
        if (
            self.proxy.stopping.is_set()  # what stands behind an answer that closes isn't read
            or scope["server"][1] in (self.ready_port, self.news_port)
            or fields.get(b"content-length", b"0") != b"0"
        ):
            return None
        table = self.proxy.table
        route = table.find(fields.get(b"host", b""), scope["raw_path"]) if table else None
        if route is None or not route.safe or b"transfer-encoding" in fields:
            return None
        return self.proxy.start(self.carry(scope, route, fields, b""))

    async def client(self, scope, receive):
        proxy, fields = self.proxy, dict(scope["headers"])
        if proxy.table is None:
            return ours(503, "no configuration yet", AGAIN_S)
        route = proxy.table.find(fields.get(b"host", b""), scope["raw_path"])
        if route is None:
            return ours(404, "no route")
        body = await body_of(receive, proxy.limits.body_bytes)
        if body is None:
            return ours(413, "the body is too long")
        return await self.carry(scope, route, fields, body)

    async def carry(self, scope, route, fields, body):
        left, arrived = scope.get("left", lambda: False), scope.get("arrived")
        return await self.proxy.forwarder.carry(
            route, scope["method"].encode(), scope["target"], scope["headers"], fields, body, left, arrived
        )

    async def hear(self, raw, peer):
        """The answer to another front's ask for news."""
        ask = Ask.decode(read_json(raw, PATH, peer), peer)
        return (await self.proxy.publisher.serve(ask)).encode()

    async def news(self, scope, receive, send):
        peer = scope["client"][0]
        try:
            if scope["path"] != PATH or scope["method"] != "POST":
                return await answer(send, 404)
            raw = await body_of(receive, NEWS_MOST)
            if raw is None:
                return await answer(send, 413)
            found = await self.hear(raw, peer)
        except Wrong as wrong:
            return await answer(send, 400, (), str(wrong).encode())
        await answer(
            send,
            200,
            [(b"content-type", b"application/json")],
            json.dumps(found, separators=(",", ":")).encode(),
        )
