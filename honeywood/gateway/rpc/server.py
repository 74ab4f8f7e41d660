"""The listeners of a program, by uvicorn: one server for all of its addresses."""

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

BACKLOG = 1024  # connections that wait to be accepted
CLOSE_CHECK_S = 0.05  # seconds between looks at what is left while a server closes


def listen(ip: str, port: int) -> socket.socket:
    """Return a socket bound to an address; raises OSError if it is taken."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((ip, port))
    sock.setblocking(False)
    return sock


class HttpServer:
    """Listens on a program's addresses and serves one application on all of them."""

    def __init__(self, application: Application) -> None:
        """`application.limits` bounds what clients may send."""
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
        """Listen on addresses, besides those of earlier calls; raises OSError if one is taken.

        uvicorn's own main loop is left out: it only keeps dates and limits that are off here.
        """
        sockets = [listen(ip, port) for ip, port in addresses]
        config = self.uvicorn_server.config
        if not config.loaded:
            config.load()
        self.uvicorn_server.lifespan = config.lifespan_class(config)
        await self.uvicorn_server.startup(sockets=sockets)
        self._listeners += self.uvicorn_server.servers

    async def close(self, timeout_s: float) -> None:
        """Accept no more, end idle connections, and wait until the open requests' responses have left.

        After `timeout_s` seconds what remains is given up: bytes that a program still buffers when it ends
        are lost.
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
