"""One server: its connections, the requests in flight on them, and the result of each request."""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

from honeywood.balancer.actors.load_report import parse_load_report
from honeywood.balancer.model import SECOND, AttemptResult, Server, ServerStatus, digest
from honeywood.balancer.protocol import http
from honeywood.balancer.transport import clock
from honeywood.balancer.transport.connection import Connection
from honeywood.balancer.transport.mailbox import SharedMailbox

TYPE_CHECKING = False
if TYPE_CHECKING:
    from honeywood.balancer.actors.application import Application
    from honeywood.balancer.actors.exchange import Exchange
    from honeywood.balancer.model import Time
    from honeywood.balancer.protocol.discovery import Address

MAX_CALLS = 4096
RESERVED_DESCRIPTORS = 8  # left by servers to discovery and the platform
# Results by status, for answers that are marked as not processed by the server.
NOT_PROCESSED = {503: AttemptResult.FULL, 504: AttemptResult.EXPIRED}


class Process(NamedTuple):
    """The process that the server list names for a server's identifier."""

    address: Address | None
    build: int
    started_at: Time


class ServerConnection(Connection):
    """A connection to the process that was listed when it was dialled, with its request in flight."""

    def __init__(self, peer: ServerPeer) -> None:
        """Create a connection that is not dialled yet."""
        super().__init__(peer, peer.mailbox, peer.descriptors, peer.name)
        self.process = peer.process
        self.exchange: Exchange | None = None
        self.idle_since: Time = 0


class ServerPeer:
    """The actor of a server.

    The decisions' host, the application and its connections post calls to its mailbox.
    """

    def __init__(self, name: str, application: Application) -> None:
        """Create the actor of a server whose process is not known yet."""
        self.name = name
        self._decisions, self._settings = application.decisions, application.settings
        self._log, self._count = application.log, application.counters.add
        self.descriptors = application.descriptors
        self.server = Server(host=self, digest=digest(name))
        self.process: Process | None = None
        self._status: ServerStatus | None = None
        self._entry_number = 0  # incremented by each change of its list entry
        self._max_answer = application.max_answer
        self.idle: deque[ServerConnection] = deque()
        self._idle_timeout = self._settings.idle_timeout * 2 // 3  # closed before the server does
        self.mailbox = SharedMailbox(f"server {name}", MAX_CALLS, application.fail)

    # Posted by the decisions' host.
    def on_list_entry(self, status: ServerStatus, process: Process | None) -> None:
        """Take over its list entry.

        If the entry has changed, requests that are not written yet are never written, since they were decided
        for the old entry. Connections to the old process are closed, now or after their answer.
        """
        if (status, process) != (self._status, self.process):
            self._status, self.process = status, process
            self._entry_number += 1
            while self.idle:
                self.idle.pop().close(self._closing_code())

    def send(self, exchange: Exchange) -> None:
        """Write a request on the most recently used idle connection that is still open, or on a new one."""
        exchange.entry_number = self._entry_number
        while self.idle:
            connection = self.idle.pop()
            if connection.is_reusable():
                connection.exchange, exchange.connection = exchange, connection
                return self._write(exchange, connection)
        address = self.process.address if self.process else None
        if address is None or not self.descriptors.take(RESERVED_DESCRIPTORS):
            return self._end(exchange, AttemptResult.CONNECT_FAILED)
        connection = exchange.connection = ServerConnection(self)
        connection.exchange = exchange
        self._count("server_dials")
        return connection.dial(address, self._settings.connect_timeout / SECOND)

    def give_up(self, exchange: Exchange) -> None:
        """Give up an exchange by closing its connection."""
        if not exchange.ended:
            exchange.finish()
            if exchange.connection:
                exchange.connection.close("given_up")

    # Posted by the application.
    def check_timeouts(self) -> None:
        """Close connections that have been idle for too long."""
        while self.idle and clock.now() - self.idle[0].idle_since > self._idle_timeout:
            self.idle.popleft().close("idle")

    # Called by its connections.
    def on_open(self, connection: ServerConnection) -> None:
        """A connection is established: write its request."""
        if connection.exchange:
            self._write(connection.exchange, connection)

    def on_data(self, connection: ServerConnection) -> None:
        """Process the part of an answer that has arrived."""
        exchange = connection.exchange
        if exchange is None or not exchange.written:
            return connection.close("unasked_bytes")
        try:
            response = self._read(exchange, connection)
        except http.InvalidMessage as error:
            connection.close(f"unreadable_{str(error).replace(' ', '_')}")
            return self._end(exchange, AttemptResult.ERROR)
        if response is None:
            return self._on_incomplete(exchange)
        if response.keeps_alive and not len(connection.buffer):
            self._keep(connection)
        else:
            connection.close("close_asked" if not response.keeps_alive else "unasked_bytes")
        return self._end(exchange, result_of(response), response)

    def on_closed(self, connection: ServerConnection) -> None:
        """A connection has ended: report the result of its request, if any."""
        exchange, connection.exchange = connection.exchange, None
        if exchange:
            self._end(exchange, AttemptResult.RESET if exchange.written else AttemptResult.CONNECT_FAILED)
        self._log.info("connection_ended", peer="server", id=self.name, code=connection.code)

    # Internal.
    def _write(self, exchange: Exchange, connection: ServerConnection) -> None:
        """Write a request; the only place that writes to a server.

        A request that waited too long for its connection, or whose list entry has changed meanwhile, is not
        written: the grace period of a drain may have ended, or a cap may have been lowered.
        """
        late = clock.now() - exchange.sent_at > self._settings.connect_timeout
        if late or exchange.entry_number != self._entry_number or exchange.data is None:
            self._keep(connection)
            return self._end(exchange, AttemptResult.CONNECT_FAILED)
        exchange.written = connection.write(exchange.data)
        return None

    def _read(self, exchange: Exchange, connection: ServerConnection) -> http.Response | None:
        """The complete answer, None while it is incomplete. Raises InvalidMessage."""
        if exchange.response is None:
            exchange.response = http.response_head(connection.buffer, exchange.method, self._max_answer)
        if exchange.response is None:
            return None
        data = http.body(connection.buffer, exchange.response)
        if data is None:
            return None
        exchange.response.body = data
        return exchange.response

    def _on_incomplete(self, exchange: Exchange) -> None:
        """Report to the decisions, once, that an answer has begun."""
        if exchange.attempt and not exchange.response_began:
            exchange.response_began = True
            self._decisions.post(self._decisions.on_response_started, exchange.attempt)

    def _keep(self, connection: ServerConnection) -> None:
        """Keep a connection for later requests if it leads to the listed process; otherwise close it."""
        connection.exchange = None
        if self._status != ServerStatus.READY or connection.process != self.process:
            connection.close(self._closing_code())
        elif not connection.code:
            connection.idle_since = clock.now()
            self.idle.append(connection)

    def _closing_code(self) -> str:
        return "moved" if self._status == ServerStatus.READY else "not_listed"

    def _end(self, exchange: Exchange, result: AttemptResult, response: http.Response | None = None) -> None:
        """Report to the decisions, once, how an exchange ended."""
        if exchange.ended:
            return
        exchange.finish()
        report = response.get("x-server-load") or "" if response else ""
        if exchange.attempt is not None:
            load = parse_load_report(report, self._settings.load_report_fields)
            self._decisions.post(self._decisions.on_result, exchange.attempt, result, load, response)
            return
        if response and not report and result == AttemptResult.OK:
            report = response.body.decode("latin-1")
        load = parse_load_report(report, self._settings.load_report_fields)
        self._decisions.post(self._decisions.on_probe_result, exchange, result, load)


def result_of(response: http.Response) -> AttemptResult:
    """The result of an attempt, derived from its answer."""
    if response.status == 200:
        return AttemptResult.OK
    if response.get("x-not-processed") == "1":
        return NOT_PROCESSED.get(response.status, AttemptResult.ERROR)
    return AttemptResult.ERROR
