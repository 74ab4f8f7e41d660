"""Listening, by uvicorn: one server for all of a program's addresses."""

import asyncio
import socket

from uvicorn.config import Config
from uvicorn.protocols.http.httptools_impl import STATUS_LINE, HttpToolsProtocol
from uvicorn.server import Server

BACKLOG = 1024
AHEAD = 16  # requests of one connection that are at work before the first is answered
CLOSE_LOOK = 0.05  # seconds between looks at what is left while listening ends
CALL_ID = b"x-call-id"  # the id that one of our own calls carries, and its answer repeats


class Refused(Exception):
    """A request that is not read further; carries the status."""


class HttpProtocol(HttpToolsProtocol):
    """uvicorn's connection, with bounds on what a client may send and how long it may take to say what it
    wants (`app.limits`); it refuses what another reader might read otherwise, and lets the application begin
    with requests that stand behind another."""

    def connection_made(self, transport):
        super().connection_made(transport)
        self.size, self.status = 0, 400
        self.patience = self.loop.call_later(self.config.app.limits.idle_s, self.too_slow)

    def connection_lost(self, exc):
        self.patience.cancel()
        super().connection_lost(exc)

    @property
    def free(self):
        """Whether no request is at work."""
        return self.cycle is None or self.cycle.response_complete

    def data_received(self, data):
        if self.free and not self.size:  # a head begins
            self.wait(self.config.app.limits.header_s)
        super().data_received(data)
        if self.reading and not self.transport.is_closing():
            self.wait(self.config.app.limits.idle_s)

    @property
    def reading(self):
        """Whether a request has begun whose body is not whole; nothing of it has been passed on."""
        return self.cycle is not None and self.cycle.more_body and not self.cycle.response_started

    def on_response_complete(self):
        """A rest begins, if nothing stands behind: it lasts as long as the limits in force say."""
        self.rests_at, self.timeout_keep_alive = self.loop.time(), self.config.app.limits.idle_s
        super().on_response_complete()

    def timeout_keep_alive_handler(self):
        """Ends a connection that has rested for as long as the limits said when the rest began, and say now:
        clients go by either. A rest begins when the answer has left."""
        now = self.loop.time()
        if self.transport.get_write_buffer_size():
            self.rests_at = now
        left = self.rests_at + self.config.app.limits.idle_s - now
        if left > 0:
            self.timeout_keep_alive_task = self.loop.call_later(left, self.timeout_keep_alive_handler)
        else:
            super().timeout_keep_alive_handler()

    @property
    def begun(self):
        """Whether a request that stands behind another has been begun: it may be at a machine, and an answer
        before it that ends the connection would cut it off."""
        return any(cycle.scope.get("early") is not None for cycle, _ in self.pipeline)

    def shutdown(self):
        """uvicorn's way to end a connection, left to the last answer where requests behind have begun."""
        if not self.begun:
            super().shutdown()

    def wait(self, within):
        self.patience.cancel()
        self.patience = self.loop.call_later(within, self.too_slow)

    def too_slow(self):
        """No whole head or no more of a body came in time."""
        if self.size or self.reading:
            self.end(408)
        self.transport.close()

    def send_400_response(self, msg):
        """uvicorn's answer to what can't be read, with the status that fits."""
        self.end(self.status)

    def end(self, status):
        """Ends the connection, with an answer unless that would stand between those of other requests."""
        self.patience.cancel()
        if (self.free or self.reading and not self.pipeline) and not self.transport.is_closing():
            self.transport.write(STATUS_LINE[status] + b"content-length: 0\r\nconnection: close\r\n\r\n")
        self.transport.close()

    def on_message_complete(self):
        """A request is whole. It may stand behind another for long, while its client's time goes on."""
        self.patience.cancel()
        self.scope["arrived"] = self.loop.time()
        super().on_message_complete()

    def count(self, size):
        self.size += size
        if self.size > self.config.app.limits.header_bytes:
            self.status = 431
            raise Refused

    def on_url(self, url):
        self.count(len(url) + 1)
        super().on_url(url)

    def on_header(self, name, value):
        self.count(len(name) + len(value) + 4)
        super().on_header(name, value)

    def on_headers_complete(self):
        self.patience.cancel()
        self.size, names = 0, [name for name, _ in self.headers]
        coded = [value.strip().lower() for name, value in self.headers if name == b"transfer-encoding"]
        if names.count(b"host") != 1 or coded not in ([], [b"chunked"]):
            raise Refused
        if not self.url.startswith(b"/") or b"#" in self.url:
            raise Refused
        self.scope["target"], self.scope["left"] = self.url, self.transport.is_closing
        self.scope["behind"] = lambda: self.begun
        super().on_headers_complete()
        ids = [(name, value) for name, value in self.headers if name == CALL_ID]
        if ids:  # put here, so that no application forgets it
            self.cycle.default_headers = [*self.cycle.default_headers, ids[0]]
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


class HttpServer:
    """The listeners of a program; `app.limits` bounds what comes in."""

    def __init__(self, app):
        config = Config(
            app,
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
        self.server = Server(config)

    async def open(self, places):
        """Listens on [(ip, port)]. uvicorn's own loop only keeps dates and limits that are off here."""
        self.server.config.load()
        self.server.lifespan = self.server.config.lifespan_class(self.server.config)
        await self.server.startup(sockets=[listen(ip, port) for ip, port in places])

    async def close(self, within):
        """Takes no more, ends idle connections, and waits for what is at work and until its answers have
        left: what a program that ends still holds is lost."""
        for server in self.server.servers:
            server.close()
        for connection in list(self.server.server_state.connections):
            connection.shutdown()
        loop, state = asyncio.get_running_loop(), self.server.server_state
        until = loop.time() + within
        while (state.tasks or state.connections) and loop.time() < until:
            if state.tasks:
                await asyncio.wait(set(state.tasks), timeout=CLOSE_LOOK)
            else:
                await asyncio.sleep(CLOSE_LOOK)
