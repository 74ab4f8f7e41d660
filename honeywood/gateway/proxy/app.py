"""The proxy's ASGI application: clients, the platform's readiness calls, and news."""

import json
from collections import Counter

import httpcore

from honeywood.gateway.configuration.check import read_json
from honeywood.gateway.dissemination.messages import PollRequest
from honeywood.gateway.dissemination.record import PATH
from honeywood.gateway.errors import GatewayError
from honeywood.gateway.proxy.forwarding import ClientRequest
from honeywood.gateway.proxy.responses import (
    BAD_REQUEST,
    BODY_TOO_LONG,
    NO_CONFIGURATION_RETRY_S,
    NOT_FOUND,
    UNAUTHORIZED,
    UNAVAILABLE,
    own_response,
)
from honeywood.gateway.routing.tenants import WITHOUT_TENANTS
from honeywood.gateway.rpc.asgi import read_body, send_response, stream_response
from honeywood.gateway.rpc.request_context import CONTEXT

NEWS_MOST = 8 << 20  # bytes of one ask or answer of news
OK = 200
CHALLENGE = (b"www-authenticate", b"ApiKey")  # 401 must name how to authenticate (RFC 9110, 15.5.2)


class App:
    """What the proxy's listeners call for each request."""

    def __init__(self, proxy):
        """`proxy` is the program."""
        self.proxy, self.refusals = proxy, Counter()  # refusals by reason
        self.relaying = 0  # long answers that are being passed on
        self.ready_port = proxy.settings.listen.ready.port
        self.news_port = proxy.settings.proxy_port

    @property
    def limits(self):
        """The bounds on clients that are in force."""
        return self.proxy.limits

    async def __call__(self, scope, receive, send):
        """ASGI: a client's request, the platform's readiness call, or another proxy's ask for news."""
        port = scope["server"][1]
        if port == self.ready_port:
            return await send_response(send, OK if self.proxy.ready else UNAVAILABLE)
        if port == self.news_port:
            return await self.news(scope, receive, send)
        if port == self.proxy.metrics_endpoint.port:
            return await self.proxy.metrics_endpoint.serve(scope, send)
        context = scope[CONTEXT]
        early = context.early_response
        response = await (early if early is not None else self.client(scope, receive))
        headers = response.headers
        if self.proxy.stopping.is_set() and not context.others_begun():
            headers = [*headers, (b"connection", b"close")]  # what has begun behind is answered first
        if response.remainder is None:
            return await send_response(send, response.status, headers, response.body)
        await self._relay(send, response, headers, context.disconnect)

    async def _relay(self, send, response, headers, disconnect):
        """Passes a long answer on as it comes."""
        self.relaying += 1
        try:
            await stream_response(send, response.status, headers, _chunks(response))
        except httpcore.ReadTimeout:  # what `abandon` makes of the reading
            if not disconnect.happened:
                raise
        finally:
            self.relaying -= 1
            disconnect.unsubscribe(response.remainder.abandon)

    def begin_early(self, scope):
        """Begins with a request that stands behind another, where it may be repeated and has no body: a task
        of its ClientResponse, or None."""
        fields = dict(scope["headers"])
        if self.proxy.stopping.is_set():  # what stands behind an answer that closes isn't read
            return None
        if scope["server"][1] in (self.ready_port, self.news_port):
            return None
        if fields.get(b"content-length", b"0") != b"0" or b"transfer-encoding" in fields:
            return None
        route = self._route(scope, fields)
        admission = self._admit(route, scope["headers"]) if route is not None and route.idempotent else None
        if admission is None:
            return None
        return self.proxy.start(self._forward(scope, route, admission, fields, b""))

    async def client(self, scope, receive):
        """The ClientResponse to a client's request."""
        fields = dict(scope["headers"])
        if self.proxy.table is None:
            return self._refused(UNAVAILABLE, "no configuration yet", NO_CONFIGURATION_RETRY_S)
        route = self._route(scope, fields)
        if route is None:
            return self._refused(NOT_FOUND, "no route")
        admission = self._admit(route, scope["headers"])
        if admission is None:
            refused = self._refused(UNAUTHORIZED, "no known key")
            refused.headers.append(CHALLENGE)
            return refused
        body = await read_body(receive, self.proxy.limits.body_bytes)
        if body is None and scope[CONTEXT].disconnect.happened:
            return self._refused(BAD_REQUEST, "its client left before its end")
        if body is None:
            return self._refused(BODY_TOO_LONG, "the body is too long")
        return await self._forward(scope, route, admission, fields, body)

    def _refused(self, status, reason, retry_after_s=None):
        """An answer of our own to a request that is not forwarded, counted by its reason."""
        self.refusals[f"not forwarded: {reason}"] += 1
        return own_response(status, reason, retry_after_s)

    def _route(self, scope, fields):
        table = self.proxy.table
        return table.find(fields.get(b"host", b""), scope["raw_path"]) if table else None

    def _admit(self, route, headers):
        """The Admission of a request on `route`; None where its key is not known."""
        tenants = self.proxy.table.tenants
        return WITHOUT_TENANTS if tenants is None else tenants.admit(headers, route.public)

    async def _forward(self, scope, route, admission, fields, body):
        context = scope[CONTEXT]
        request = ClientRequest(
            scope["method"].encode(),
            context.target,
            scope["headers"],
            fields,
            body,
            context.disconnect,
            context.received_at,
            admission,
        )
        response = await self.proxy.forwarder.forward(route, request)
        if response.remainder is not None and route.idempotent:  # it may wait long for its turn
            context.disconnect.subscribe(response.remainder.abandon)
        return response

    async def hear(self, raw, peer, has_left=lambda: False):
        """The answer to another program's ask for news."""
        poll = PollRequest.decode(read_json(raw, PATH, peer), peer)
        return (await self.proxy.publisher.serve(poll, has_left)).encode()

    async def news(self, scope, receive, send):
        """Another proxy's ask for news."""
        peer = scope["client"][0]
        try:
            if scope["path"] != PATH or scope["method"] != "POST":
                return await send_response(send, NOT_FOUND)
            raw = await read_body(receive, NEWS_MOST)
            if raw is None:
                return await send_response(send, BODY_TOO_LONG)
            disconnect = scope[CONTEXT].disconnect
            found = await self.hear(raw, peer, lambda: disconnect.happened)
        except GatewayError as wrong:
            return await send_response(send, BAD_REQUEST, (), str(wrong).encode())
        await send_response(
            send,
            200,
            [(b"content-type", b"application/json")],
            json.dumps(found, separators=(",", ":")).encode(),
        )


async def _chunks(response):
    """The start of a long body and what follows it."""
    yield response.body
    async for chunk in response.remainder:
        yield chunk
