"""One connection of a client: reads its requests, one RPC at a time, and writes the one answer of each."""

import re

from honeywood.balancer.model import SECOND, Idempotency
from honeywood.balancer.protocol import http
from honeywood.balancer.transport import clock
from honeywood.balancer.transport.connection import Connection
from honeywood.balancer.transport.mailbox import LentMailbox

HEALTH = "/_health"
SLOW = 2 * SECOND  # a request must be whole after this, the first one counted from connecting
# Kept open between requests; longer, and clients that ask once and stay hold the places of all who would ask.
IDLE, LINGER = 2 * SECOND, SECOND // 2  # the other: for the last answer to be read
MOST_AHEAD = http.MOST_HEAD + 2 * http.MOST_BODY  # bytes a client may send ahead of its answers
MOST_CALLS = 64
RESERVE = 150  # a client's time ran from when it sent, and its answer has to reach it: so much less is used
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
TIME = re.compile(r"[0-9]{1,9}(\.[0-9]{1,9})?\Z", re.ASCII)
IDS = re.compile(r"[!-~]{1,128}\Z")
SAFE, UNSAFE = {"GET", "HEAD"}, {"POST", "PUT", "PATCH", "DELETE"}
OURS = "x-request-id", "x-priority-class", "x-timeout", "x-cost", "x-retried"  # to be there once, if at all


class Call:
    """A request that became an RPC: where its answer goes, and what of it goes on to servers."""

    __slots__ = (
        "client",
        "request",
        "name",
        "arrived",
        "deadline",
        "method",
        "expected_work",
        "is_retry",
        "rpc",
        "serial",
    )

    def __init__(self, client, request, timeout, method):
        self.client, self.request, self.name = client, request, request.get("x-request-id")
        self.arrived = clock.now()
        self.deadline = self.arrived + int(min(method.timeout, timeout * SECOND)) - RESERVE
        self.method, self.rpc = method, None
        cost = request.get("x-cost") or ""
        self.expected_work = int(cost) // 100 if cost.isdecimal() and len(cost) < 16 else 0
        self.is_retry = request.get("x-retried") == "1"


class Client:
    def __init__(self, gateway, peer):
        self.gateway, self.decisions, self.log = gateway, gateway.decisions, gateway.log
        self.call = self.head = None
        # When it connected or got its last answer, whether it had one, and when what is being read began.
        self.active, self.served, self.begun = clock.now(), False, None
        self.ends = 0  # when the rest of a connection that is ending is closed
        self.group = None  # of the gateway's, where it waits for no answer
        self.mailbox = LentMailbox(f"client {peer}", MOST_CALLS, gateway.fail)
        self.connection = Connection(self, self.mailbox, gateway.descriptors, peer)

    # What its connection tells.
    def received(self, connection):
        if len(connection.buffer) > MOST_AHEAD:
            return connection.close("too_far_ahead")
        self.begun = self.begun or clock.now()
        self.go_on()

    def ended(self, connection):
        if self.call:
            self.decisions.post(self.decisions.on_client_gone, self.call)
        self.stand(None)
        self.gateway.clients.discard(self)
        self.log.info("connection_ended", peer="client", id=connection.peer, code=connection.code)

    # What the module posts.
    def answer(self, call, status, fields=(), data=b""):
        if call is not self.call:
            return
        self.call = None
        self.write(call.request, status, fields, data)
        call.request = None  # timers still hold the call for a while
        self.go_on()

    # What the gateway posts.
    def drain(self):
        """Ends it if it is between RPCs; else, while the front drains, its next answer does."""
        if not self.call and not self.head and not len(self.connection.buffer):
            self.connection.close("draining")

    def make_room(self):
        """Its place is needed: one that waits for no answer gives it up, with a word if it is owed one."""
        if self.call:
            return  # it has asked meanwhile
        if self.begun:
            self.turn_away()
        self.connection.close("made_room")

    def turn_away(self):
        """There is no place for it. What it still sends is read and dropped for a while, else it would not
        read this."""
        if not self.call and not self.connection.code:
            self.refuse(503, "no place", "no_descriptor")

    def look(self):
        """Slow and silent clients hold nothing for ever."""
        now, since = clock.now(), self.active
        if self.call or self.connection.over:
            return
        if self.connection.code:
            if now >= self.ends:
                self.connection.close(self.connection.code)
        elif self.gateway.draining and not self.begun:
            self.drain()
        elif self.begun and now - (self.begun if self.served else since) > SLOW:
            self.refuse(408, "request too slow")
        elif not self.begun and now - since > (IDLE if self.served else SLOW):
            self.connection.close("idle")

    # Its own.
    def stand(self, group):
        """Takes its place, the last, among those that may be asked to give way; None: it may not."""
        if self.group is not None:
            self.group.pop(self, None)
        self.group = group
        if group is not None:
            group[self] = None

    def go_on(self):
        """Reads what has come as far as it is whole and no answer is owed."""
        buffer = self.connection.buffer
        while not self.call and not self.connection.code:
            try:
                if self.head is None:
                    self.head = http.request_head(buffer)
                    if self.head and self.head.get("expect"):
                        self.expected(self.head.get("expect"))
                data = self.head and http.body(buffer, self.head)
                if self.head is None or data is None:
                    return
                request, self.head, self.begun = self.head, None, clock.now() if len(buffer) else None
                request.body = data
                self.serve(request)
            except http.Malformed as bad:
                return self.refuse(bad.status, str(bad))

    def expected(self, what):
        if what.lower() != "100-continue":
            raise http.Malformed(417, "expect")
        self.connection.write(CONTINUE)

    def serve(self, request):
        """What is no RPC is refused here, and its connection ends: its next one may be no better."""
        if request.target == HEALTH:
            return self.write(request, 200 if self.gateway.ready else 503, (), b"")
        for name in OURS:
            if request.get(name) is not None and request.once(name) is None:
                raise http.Malformed(400, f"{name} twice")
        method = self.gateway.methods.get(request.get("x-priority-class"))
        if method is None:
            raise http.Malformed(400, "x-priority-class missing or unusable")
        if request.method not in (SAFE if method.idempotency == Idempotency.IDEMPOTENT else UNSAFE):
            raise http.Malformed(405, "method of another class")
        timeout = request.get("x-timeout") or ""
        if not TIME.match(timeout) or not float(timeout):
            raise http.Malformed(400, "x-timeout missing or unusable")
        if not IDS.match(request.get("x-request-id") or ""):
            raise http.Malformed(400, "x-request-id missing or unusable")
        self.call = Call(self, request, float(timeout), method)
        self.stand(None)
        self.decisions.post(self.decisions.on_request, self.call)

    def write(self, request, status, fields, data):
        keep = request.keep and not self.gateway.draining and not self.gateway.crowded()
        if self.connection.write(http.response(status, fields, data, keep, request)):
            self.active, self.served = clock.now(), True
            self.stand(self.gateway.idle)
            if not keep:
                code = "draining" if self.gateway.draining else "crowded"
                self.finish(code if request.keep else "close_asked")

    def refuse(self, status, why, code="bad_request"):
        """The answer is the last thing said."""
        if self.connection.write(http.response(status, (), f"{why}\n".encode(), keep=False)):
            self.finish(f"{code}_{status}")

    def finish(self, code):
        self.ends = clock.now() + LINGER
        self.stand(self.gateway.ending)
        self.connection.finish(code)
