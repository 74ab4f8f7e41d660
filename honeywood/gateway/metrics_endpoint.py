"""The address at which a program serves its metrics, where the command line names a port for it."""

from __future__ import annotations

from honeywood.gateway.metrics import CONTENT_TYPE, METRICS_PATH, Metrics, render
from honeywood.gateway.rpc.asgi import send_response

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Callable

    from honeywood.gateway.event_log import EventLog
    from honeywood.gateway.rpc.asgi import Scope, Send
    from honeywood.gateway.rpc.server import HttpServer

OK, NOT_FOUND = 200, 404


class MetricsEndpoint:
    """Serves readings of `read` at one port of a program's server; without a port it serves nothing."""

    def __init__(self, ip: str, read: Callable[[], Metrics], log: EventLog) -> None:
        """Start without a port."""
        self.ip, self.read, self.log = ip, read, log
        self.port: int | None = None

    async def open(self, server: HttpServer) -> None:
        """Listen by a server that is open already; where the port is taken, go on without."""
        if self.port is None:
            return
        try:
            await server.open([(self.ip, self.port)])
        except OSError as error:
            self.log.info("metrics port unavailable", port=self.port, why=str(error))
            self.port = None

    async def serve(self, scope: Scope, send: Send) -> None:
        """Answer a request that came to this port."""
        if scope["path"] == METRICS_PATH:
            await send_response(send, OK, [CONTENT_TYPE], render(self.read()))
        else:
            await send_response(send, NOT_FOUND)
