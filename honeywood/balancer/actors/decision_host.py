"""The decisions' actor: its thread alone calls them, and owns RPCs, attempts and timers.

It is their host (interface.Host) and decides nothing: it carries out what they ask and tells them what came.
"""

from __future__ import annotations

from honeywood.balancer.actors.server import Exchange
from honeywood.balancer.decisions.balancer import Balancer
from honeywood.balancer.model import (
    SECOND,
    AttemptResult,
    GiveUpReason,
    PlatformCounts,
    Rpc,
    ServerStatus,
)
from honeywood.balancer.protocol import http, platform
from honeywood.balancer.transport import clock
from honeywood.balancer.transport.mailbox import Mailbox

MAX_CALLS = 20_000
REPLACED_FIELDS = ("host", "x-timeout")  # that each request to a server gets anew
# Names in counters: how an attempt ended, and why an RPC was given up.
RESULT_NAMES = {
    AttemptResult.ERROR: "error",
    AttemptResult.OK: "ok",
    AttemptResult.FULL: "full",
    AttemptResult.TIMEOUT: "timeout",
    AttemptResult.CONNECT_FAILED: "unconnected",
    AttemptResult.RESET: "reset",
    AttemptResult.CANCELLED: "cancelled",
    AttemptResult.EXPIRED: "moot",
}
REASON_NAMES = {
    GiveUpReason.QUEUED_TOO_LONG: "late",
    GiveUpReason.OVERLOADED: "too_many_open",
    GiveUpReason.NO_SERVER: "no_server",
    GiveUpReason.TARGET_MISSED: "out_of_time",
    GiveUpReason.RETRY_BUDGET_EXHAUSTED: "spent",
}


class DecisionHost:
    """Other actors post its on_... methods to its mailbox."""

    def __init__(self, gateway):
        self.gateway, self.settings = gateway, gateway.settings
        self.mailbox = Mailbox("module", MAX_CALLS, gateway.fail)
        self.post = self.mailbox.post
        self.methods = gateway.methods
        self.observer = self.recorder = gateway.recorder  # None where nothing is recorded
        self.rpcs_taken = 0
        self.balancer = Balancer(self.settings, self)
        self.open_ids = set()  # ids of the RPCs that are open
        self.count = gateway.counters.add

    def start(self, release):
        """The list known at start is posted already: it comes first."""
        self.post(self._start_decisions)
        self.post(self.on_release_update, release)
        self.post(self._set_ready)
        self.mailbox.start()

    def _start_decisions(self):
        now = clock.now()
        if self.recorder:
            self.recorder.on_start(now)
        self.balancer.on_start(now)

    def _set_ready(self):
        self.gateway.ready = True

    # What the decisions ask (interface.Host).
    def send(self, attempt, until):
        now, call, peer = clock.now(), attempt.rpc.host, attempt.server.host
        if self.recorder:
            self.recorder.on_send(attempt, until)
        request = call.request
        fields = [
            ("host", peer.name),
            ("x-timeout", f"{max(1, until - now) / SECOND:.4f}"),
            *request.passed_on(*REPLACED_FIELDS),
        ]
        data = http.request(request.method, request.target, fields, request.body)
        attempt.host = Exchange(attempt, None, request.method, data, now)
        peer.mailbox.post(peer.send, attempt.host)
        self.count("picks" if attempt.number == 0 else "further_picks")
        if now - attempt.server.started_at < self.settings.warm_up_time:
            self.count("picks_cold")
        timeout_at = min(until, attempt.rpc.deadline)
        self.mailbox.timers.at(timeout_at, self.give_up, attempt, AttemptResult.TIMEOUT)

    def reject(self, rpc, retry_after):
        fields = [("retry-after", f"{retry_after / SECOND:.3f}")] if retry_after else []
        self._answer(rpc, 503, fields)
        self.count(f"pushed_back_{REASON_NAMES[rpc.give_up_reason]}")
        if self.recorder:
            self.recorder.on_reject(clock.now(), rpc, retry_after)

    def abort(self, rpc):
        self._answer(rpc, 502)
        self.count(f"aborted_{REASON_NAMES[rpc.give_up_reason]}")
        if self.recorder:
            self.recorder.on_abort(clock.now(), rpc)

    def cancel(self, attempt):
        self.post(self.give_up, attempt, AttemptResult.CANCELLED)

    def probe(self, server):
        peer, now = server.host, clock.now()
        target = "/_load" if self.settings.load_report_fields else "/ping"
        exchange = Exchange(None, server, "GET", http.request("GET", target, [("host", peer.name)]), now)
        peer.mailbox.post(peer.send, exchange)
        self.count("probes")
        self.mailbox.timers.at(now + self.settings.connect_timeout, self._give_up_probe, exchange)

    def wake_after(self, delay):
        self.mailbox.after(delay, self._on_timer)

    def vote(self, build, step, vote):
        if self.recorder:
            self.recorder.on_vote(clock.now(), build, step, vote)
        actor = self.gateway.platform
        actor.mailbox.post(actor.vote, build, step, vote)
        self.count("votes")

    def watch_servers(self):
        roster = self.gateway.roster
        roster.mailbox.post(roster.dial)

    def log(self, text):
        if self.recorder:
            self.recorder.on_log(clock.now(), text)
        self.gateway.log.info("decision", what=text)

    # What the actors post.
    def on_request(self, call):
        now = clock.now()
        if call.name in self.open_ids:  # else two of one id would be out, and servers could not tell them
            return call.client.mailbox.post(call.client.answer, call, 409)
        self.open_ids.add(call.name)
        rpc = call.rpc = Rpc(
            method=call.method,
            deadline=call.deadline,
            arrived_at=call.arrived,
            expected_work=call.expected_work,
            is_retry=call.is_retry,
            host=call,
        )
        self.rpcs_taken += 1
        self.count("rpcs")
        call.serial = self.rpcs_taken
        if self.recorder:
            self.recorder.on_request(now, rpc)
        self.balancer.on_request(now, rpc)
        self.gateway.reject_connections_until = self.balancer.reject_connections_until
        self._release(rpc)

    def on_client_gone(self, call):
        if call.rpc is None:  # it was refused
            return
        rpc, call.rpc = call.rpc, None
        self.open_ids.discard(call.name)
        now = clock.now()
        if self.recorder and not rpc.done:
            self.recorder.on_client_gone(now, rpc)
        self.balancer.on_client_gone(now, rpc)
        self._release(rpc)

    def on_result(self, attempt, result, load, answer=None):
        """Each attempt ends once; the first ok is the client's answer and ends the RPC."""
        if attempt.result is not None:
            return
        rpc, now = attempt.rpc, clock.now()
        final = result == AttemptResult.OK or rpc.done
        if self.recorder:
            self.recorder.on_result(now, attempt, result, load, final)
        if result == AttemptResult.OK and not rpc.done:
            self.count("ok")
            self._answer(rpc, 200, answer.passed_on("x-server-load"), answer.body)
        self.count(f"ended_{RESULT_NAMES[result]}")
        self.balancer.on_result(now, attempt, result, now - attempt.sent_at, load, final)
        self._release(rpc)

    def on_response_started(self, attempt):
        """The first of an answer has come, and not yet all of it."""
        if attempt.result is None:
            now = clock.now()
            if self.recorder:
                self.recorder.on_response_started(now, attempt)
            self.balancer.on_response_started(now, attempt)

    def on_probe_result(self, exchange, result, load):
        if exchange.server:
            server, exchange.server = exchange.server, None
            now = clock.now()
            if self.recorder:
                self.recorder.on_probe_result(now, server, result, now - exchange.sent, load)
            self.balancer.on_probe_result(now, server, result, now - exchange.sent, load)

    def on_server_list(self, members, complete, gone, revision):
        """Members as (peer, address, its entry); `gone` are those that a complete list does not name."""
        for peer, address, entry in members:
            peer.mailbox.post(peer.listed, entry.status, (address, entry.build, entry.started_at))
        for peer in gone:
            peer.mailbox.post(peer.listed, ServerStatus.GONE, None)
        now, entries = clock.now(), [entry for _, _, entry in members]
        if self.recorder:
            self.recorder.on_server_list(now, revision, entries, complete)
        self.balancer.on_server_list(now, entries, complete)

    def on_server_list_failed(self):
        now = clock.now()
        if self.recorder:
            self.recorder.on_server_list_failed(now)
        self.balancer.on_server_list_failed(now)

    def on_release_update(self, update):
        now = clock.now()
        if self.recorder:
            self.recorder.on_release_update(now, update)
        self.balancer.on_release_update(now, update)

    def on_vote_answered(self, result, update):
        self.count(f"vote_{platform.RESULTS[result]}")
        now = clock.now()
        if self.recorder:
            self.recorder.on_vote_answered(now, result, update)
        self.balancer.on_vote_answered(now, update if result == AttemptResult.OK else None)

    def on_platform_counts(self, counts):
        if counts.method in self.methods:
            now, method = clock.now(), self.methods[counts.method]
            told = PlatformCounts(
                counts.build, method, counts.failed, counts.ended, counts.mean_latency, counts.age
            )
            if self.recorder:
                self.recorder.on_platform_counts(now, told)
            self.balancer.on_platform_counts(now, told)

    def on_wrong_answer(self, server, method_name):
        if method_name in self.methods:
            now, method = clock.now(), self.methods[method_name]
            if self.recorder:
                self.recorder.on_wrong_answer(now, server, method)
            self.balancer.on_wrong_answer(now, server, method)

    # Its own.
    def give_up(self, attempt, result):
        if attempt.result is None:
            peer = attempt.server.host
            peer.mailbox.post(peer.give_up, attempt.host)
            self.on_result(attempt, result, ())

    def _give_up_probe(self, exchange):
        if exchange.server:
            peer = exchange.server.host
            peer.mailbox.post(peer.give_up, exchange)
            self.on_probe_result(exchange, AttemptResult.TIMEOUT, ())

    def _on_timer(self):
        now = clock.now()
        if self.recorder:
            self.recorder.on_timer(now)
        self.balancer.on_timer(now)

    def _release(self, rpc):
        """Of an RPC whose last attempt has ended nothing points back to it.

        So it goes at once, with all it holds, and is not left to the garbage collector.
        """
        if rpc.done and all(attempt.result is not None for attempt in rpc.attempts):
            for attempt in rpc.attempts:
                attempt.host = None
            rpc.attempts, rpc.host = (), None

    def _answer(self, rpc, status, fields=(), data=b""):
        client = rpc.host.client
        self.open_ids.discard(rpc.host.name)
        client.mailbox.post(client.answer, rpc.host, status, fields, data)
