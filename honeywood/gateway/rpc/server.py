"""HTTP listeners of a program: one uvicorn server for all of its addresses."""

from __future__ import annotations

import asyncio
import socket

from uvicorn.config import Config
from uvicorn.server import Server

from honeywood.gateway.rpc.protocol import HttpProtocol

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Iterable

    from honeywood.gateway.rpc.asgi import Application

BACKLOG = 1024  # connections waiting to be accepted, per listening socket
CLOSE_CHECK_S = 0.05  # seconds between checks for open connections and requests while a server closes


def listen(ip: str, port: int) -> socket.socket:
    """Return a non-blocking socket bound to an address; raises OSError if the address is in use."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((ip, port))
    sock.setblocking(False)
    return sock


class HttpServer:
    """Listens on a program's addresses and serves one application on all of them."""

    def __init__(self, application: Application) -> None:
        """`application.limits` are enforced on the requests of all clients."""
        config = Config(
            application,
            http=HttpProtocol,
            ws="none",
            lifespan="off",
            log_config=None,
            access_log=False,
            server_header=False,
            date_header=False,
            proxy_headers=False,
            backlog=BACKLOG,
            loop="asyncio",
        )
        self.uvicorn_server = Server(config)
        self._listeners: list[asyncio.base_events.Server] = []

    async def open(self, addresses: Iterable[tuple[str, int]]) -> None:
        """Listen on `addresses` in addition to those of earlier calls; raises OSError if one is in use.

        uvicorn's main loop is not run: it only maintains dates and limits that are switched off here.
        """
        sockets = [listen(ip, port) for ip, port in addresses]
        config = self.uvicorn_server.config
        if not config.loaded:
            config.load()
        self.uvicorn_server.lifespan = config.lifespan_class(config)
        await self.uvicorn_server.startup(sockets=sockets)
        self._listeners += self.uvicorn_server.servers

    async def close(self, timeout_s: float) -> None:
        """Stop accepting, close idle connections and wait until the responses to open requests are sent.

        Waiting ends after `timeout_s` seconds. Bytes that are still buffered when the program ends are lost.
        """
        for listener in self._listeners:
            listener.close()
        for connection in list(self.uvicorn_server.server_state.connections):
            connection.shutdown()
        await self._wait_until_closed(timeout_s)

    async def _wait_until_closed(self, timeout_s: float) -> None:
        loop, state = asyncio.get_running_loop(), self.uvicorn_server.server_state
        deadline = loop.time() + timeout_s
        while (state.tasks or state.connections) and loop.time() < deadline:
            if state.tasks:
                await asyncio.wait(set(state.tasks), timeout=CLOSE_CHECK_S)
            else:
                await asyncio.sleep(CLOSE_CHECK_S)
