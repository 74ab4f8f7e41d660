"""Listening, by uvicorn: one server for all of a program's addresses."""

import asyncio
import select
import socket

from uvicorn.config import Config
from uvicorn.protocols.http.flow_control import FlowControl
from uvicorn.protocols.http.httptools_impl import STATUS_LINE, HttpToolsProtocol
from uvicorn.server import Server

from honeywood.gateway.rpc.asgi import CONTEXT, RequestContext
from honeywood.gateway.rpc.client_disconnect import ClientDisconnect

BACKLOG = 1024
PIPELINED_MOST = 16  # requests of one connection that are at work before the first is answered
HANG_UP_LOOK_S = 0.1  # seconds between looks at whether a client has left whose connection isn't read
CLOSE_LOOK_S = 0.05  # seconds between looks at what is left while listening ends
LINE_BYTES = 4  # of a header's line beside its name and value
CALL_ID = b"x-call-id"  # the id that one of our own calls carries, and its answer repeats
BAD_REQUEST, TIMEOUT, HEAD_TOO_LONG = 400, 408, 431


class Refused(Exception):
    """A request that is not read further; `HttpProtocol.refusal` is its status."""


class HttpProtocol(HttpToolsProtocol):
    """uvicorn's connection, with bounds on what a client may send and how long it may take to say what it
    wants (`app.limits`); it refuses what another reader might read otherwise, and lets the application begin
    with requests that stand behind another."""

    def connection_made(self, transport):
        """A client has come."""
        super().connection_made(transport)
        self.head_bytes, self.refusal = 0, BAD_REQUEST
        self.flow = WatchedFlow(transport, self.watch_for_hang_up)
        self.disconnect = ClientDisconnect(lambda: hung_up(transport.get_extra_info("socket")))
        self.hang_up_timer, self.open_cycles = None, []
        self.timer = self.loop.call_later(self.config.app.limits.idle_s, self.on_timeout)

    def connection_lost(self, exc):
        """The client has gone."""
        self.timer.cancel()
        self.client_left()
        super().connection_lost(exc)

    def eof_received(self):
        """The client sends no more: it has left, and the connection ends."""
        self.client_left()

    def client_left(self):
        """Nobody waits for the answers to what is open on this connection."""
        if self.hang_up_timer is not None:
            self.hang_up_timer.cancel()
        for cycle in self.open_cycles:
            cycle.disconnected = True
            cycle.message_event.set()
        self.open_cycles.clear()
        self.disconnect.notify(self.loop.time())

    def watch_for_hang_up(self):
        """Reading has been paused: the client's leaving would lie unread behind what it has sent, so it is
        looked for until reading goes on."""
        if self.hang_up_timer is None:
            self.hang_up_timer = self.loop.call_later(HANG_UP_LOOK_S, self.look_for_hang_up)

    def look_for_hang_up(self):
        """Ends the connection of a client that has left."""
        self.hang_up_timer = None
        if not self.flow.read_paused or self.transport.is_closing():
            return
        if self.disconnect.check(self.loop.time()):
            self.transport.abort()
        else:
            self.watch_for_hang_up()

    @property
    def idle(self):
        """Whether no request is at work."""
        return self.cycle is None or self.cycle.response_complete

    def data_received(self, data):
        """Bytes of requests have come."""
        if self.idle and not self.head_bytes:  # a head begins
            self.restart_timer(self.config.app.limits.header_s)
        super().data_received(data)
        if self.reading_body and not self.transport.is_closing():
            self.restart_timer(self.config.app.limits.idle_s)

    @property
    def reading_body(self):
        """Whether a request has begun whose body is not whole; nothing of it has been passed on."""
        return self.cycle is not None and self.cycle.more_body and not self.cycle.response_started

    def on_response_complete(self):
        """A rest begins, if nothing stands behind: it lasts as long as the limits in force say."""
        self.rests_since, self.timeout_keep_alive = self.loop.time(), self.config.app.limits.idle_s
        super().on_response_complete()

    def timeout_keep_alive_handler(self):
        """Ends a connection that has rested for as long as the limits said when the rest began, and say now:
        clients go by either. A rest begins when the answer has left."""
        now = self.loop.time()
        if self.transport.get_write_buffer_size():
            self.rests_since = now
        left_s = self.rests_since + self.config.app.limits.idle_s - now
        if left_s > 0:
            self.timeout_keep_alive_task = self.loop.call_later(left_s, self.timeout_keep_alive_handler)
        else:
            super().timeout_keep_alive_handler()

    @property
    def early_begun(self):
        """Whether a request that stands behind another has been begun: it may be at an endpoint, and an
        answer before it that ends the connection would cut it off."""
        return any(cycle.scope[CONTEXT].early_response is not None for cycle, _ in self.pipeline)

    def shutdown(self):
        """uvicorn's way to end a connection, left to the last answer where requests behind have begun."""
        if not self.early_begun:
            super().shutdown()

    def restart_timer(self, within_s):
        """Gives the client so long for what is to come next."""
        self.timer.cancel()
        self.timer = self.loop.call_later(within_s, self.on_timeout)

    def on_timeout(self):
        """No whole head or no more of a body came in time."""
        if self.head_bytes or self.reading_body:
            self.refuse(TIMEOUT)
        self.transport.close()

    def send_400_response(self, msg):
        """uvicorn's answer to what can't be read, with the status that fits."""
        self.refuse(self.refusal)

    def refuse(self, status):
        """Ends the connection, with an answer unless that would stand between those of other requests."""
        self.timer.cancel()
        alone = self.idle or self.reading_body and not self.pipeline
        if alone and not self.transport.is_closing():
            self.transport.write(STATUS_LINE[status] + b"content-length: 0\r\nconnection: close\r\n\r\n")
        self.transport.close()
        self.client_left()  # no answer of what is at work reaches it any more

    def on_message_complete(self):
        """A request is whole. It may stand behind another for long, while its client's time goes on."""
        self.timer.cancel()
        self.scope[CONTEXT].received_at = self.loop.time()
        super().on_message_complete()

    def count_head(self, size):
        """Raises Refused once a head is longer than the limits allow."""
        self.head_bytes += size
        if self.head_bytes > self.config.app.limits.header_bytes:
            self.refusal = HEAD_TOO_LONG
            raise Refused

    def on_url(self, url):
        """A part of a request's target."""
        self.count_head(len(url) + 1)
        super().on_url(url)

    def on_header(self, name, value):
        """A header of a request."""
        self.count_head(len(name) + len(value) + LINE_BYTES)
        super().on_header(name, value)

    def on_headers_complete(self):
        """A request's head is whole: it begins, at once or behind others."""
        self.timer.cancel()
        self.head_bytes = 0
        self.refuse_ambiguous()
        self.scope[CONTEXT] = RequestContext(self.url, self.disconnect, self.any_early_begun)
        super().on_headers_complete()
        self.open_cycles = [cycle for cycle in self.open_cycles if not cycle.response_complete]
        self.open_cycles.append(self.cycle)
        self.repeat_call_id()
        if self.pipeline and self.pipeline[0][0] is self.cycle:
            self.begin_early()

    def any_early_begun(self):
        """`early_begun` as a function."""
        return self.early_begun

    def refuse_ambiguous(self):
        """Raises Refused for a head that another reader might read otherwise."""
        names = [name for name, _ in self.headers]
        coded = [value.strip().lower() for name, value in self.headers if name == b"transfer-encoding"]
        if names.count(b"host") != 1 or coded not in ([], [b"chunked"]):
            raise Refused
        if not self.url.startswith(b"/") or b"#" in self.url:
            raise Refused

    def repeat_call_id(self):
        """Puts the id of one of our own calls on its answer: here, so that no application forgets it."""
        for name, value in self.headers:
            if name == CALL_ID:
                self.cycle.default_headers = [*self.cycle.default_headers, (name, value)]
                return

    def begin_early(self):
        """Lets the application begin with a request that stands behind another, where it wants to."""
        early = getattr(self.config.app, "early", None)
        if self.scope["method"] not in ("GET", "HEAD"):
            return
        if early is not None:
            self.scope[CONTEXT].early_response = early(self.scope)
        if len(self.pipeline) < PIPELINED_MOST:
            self.flow.resume_reading()


class WatchedFlow(FlowControl):
    """uvicorn's control of reading and writing, which tells of each pause of the reading."""

    def __init__(self, transport, on_pause):
        super().__init__(transport)
        self.on_pause = on_pause

    def pause_reading(self):
        """Reads no more for now."""
        super().pause_reading()
        self.on_pause()


def hung_up(sock):
    """Whether the peer of a socket has ended its side, read or not."""
    if sock is None or sock.fileno() < 0:
        return False
    poll = select.poll()
    poll.register(sock.fileno(), select.POLLRDHUP)
    return bool(poll.poll(0))


def listen(ip, port):
    """A listening socket."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((ip, port))
    sock.setblocking(False)
    return sock


class HttpServer:
    """The listeners of a program; `app.limits` bounds what comes in."""

    def __init__(self, app):
        """`app` is the ASGI application."""
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
        """Listens on [(ip, port)], besides those of earlier calls; OSError where one is taken. uvicorn's own
        loop only keeps dates and limits that are off here."""
        sockets, before = [listen(ip, port) for ip, port in places], getattr(self.server, "servers", [])
        if not self.server.config.loaded:
            self.server.config.load()
        self.server.lifespan = self.server.config.lifespan_class(self.server.config)
        await self.server.startup(sockets=sockets)
        self.server.servers = [*before, *self.server.servers]

    async def close(self, within_s):
        """Takes no more, ends idle connections, and waits for what is at work and until its answers have
        left: what a program that ends still holds is lost."""
        loop, state = asyncio.get_running_loop(), self.server.server_state
        for server in self.server.servers:
            server.close()
        for connection in list(state.connections):
            connection.shutdown()
        until = loop.time() + within_s
        while (state.tasks or state.connections) and loop.time() < until:
            if state.tasks:
                await asyncio.wait(set(state.tasks), timeout=CLOSE_LOOK_S)
            else:
                await asyncio.sleep(CLOSE_LOOK_S)
