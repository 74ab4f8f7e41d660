"""One connection of a client: reads its requests, one RPC at a time, and writes the one answer of each."""
from math import isfinite

from honeywood.interface import SECOND
from honeywood.protocol import http
from honeywood.transport import clock
from honeywood.transport.connection import Connection
from honeywood.transport.mailbox import Mailbox

HEALTH = "/_health"
IDLE, SLOW, LINGER = 60 * SECOND, 10 * SECOND, SECOND  # between requests; for one to be whole; when ending
MOST_AHEAD = http.MOST_HEAD + 2 * http.MOST_BODY       # bytes a client may send ahead of its answers
RESERVE = 150  # a client's time ran from when it sent, and its answer has to reach it: so much less is used
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


class Call:
    """A request that became an RPC: where its answer goes, and what of it goes on to servers."""
    __slots__ = ("client", "request", "deadline", "method", "work", "repeat", "rpc")

    def __init__(self, client, request, timeout, method):
        self.client, self.request = client, request
        self.deadline = clock.now() + int(min(method.deadline, timeout * SECOND)) - RESERVE
        self.method, self.rpc = method, None
        cost = request.get("x-cost") or ""
        self.work = int(cost) // 100 if cost.isdecimal() and len(cost) < 16 else 0
        self.repeat = request.get("x-retried") == "1"


class Client:
    def __init__(self, gateway, sock, peer):
        self.gateway, self.module, self.log = gateway, gateway.module, gateway.log
        self.call = self.head = None
        self.begun, self.active = None, clock.now()  # when the request being read began; last answer
        self.mailbox = Mailbox(f"client {peer}", 64, gateway.fail)
        self.connection = Connection(self, self.mailbox, gateway.descriptors, peer)
        self.mailbox.start()
        self.connection.accepted(sock)
        self.mailbox.post(self.look)

    # What its connection tells.
    def received(self, connection):
        if len(connection.buffer) > MOST_AHEAD:
            return connection.close("too_far_ahead")
        self.begun = self.begun or clock.now()
        self.go_on()

    def ended(self, connection):
        if self.call:
            self.module.post(self.module.left, self.call)
        self.gateway.clients.discard(self)
        self.log.info("connection_ended", peer="client", id=connection.peer, code=connection.code)
        self.mailbox.end()

    # What the module posts.
    def answer(self, call, status, fields=(), data=b""):
        if call is not self.call:
            return
        self.call = None
        self.write(call.request, status, fields, data)
        call.request = None        # timers still hold the call for a while
        self.go_on()

    # What the life cycle posts.
    def drain(self, code="draining"):
        """Ends it if it is between RPCs; else, while the front drains, its next answer does."""
        if not self.call and not self.head and not len(self.connection.buffer):
            self.connection.close(code)

    # Its own.
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
            except http.Malformed as bad:
                return self.refuse(bad.status, str(bad))
            if self.head is None or data is None:
                return
            request, self.head, self.begun = self.head, None, clock.now() if len(buffer) else None
            request.body = data
            self.serve(request)

    def expected(self, what):
        if what.lower() != "100-continue":
            raise http.Malformed(417, "expect")
        self.connection.write(CONTINUE)

    def serve(self, request):
        if request.target == HEALTH:
            return self.write(request, 200 if self.gateway.ready else 503, (), b"")
        method = self.gateway.methods.get(request.get("x-priority-class"))
        try:
            timeout = float(request.get("x-timeout") or "")
        except ValueError:
            timeout = 0
        if method is None or not isfinite(timeout) or timeout <= 0:
            what = "x-priority-class" if method is None else "x-timeout"
            return self.write(request, 400, (), f"{what} missing or unusable\n".encode())
        if not request.get("x-request-id"):
            return self.write(request, 400, (), b"x-request-id missing\n")
        self.call = Call(self, request, timeout, method)
        self.module.post(self.module.take, self.call)

    def write(self, request, status, fields, data):
        keep = request.keep and not self.gateway.draining
        self.connection.write(http.response(status, fields, data, keep, request))
        self.active = clock.now()
        if not keep:
            self.connection.finish("draining" if request.keep else "close_asked", LINGER)

    def refuse(self, status, why):
        """Framing is lost: the answer is the last thing said."""
        self.connection.write(http.response(status, (), f"{why}\n".encode(), keep=False))
        self.connection.finish(f"bad_request_{status}", LINGER)

    def look(self):
        """Slow and silent clients hold nothing for ever."""
        if not self.call and not self.connection.code:
            if self.gateway.draining:
                self.drain()
            elif self.begun and clock.now() - self.begun > SLOW:
                self.refuse(408, "request too slow")
            elif not self.begun and clock.now() - self.active > IDLE:
                self.connection.close("idle")
        self.mailbox.after(SECOND, self.look)
