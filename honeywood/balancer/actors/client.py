"""One connection of a client: reads its requests, one RPC at a time, and writes the one answer of each."""

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
REQUEST_TIMEOUT = 2 * SECOND  # a request must be complete after this, the first one counted from connecting
# Kept open between requests; longer, and clients that ask once and stay hold the places of all who would ask.
IDLE_TIMEOUT = 2 * SECOND
LINGER_TIME = SECOND // 2  # for the last answer to be read
MAX_AHEAD = http.MAX_HEAD + 2 * http.MAX_BODY  # bytes a client may send ahead of its answers
MAX_CALLS = 64
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
TIMEOUT_S = re.compile(r"[0-9]{1,9}(\.[0-9]{1,9})?\Z", re.ASCII)
IDENTIFIER = re.compile(r"[!-~]{1,128}\Z")
IDEMPOTENT_METHODS, OTHER_METHODS = {"GET", "HEAD"}, {"POST", "PUT", "PATCH", "DELETE"}
# Fields of ours, to be there once, if at all.
OWN_FIELDS = "x-request-id", "x-priority-class", "x-timeout", "x-cost", "x-retried"


class Client:
    """Other actors post to its mailbox, and so does its connection."""

    def __init__(self, application: Application, peer: str) -> None:
        """Its connection has no socket yet."""
        self._application, self._decisions = application, application.decisions
        self._log = application.log
        self.call: Call | None = None  # the RPC that has no answer yet
        self._request: http.Request | None = None  # whose body is being read
        self.active_at = clock.now()  # when it connected or got its last answer
        self.was_answered = False
        self.reading_since: Time | None = None  # when what is being read began
        self._linger_until: Time = 0  # when the rest of a connection that is ending is closed
        self._group: dict[Client, None] | None = None  # of the application's, where it waits for no answer
        self.mailbox = SharedMailbox(f"client {peer}", MAX_CALLS, application.fail)
        self.connection = Connection(self, self.mailbox, application.descriptors, peer)

    # What its connection tells.
    def on_open(self, connection: Connection) -> None:
        """It is accepted, never dialled."""

    def on_data(self, connection: Connection) -> None:
        """Something has come."""
        if len(connection.buffer) > MAX_AHEAD:
            return connection.close("too_far_ahead")
        self.reading_since = self.reading_since or clock.now()
        return self._read()

    def on_closed(self, connection: Connection) -> None:
        """It has ended."""
        if self.call:
            self._decisions.post(self._decisions.on_client_disconnected, self.call)
        self.join(None)
        self._application.clients.discard(self)
        self._log.info("connection_ended", peer="client", id=connection.peer, code=connection.code)

    # What the decisions' host posts.
    def answer(self, call: Call, status: int, fields: http.Fields = (), data: bytes = b"") -> None:
        """The one answer of an RPC."""
        if call is not self.call or call.request is None:
            return
        self.call = None
        self._write(call.request, status, fields, data)
        call.request = None  # timers still hold the call for a while
        self._read()

    # What the application posts.
    def drain(self) -> None:
        """End it if it is between RPCs; else, while the balancer drains, its next answer does."""
        if not self.call and not self._request and not len(self.connection.buffer):
            self.connection.close("draining")

    def evict(self) -> None:
        """End it, as its place is needed, unless it waits for an answer; with a word if it is owed one."""
        if self.call:
            return  # it has asked meanwhile
        if self.reading_since:
            self.reject()
        self.connection.close("made_room")

    def reject(self) -> None:
        """There is no place for it.

        What it still sends is read and dropped for a while, else it would not read this.
        """
        if not self.call and not self.connection.code:
            self._refuse(503, "no place", "no_descriptor")

    def check_timeouts(self) -> None:
        """Slow and silent clients hold nothing for ever."""
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

    def join(self, group: dict[Client, None] | None) -> None:
        """Take the last place among those that may be evicted; with None it may not."""
        if self._group is not None:
            self._group.pop(self, None)
        self._group = group
        if group is not None:
            group[self] = None

    # Its own.
    def _read(self) -> None:
        """Read what has come as far as it is complete and no answer is owed."""
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
        """A complete request, None while there is none. Raises InvalidMessage."""
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
        """Hand a request to the decisions.

        One that is no RPC raises InvalidMessage, and its connection ends: its next one may be no better.
        """
        if request.target == HEALTH_TARGET:
            return self._write(request, 200 if self._application.is_ready else 503, (), b"")
        for name in OWN_FIELDS:
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
        self.join(None)
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
            self.join(application.idle)
            if not keep:
                code = "draining" if application.is_draining else "crowded"
                self._finish(code if request.keeps_alive else "close_asked")

    def _refuse(self, status: int, reason: str, code: str = "bad_request") -> None:
        """The answer is the last thing said."""
        if self.connection.write(http.response(status, (), f"{reason}\n".encode(), keep_alive=False)):
            self._finish(f"{code}_{status}")

    def _finish(self, code: str) -> None:
        self._linger_until = clock.now() + LINGER_TIME
        self.join(self._application.ending)
        self.connection.finish(code)
