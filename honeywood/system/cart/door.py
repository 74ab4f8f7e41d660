"""Listening, by uvicorn: one server for all of a program's addresses."""

import asyncio
import socket

import uvicorn
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

BACKLOG = 1024
AHEAD = 16  # requests of one connection that are at work before the first is answered


class Door(HttpToolsProtocol):
    """uvicorn's connection, which lets the application begin with requests that stand behind another."""

    def on_headers_complete(self):
        super().on_headers_complete()
        if self.pipeline and self.pipeline[0][0] is self.cycle and self.scope["method"] in ("GET", "HEAD"):
            early = getattr(self.config.app, "early", None)
            if early is not None:
                self.scope["early"] = early(self.scope)
            if len(self.pipeline) < AHEAD:
                self.flow.resume_reading()


def listen(ip, port):
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((ip, port))
    sock.setblocking(False)
    return sock


class Doors:
    """The listeners of a program."""

    def __init__(self, app, idle_s):
        config = uvicorn.Config(
            app,
            http=Door,
            ws="none",
            lifespan="off",
            log_config=None,
            access_log=False,
            server_header=False,
            date_header=False,
            proxy_headers=False,
            timeout_keep_alive=idle_s,
            backlog=BACKLOG,
            loop="asyncio",
        )
        self.server = uvicorn.Server(config)

    async def open(self, places):
        """Listens on [(ip, port)]. uvicorn's own loop only keeps dates and limits that are off here."""
        self.server.config.load()
        self.server.lifespan = self.server.config.lifespan_class(self.server.config)
        await self.server.startup(sockets=[listen(ip, port) for ip, port in places])

    @property
    def busy(self):
        return bool(self.server.server_state.tasks)

    async def close(self, within):
        """Takes no more, ends idle connections, and waits for what is at work."""
        for server in self.server.servers:
            server.close()
        for connection in list(self.server.server_state.connections):
            connection.shutdown()
        until = asyncio.get_running_loop().time() + within
        while self.server.server_state.tasks and asyncio.get_running_loop().time() < until:
            await asyncio.wait(set(self.server.server_state.tasks), timeout=0.05)
