"""The module's actor: its thread alone calls the decisions, and owns RPCs, picks and timers.

It is their host (interface.Host) and decides nothing: it carries out what they ask and tells them what came.
"""

from honeywood.balancer.decisions import balancer as decide
from honeywood.balancer.interface import (
    CANCELLED,
    GONE,
    LATE,
    NO_SERVER,
    OK,
    OUT_OF_TIME,
    SECOND,
    SPENT,
    TIMEOUT,
    TOO_MANY_OPEN,
    Rpc,
)
from honeywood.balancer.protocol import http, platform
from honeywood.balancer.actors.server import Exchange
from honeywood.balancer.transport import clock
from honeywood.balancer.transport.mailbox import Mailbox

MOST_CALLS = 20_000
OWN = ("host", "x-timeout")  # fields that each send words anew
# Names of counters: how a pick ended, and why an RPC was given up.
RESULTS = "error", "ok", "full", "timeout", "unconnected", "reset", "cancelled", "moot"
WHY = {
    LATE: "late",
    TOO_MANY_OPEN: "too_many_open",
    NO_SERVER: "no_server",
    OUT_OF_TIME: "out_of_time",
    SPENT: "spent",
}


class Module:
    def __init__(self, gateway):
        self.gateway, self.settings = gateway, gateway.settings
        self.mailbox = Mailbox("module", MOST_CALLS, gateway.fail)
        self.post = self.mailbox.post
        self.methods = gateway.methods
        self.tap = self.tape = gateway.tape  # a trace.tape.Tape, or None where nothing is recorded
        self.count = 0  # of RPCs taken
        self.front = decide.Front(self.settings, self)
        self.names = set()  # ids of the RPCs that are open
        self.counted = gateway.counters.add

    def start(self, news):
        """The list known at start is posted already: it comes first."""
        self.post(self.front_start)
        self.post(self.news, news)
        self.post(self.set_ready)
        self.mailbox.start()

    def front_start(self):
        now = clock.now()
        if self.tape:
            self.tape.began(now)
        self.front.start(now)

    def set_ready(self):
        self.gateway.ready = True

    # What the decisions ask (interface.Host).
    def send(self, pick, until):
        now, call, peer = clock.now(), pick.rpc.host, pick.server.host
        if self.tape:
            self.tape.sent(pick, until)
        request = call.request
        fields = [
            ("host", peer.name),
            ("x-timeout", f"{max(1, until - now) / SECOND:.4f}"),
            *request.passed_on(*OWN),
        ]
        data = http.request(request.method, request.target, fields, request.body)
        pick.host = Exchange(pick, None, request.method, data, now)
        peer.mailbox.post(peer.send, pick.host)
        self.counted("picks" if pick.number == 0 else "further_picks")
        if now - pick.server.booted < self.settings.cold_time:
            self.counted("picks_cold")
        self.mailbox.timers.at(min(until, pick.rpc.deadline), self.give_up, pick, TIMEOUT)

    def push_back(self, rpc, wait):
        fields = [("retry-after", f"{wait / SECOND:.3f}")] if wait else []
        self.answer(rpc, 503, fields)
        self.counted(f"pushed_back_{WHY[rpc.why]}")
        if self.tape:
            self.tape.pushed_back(clock.now(), rpc, wait)

    def abort(self, rpc):
        self.answer(rpc, 502)
        self.counted(f"aborted_{WHY[rpc.why]}")
        if self.tape:
            self.tape.aborted(clock.now(), rpc)

    def cancel(self, pick):
        self.post(self.give_up, pick, CANCELLED)

    def probe(self, server):
        peer, now = server.host, clock.now()
        target = "/_load" if self.settings.report_fields else "/ping"
        exchange = Exchange(None, server, "GET", http.request("GET", target, [("host", peer.name)]), now)
        peer.mailbox.post(peer.send, exchange)
        self.counted("probes")
        self.mailbox.timers.at(now + self.settings.connect_within, self.probe_over, exchange)

    def wake(self, after):
        self.mailbox.after(after, self.woken)

    def vote(self, build, step, verdict):
        if self.tape:
            self.tape.voted(clock.now(), build, step, verdict)
        actor = self.gateway.platform
        actor.mailbox.post(actor.vote, build, step, verdict)
        self.counted("votes")

    def watch(self):
        roster = self.gateway.roster
        roster.mailbox.post(roster.dial)

    def log(self, text):
        if self.tape:
            self.tape.said(clock.now(), text)
        self.gateway.log.info("decision", what=text)

    # What the actors post.
    def take(self, call):
        now = clock.now()
        if call.name in self.names:  # else two of one id would be out, and its servers could not tell them
            return call.client.mailbox.post(call.client.answer, call, 409)
        self.names.add(call.name)
        rpc = call.rpc = Rpc(
            method=call.method,
            customer=0,
            key=0,
            work=call.work,
            repeat=call.repeat,
            taken=call.arrived,
            picks=[],
            deadline=call.deadline,
            done=False,
            host=call,
        )
        self.count += 1
        self.counted("rpcs")
        call.serial = self.count
        if self.tape:
            self.tape.taken(now, rpc)
        self.front.take(now, rpc)
        self.gateway.closed_until = self.front.closed_until
        self.let_go(rpc)

    def let_go(self, rpc):
        """Of an RPC whose last pick has ended nothing points back to it: it goes at once, with all it holds,
        and is not left to the collector."""
        if rpc.done and all(pick.result is not None for pick in rpc.picks):
            for pick in rpc.picks:
                pick.host = None
            rpc.picks, rpc.host = (), None

    def left(self, call):
        if call.rpc is None:  # it was refused
            return
        rpc, call.rpc = call.rpc, None
        self.names.discard(call.name)
        now = clock.now()
        if self.tape and not rpc.done:
            self.tape.left(now, rpc)
        self.front.left(now, rpc)
        self.let_go(rpc)

    def ended(self, pick, result, load, answer=None):
        """Each pick ends once; the first ok is the client's answer and ends the RPC."""
        if pick.result is not None:
            return
        rpc, now = pick.rpc, clock.now()
        over = result == OK or rpc.done
        if self.tape:
            self.tape.ended(now, pick, result, load, over)
        if result == OK and not rpc.done:
            self.counted("ok")
            self.answer(rpc, 200, answer.passed_on("x-server-load"), answer.body)
        self.counted(f"ended_{RESULTS[result]}")
        self.front.back(now, pick, result, now - pick.sent, load, over)
        self.let_go(rpc)

    def begun(self, pick):
        """The first of an answer has come, and not yet all of it."""
        if pick.result is None:
            now = clock.now()
            if self.tape:
                self.tape.begun(now, pick)
            self.front.begun(now, pick)

    def give_up(self, pick, result):
        if pick.result is None:
            peer = pick.server.host
            peer.mailbox.post(peer.give_up, pick.host)
            self.ended(pick, result, ())

    def probed(self, exchange, result, load):
        if exchange.server:
            server, exchange.server = exchange.server, None
            now = clock.now()
            if self.tape:
                self.tape.probed(now, server, result, now - exchange.sent, load)
            self.front.probed(now, server, result, now - exchange.sent, load)

    def probe_over(self, exchange):
        if exchange.server:
            peer = exchange.server.host
            peer.mailbox.post(peer.give_up, exchange)
            self.probed(exchange, TIMEOUT, ())

    def listed(self, lines, whole, gone, revision):
        for peer, address, (build, _, _, _, status, start) in lines:
            peer.mailbox.post(peer.listed, status, (address, build, start))
        for peer in gone:  # a whole list does not name them
            peer.mailbox.post(peer.listed, GONE, None)
        now, lines = clock.now(), [(peer.server, *entry) for peer, _, entry in lines]
        if self.tape:
            self.tape.listed(now, revision, lines, whole)
        self.front.listed(now, lines, whole)

    def list_failed(self):
        now = clock.now()
        if self.tape:
            self.tape.list_failed(now)
        self.front.list_failed(now)

    def news(self, state):
        self.told(OK, False, state)

    def voted(self, result, state):
        self.counted(f"vote_{platform.RESULTS[result]}")
        self.told(result, True, state or (0, 0, 0.0, 0, 0))

    def told(self, result, reply, state):
        now = clock.now()
        if self.tape:
            self.tape.news(now, result, reply, *state)
        self.front.news(now, result, reply, *state)

    def tallied(self, build, name, failed, ended, mean, age):
        if name in self.methods:
            now, method = clock.now(), self.methods[name]
            if self.tape:
                self.tape.tallied(now, build, method, failed, ended, mean, age)
            self.front.tallied(now, build, method, failed, ended, mean, age)

    def found_wrong(self, server, method):
        if method in self.methods:
            now, method = clock.now(), self.methods[method]
            if self.tape:
                self.tape.found_wrong(now, server, method)
            self.front.found_wrong(now, server, method)

    def woken(self):
        now = clock.now()
        if self.tape:
            self.tape.looked(now)
        self.front.woken(now)

    # Its own.
    def answer(self, rpc, status, fields=(), data=b""):
        client = rpc.host.client
        self.names.discard(rpc.host.name)
        client.mailbox.post(client.answer, rpc.host, status, fields, data)
