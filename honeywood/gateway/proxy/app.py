"""The proxy's ASGI application: passes each request to the handler of its listener."""

from __future__ import annotations

from honeywood.gateway.proxy.client_response import UNAVAILABLE
from honeywood.gateway.rpc.asgi import send_response
from honeywood.gateway.rpc.request_context import CONTEXT

TYPE_CHECKING = False
if TYPE_CHECKING:
    import asyncio

    from honeywood.gateway.configuration.model import Limits
    from honeywood.gateway.metrics_endpoint import MetricsEndpoint
    from honeywood.gateway.proxy.active_configuration import ActiveConfiguration
    from honeywood.gateway.proxy.client_handler import ClientHandler
    from honeywood.gateway.proxy.client_response import ClientResponse
    from honeywood.gateway.proxy.peer_handler import PeerHandler
    from honeywood.gateway.proxy.readiness import Readiness
    from honeywood.gateway.proxy.response_writer import ResponseWriter
    from honeywood.gateway.rpc.asgi import Receive, Scope, Send

OK = 200


class App:
    """The application that the HTTP server calls for each request on any of the proxy's listeners.

    `ready_port` receives the platform's readiness checks and `peer_port` the polls of other proxies. Requests
    that come neither there nor to the metrics endpoint are those of clients.
    """

    def __init__(
        self,
        configuration: ActiveConfiguration,
        clients: ClientHandler,
        peers: PeerHandler,
        writer: ResponseWriter,
        readiness: Readiness,
        stopping: asyncio.Event,
        metrics: MetricsEndpoint,
        ready_port: int,
        peer_port: int,
    ) -> None:
        """Builds the application of one proxy."""
        self.configuration = configuration
        self.clients = clients
        self.peers = peers
        self.writer = writer
        self.readiness = readiness
        self.stopping = stopping
        self.metrics = metrics
        self.ready_port = ready_port
        self.peer_port = peer_port

    @property
    def limits(self) -> Limits:
        """The limits on clients that are in effect; the HTTP server reads them."""
        return self.configuration.limits

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Answers one request."""
        port = scope["server"][1]
        if port == self.ready_port:
            await send_response(send, OK if self.readiness.is_ready() else UNAVAILABLE)
        elif port == self.peer_port:
            await self.peers.handle(scope, receive, send)
        elif port == self.metrics.port:
            await self.metrics.serve(scope, send)
        else:
            await self._serve_client(scope, receive, send)

    async def _serve_client(self, scope: Scope, receive: Receive, send: Send) -> None:
        context = scope[CONTEXT]
        early = context.early_response
        response = await (early if early is not None else self.clients.handle(scope, receive))
        # A stopping proxy answers the pipelined requests that it has started before it closes the connection.
        close = self.stopping.is_set() and not context.later_requests_begun()
        await self.writer.write(send, response, context.disconnect, close)

    def begin_early(self, scope: Scope) -> asyncio.Task[ClientResponse] | None:
        """Starts a pipelined request early; returns None if it has to wait for its turn.

        A stopping proxy starts none, because requests behind a response that closes the connection are not
        read.
        """
        if self.stopping.is_set() or scope["server"][1] in (self.ready_port, self.peer_port):
            return None
        return self.clients.begin_early(scope)
