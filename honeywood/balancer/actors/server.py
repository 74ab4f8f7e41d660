"""One server: its connections, what is out on them, and how each request to it ended."""

import re
from collections import deque

from honeywood.balancer.model import SECOND, AttemptResult, Server, ServerStatus, digest
from honeywood.balancer.protocol import http
from honeywood.balancer.transport import clock
from honeywood.balancer.transport.connection import Connection
from honeywood.balancer.transport.mailbox import LentMailbox

MOST_CALLS = 4096
REPORT = re.compile(r"[0-9]{1,9}(\.[0-9]{1,9})?\Z", re.ASCII)  # a figure of a load report
MOST_REPORT = 1024
KEPT = 8  # descriptors that servers leave to list and platform


class Exchange:
    """One request to a server and its answer: an attempt's, or without one a probe's of `server`."""

    __slots__ = (
        "attempt",
        "server",
        "method",
        "data",
        "sent",
        "serial",
        "connection",
        "written",
        "head",
        "ended",
        "begun",
    )

    def __init__(self, attempt, server, method, data, sent):
        self.attempt, self.server, self.method, self.data, self.sent = attempt, server, method, data, sent
        self.serial = self.connection = self.head = None
        self.written = self.ended = self.begun = False

    def finish(self):
        self.ended, self.data, self.head = True, None, None  # timers still hold the exchange for a while


class ServerConnection(Connection):
    """A connection to the process that was listed when it was dialled, and what is out on it."""

    def __init__(self, peer):
        super().__init__(peer, peer.mailbox, peer.descriptors, peer.name)
        self.process, self.exchange, self.rested = peer.process, None, 0


class ServerPeer:
    """Module and gateway post calls to `mailbox`, and so do its connections."""

    def __init__(self, name, gateway):
        self.name, self.decisions, self.settings = name, gateway.decisions, gateway.settings
        self.log, self.descriptors, self.counted = gateway.log, gateway.descriptors, gateway.counters.add
        self.server = Server(host=self, digest=digest(name))
        self.process = self.status = None  # (address, build, start) and status, as listed
        self.serial, self.most_answer = 0, gateway.most_answer
        self.idle, self.keep = deque(), self.settings.idle_timeout * 2 // 3  # dropped before the server does
        self.mailbox = LentMailbox(f"server {name}", MOST_CALLS, gateway.fail)

    # What the module posts.
    def listed(self, status, process):
        """A changed entry: what is not yet written was meant for the old one and never will be, and what is
        kept open to another process is closed, now or after its answer."""
        if (status, process) != (self.status, self.process):
            self.status, self.process = status, process
            self.serial += 1
            while self.idle:
                self.idle.pop().close(self.unfit())

    def send(self, exchange):
        exchange.serial = self.serial
        while self.idle:
            connection = self.idle.pop()
            if connection.stands():
                connection.exchange, exchange.connection = exchange, connection
                return self.write(exchange)
        if not self.descriptors.take(KEPT):
            return self.end(exchange, AttemptResult.CONNECT_FAILED)
        connection = exchange.connection = ServerConnection(self)
        connection.exchange = exchange
        self.counted("server_dials")
        connection.dial(self.process[0], self.settings.connect_timeout / SECOND)

    def give_up(self, exchange):
        """To give up an exchange its connection is closed."""
        if not exchange.ended:
            exchange.finish()
            exchange.connection.close("given_up")

    # What its connections tell.
    def opened(self, connection):
        self.write(connection.exchange)

    def write(self, exchange):
        """The one place that writes to a server. What waited for its connection and is no longer as it was
        decided never goes out: a drain's grace or a lowered cap may have passed."""
        late = clock.now() - exchange.sent > self.settings.connect_timeout
        if late or exchange.serial != self.serial or exchange.ended:
            self.rest(exchange.connection)
            return self.end(exchange, AttemptResult.CONNECT_FAILED)
        exchange.written = exchange.connection.write(exchange.data)

    def received(self, connection):
        exchange = connection.exchange
        if exchange is None or not exchange.written:
            return connection.close("unasked_bytes")
        try:
            exchange.head = exchange.head or http.response_head(
                connection.buffer, exchange.method, self.most_answer
            )
            data = exchange.head and http.body(connection.buffer, exchange.head)
        except http.Malformed as bad:
            connection.close(f"unreadable_{str(bad).replace(' ', '_')}")
            return self.end(exchange, AttemptResult.ERROR)
        if exchange.head is None or data is None:
            if exchange.attempt and not exchange.begun:
                exchange.begun = True
                self.decisions.post(self.decisions.on_response_started, exchange.attempt)
            return
        exchange.head.body = data
        if exchange.head.keep and not len(connection.buffer):
            self.rest(connection)
        else:
            connection.close("close_asked" if not exchange.head.keep else "unasked_bytes")
        self.end(exchange, self.result(exchange.head), exchange.head)

    @staticmethod
    def result(answer):
        turned_away = (
            {503: AttemptResult.FULL, 504: AttemptResult.EXPIRED}
            if answer.get("x-not-processed") == "1"
            else {}
        )
        return (
            AttemptResult.OK if answer.status == 200 else turned_away.get(answer.status, AttemptResult.ERROR)
        )

    def ended(self, connection):
        exchange, connection.exchange = connection.exchange, None
        if exchange:
            self.end(exchange, AttemptResult.RESET if exchange.written else AttemptResult.CONNECT_FAILED)
        self.log.info("connection_ended", peer="server", id=self.name, code=connection.code)

    # Its own.
    def rest(self, connection):
        """Keeps it open for the next exchange, if it leads to where that goes."""
        connection.exchange = None
        if self.status != ServerStatus.READY or connection.process != self.process:
            connection.close(self.unfit())
        elif not connection.code:
            connection.rested = clock.now()
            self.idle.append(connection)

    def unfit(self):
        return "moved" if self.status == ServerStatus.READY else "not_listed"

    def end(self, exchange, result, answer=None):
        if exchange.ended:
            return
        exchange.finish()
        told = answer.get("x-server-load") or "" if answer else ""
        if exchange.attempt is None:
            told = told or (answer.body.decode("latin-1") if result == AttemptResult.OK else "")
            self.decisions.post(self.decisions.on_probe_result, exchange, result, self.load(told))
        else:
            self.decisions.post(self.decisions.on_result, exchange.attempt, result, self.load(told), answer)

    def load(self, text):
        """A load report in the order of the settings' fields; () where it is not whole."""
        if not text:
            return ()
        told = dict(word.strip().partition("=")[::2] for word in text[:MOST_REPORT].split(","))
        figures = [told.get(name, "") for name in self.settings.load_report_fields]
        return tuple(map(float, figures)) if all(map(REPORT.match, figures)) else ()

    def look(self):
        while self.idle and clock.now() - self.idle[0].rested > self.keep:
            self.idle.popleft().close("idle")
