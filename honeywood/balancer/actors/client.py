"""One client connection: reads its requests, one RPC at a time, and writes one answer to each."""

from __future__ import annotations

import re

from honeywood.balancer.actors.call import Call
from honeywood.balancer.model import SECOND, Idempotency
from honeywood.balancer.protocol import http
from honeywood.balancer.transport import clock
from honeywood.balancer.transport.connection import Connection
from honeywood.balancer.transport.mailbox import SharedMailbox

TYPE_CHECKING = False
if TYPE_CHECKING:
    from honeywood.balancer.actors.application import Application
    from honeywood.balancer.model import Method, Time

HEALTH_TARGET = "/_health"
REQUEST_TIMEOUT = 2 * SECOND  # to send a complete request; for the first one counted from connecting
# How long a connection is kept open between requests. With a longer time, clients that send one request and
# stay connected use up the connections that other clients need.
IDLE_TIMEOUT = 2 * SECOND
LINGER_TIME = SECOND // 2  # for the client to read the last answer before the connection is closed
MAX_BUFFERED = http.MAX_HEAD + 2 * http.MAX_BODY  # bytes a client may send before it gets its answers
MAX_CALLS = 64
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
TIMEOUT_S = re.compile(r"[0-9]{1,9}(\.[0-9]{1,9})?\Z", re.ASCII)
IDENTIFIER = re.compile(r"[!-~]{1,128}\Z")
IDEMPOTENT_METHODS, OTHER_METHODS = {"GET", "HEAD"}, {"POST", "PUT", "PATCH", "DELETE"}
# Header fields that may occur at most once.
SINGLETON_FIELDS = "x-request-id", "x-priority-class", "x-timeout", "x-cost", "x-retried"


class Client:
    """The actor of a client connection; other actors and its connection post calls to its mailbox."""

    def __init__(self, application: Application, peer: str) -> None:
        """Create the actor; its connection gets a socket by Connection.accept()."""
        self._application, self._decisions = application, application.decisions
        self._log = application.log
        self.call: Call | None = None  # the RPC that is not answered yet
        self._request: http.Request | None = None  # the request whose body is being read
        self.active_at = clock.now()  # when the client connected or got its last answer
        self.was_answered = False
        self.reading_since: Time | None = None  # when the first byte of the request being read arrived
        self._linger_until: Time = 0  # when a connection that is finishing is closed
        # The application's group of eviction candidates that it is in; None while it waits for an answer.
        self._eviction_group: dict[Client, None] | None = None
        self.mailbox = SharedMailbox(f"client {peer}", MAX_CALLS, application.fail)
        self.connection = Connection(self, self.mailbox, application.descriptors, peer)

    # Called by its connection.
    def on_open(self, connection: Connection) -> None:
        """Do nothing: client connections are accepted, never dialled."""

    def on_data(self, connection: Connection) -> None:
        """Read the bytes that have arrived."""
        if len(connection.buffer) > MAX_BUFFERED:
            return connection.close("too_far_ahead")
        self.reading_since = self.reading_since or clock.now()
        return self._read()

    def on_closed(self, connection: Connection) -> None:
        """Remove the client; if an RPC is open, report the disconnection to the decisions."""
        if self.call:
            self._decisions.post(self._decisions.on_client_disconnected, self.call)
        self.set_eviction_group(None)
        self._application.clients.discard(self)
        self._log.info("connection_ended", peer="client", id=connection.peer, code=connection.code)

    # Posted by the decisions' host.
    def answer(self, call: Call, status: int, fields: http.Fields = (), data: bytes = b"") -> None:
        """Write the answer of an RPC, unless it is no longer the client's open RPC."""
        if call is not self.call or call.request is None:
            return
        self.call = None
        self._write(call.request, status, fields, data)
        call.request = None  # timers still hold the call for a while
        self._read()

    # Posted by the application.
    def drain(self) -> None:
        """Close the connection if it is between RPCs; otherwise it is closed after its next answer."""
        if not self.call and not self._request and not len(self.connection.buffer):
            self.connection.close("draining")

    def evict(self) -> None:
        """Close the connection to make room, unless it waits for an answer.

        A client that has begun to send a request is answered 503 first.
        """
        if self.call:
            return  # a request has arrived meanwhile
        if self.reading_since:
            self.reject()
        self.connection.close("made_room")

    def reject(self) -> None:
        """Answer 503 because there are too many connections, and end the connection.

        What the client still sends is read and discarded for a while: closing at once would reset the
        connection, and the client could not read the answer.
        """
        if not self.call and not self.connection.code:
            self._refuse(503, "no place", "no_descriptor")

    def check_timeouts(self) -> None:
        """Close the connection of a client that is slow, silent or idle for too long."""
        now, since = clock.now(), self.active_at
        if self.call or self.connection.has_ended:
            return
        if self.connection.code:
            if now >= self._linger_until:
                self.connection.close(self.connection.code)
        elif self._application.is_draining and not self.reading_since:
            self.drain()
        elif self.reading_since:
            if now - (self.reading_since if self.was_answered else since) > REQUEST_TIMEOUT:
                self._refuse(408, "request too slow")
        elif now - since > (IDLE_TIMEOUT if self.was_answered else REQUEST_TIMEOUT):
            self.connection.close("idle")

    def set_eviction_group(self, group: dict[Client, None] | None) -> None:
        """Become the newest member of a group of eviction candidates; with None it cannot be evicted."""
        if self._eviction_group is not None:
            self._eviction_group.pop(self, None)
        self._eviction_group = group
        if group is not None:
            group[self] = None

    # Internal.
    def _read(self) -> None:
        """Serve complete requests from the buffer until one waits for its answer."""
        while not self.call and not self.connection.code:
            try:
                request = self._next_request()
                if request is None:
                    return
                self._serve(request)
            except http.InvalidMessage as error:
                self._refuse(error.status, str(error))
                return

    def _next_request(self) -> http.Request | None:
        """The next complete request, None while it is incomplete. Raises InvalidMessage."""
        buffer = self.connection.buffer
        if self._request is None:
            self._request = http.request_head(buffer)
            if self._request and (expectation := self._request.get("expect")):
                self._on_expectation(expectation)
        request = self._request
        data = http.body(buffer, request) if request else None
        if request is None or data is None:
            return None
        self._request = None
        self.reading_since = clock.now() if len(buffer) else None
        request.body = data
        return request

    def _on_expectation(self, expectation: str) -> None:
        if expectation.lower() != "100-continue":
            raise http.InvalidMessage(417, "expect")
        self.connection.write(CONTINUE)

    def _serve(self, request: http.Request) -> None:
        """Answer a health check, or pass an RPC to the decisions.

        Raises:
            InvalidMessage: the request is not a valid RPC. Its connection is then closed, since the client's
                later requests are likely to be invalid too.
        """
        if request.target == HEALTH_TARGET:
            return self._write(request, 200 if self._application.is_ready else 503, (), b"")
        for name in SINGLETON_FIELDS:
            if request.get(name) is not None and request.get_single(name) is None:
                raise http.InvalidMessage(400, f"{name} twice")
        method = self._method_of(request)
        timeout_s = request.get("x-timeout") or ""
        if not TIMEOUT_S.match(timeout_s) or not float(timeout_s):
            raise http.InvalidMessage(400, "x-timeout missing or unusable")
        identifier = request.get("x-request-id") or ""
        if not IDENTIFIER.match(identifier):
            raise http.InvalidMessage(400, "x-request-id missing or unusable")
        self.call = Call(self, request, identifier, float(timeout_s), method)
        self.set_eviction_group(None)
        return self._decisions.post(self._decisions.on_request, self.call)

    def _method_of(self, request: http.Request) -> Method:
        method = self._application.methods.get(request.get("x-priority-class") or "")
        if method is None or request.get("x-priority-class") is None:
            raise http.InvalidMessage(400, "x-priority-class missing or unusable")
        idempotent = method.idempotency == Idempotency.IDEMPOTENT
        if request.method not in (IDEMPOTENT_METHODS if idempotent else OTHER_METHODS):
            raise http.InvalidMessage(405, "method of another class")
        return method

    def _write(self, request: http.Request, status: int, fields: http.Fields, data: bytes) -> None:
        application = self._application
        keep = request.keeps_alive and not application.is_draining and not application.is_crowded()
        if self.connection.write(http.response(status, fields, data, keep, request)):
            self.active_at, self.was_answered = clock.now(), True
            self.set_eviction_group(application.idle)
            if not keep:
                code = "draining" if application.is_draining else "crowded"
                self._finish(code if request.keeps_alive else "close_asked")

    def _refuse(self, status: int, reason: str, code: str = "bad_request") -> None:
        """Write an error answer and end the connection."""
        if self.connection.write(http.response(status, (), f"{reason}\n".encode(), keep_alive=False)):
            self._finish(f"{code}_{status}")

    def _finish(self, code: str) -> None:
        self._linger_until = clock.now() + LINGER_TIME
        self.set_eviction_group(self._application.ending)
        self.connection.finish(code)
