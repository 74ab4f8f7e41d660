"""The HTTP endpoint for a program's metrics, if the command line gives a port for it."""

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
    """Serves the metrics that `read` returns at one port of a program's server; without a port, nothing."""

    def __init__(self, ip: str, read: Callable[[], Metrics], log: EventLog) -> None:
        """Create the endpoint without a port."""
        self.ip, self.read, self.log = ip, read, log
        self.port: int | None = None

    async def open(self, server: HttpServer) -> None:
        """Listen at the port, with a server that is already open.

        If the port is unavailable, log that and continue without it.
        """
        if self.port is None:
            return
        try:
            await server.open([(self.ip, self.port)])
        except OSError as error:
            self.log.info("metrics port unavailable", port=self.port, why=str(error))
            self.port = None

    async def serve(self, scope: Scope, send: Send) -> None:
        """Respond to a request that arrived at this port."""
        if scope["path"] == METRICS_PATH:
            await send_response(send, OK, [CONTENT_TYPE], render(self.read()))
        else:
            await send_response(send, NOT_FOUND)
