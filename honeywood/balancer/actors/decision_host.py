"""The actor that hosts the decisions: only its thread calls them, and it owns RPCs, attempts and timers.

It implements interface.Host and makes no decisions itself: it carries out the calls of the decisions and
passes events on to them.
"""

from __future__ import annotations

from honeywood.balancer.actors.exchange import Exchange
from honeywood.balancer.actors.server_peer import Process
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

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Sequence

    from honeywood.balancer.actors.application import Application
    from honeywood.balancer.actors.call import Call
    from honeywood.balancer.actors.server_peer import ServerPeer
    from honeywood.balancer.interface import Observer
    from honeywood.balancer.model import (
        Attempt,
        Duration,
        ReleaseUpdate,
        Server,
        ServerEntry,
        Time,
        Vote,
    )
    from honeywood.balancer.protocol.discovery import Address

MAX_CALLS = 20_000
REPLACED_FIELDS = ("host", "x-timeout")  # header fields set anew for each attempt
# Names in counters of the results of attempts and of the reasons why an RPC was given up.
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
    """Hosts the decisions; other actors post its on_... methods to its mailbox."""

    def __init__(self, application: Application) -> None:
        """Create the host; the decisions are called from start() on."""
        self._application, self._settings = application, application.settings
        self._mailbox = Mailbox("module", MAX_CALLS, application.fail)
        self.post = self._mailbox.post
        self._methods = application.methods
        self._recorder = application.recorder  # None if no trace is recorded
        self.observer: Observer | None = application.recorder
        self._rpcs_taken = 0
        self._open_identifiers: set[str] = set()  # request ids of unanswered RPCs
        self._count = application.counters.add
        self._balancer = Balancer(self._settings, self)

    def start(self, release: ReleaseUpdate) -> None:
        """Start the decisions.

        The server list known at startup has been posted before, so its call comes first.
        """
        self.post(self._start_decisions)
        self.post(self.on_release_update, release)
        self.post(self._set_ready)
        self._mailbox.start()

    def _start_decisions(self) -> None:
        now = clock.now()
        if self._recorder:
            self._recorder.on_start(now)
        self._balancer.on_start(now)

    def _set_ready(self) -> None:
        self._application.is_ready = True

    # Called by the decisions (interface.Host).
    def send(self, attempt: Attempt, until: Time) -> None:
        """Have an attempt written by its server's actor, and set the timer that times it out."""
        now = clock.now()
        if self._recorder:
            self._recorder.on_send(attempt, until)
        request, peer = attempt.rpc.host.request, attempt.server.host
        fields = [
            ("host", peer.name),
            ("x-timeout", f"{max(1, until - now) / SECOND:.4f}"),
            *request.end_to_end_fields(*REPLACED_FIELDS),
        ]
        data = http.request(request.method, request.target, fields, request.body)
        attempt.host = Exchange(attempt, None, request.method, data, now)
        peer.mailbox.post(peer.send, attempt.host)
        self._count("picks" if attempt.number == 0 else "further_picks")
        if now - attempt.server.started_at < self._settings.warm_up_time:
            self._count("picks_cold")
        timeout_at = min(until, attempt.rpc.deadline)
        self._mailbox.timers.at(timeout_at, self._give_up, attempt, AttemptResult.TIMEOUT)

    def reject(self, rpc: Rpc, retry_after: Duration) -> None:
        """Answer 503."""
        fields = [("retry-after", f"{retry_after / SECOND:.3f}")] if retry_after else []
        self._answer(rpc, 503, fields)
        self._count(f"pushed_back_{_reason_name(rpc)}")
        if self._recorder:
            self._recorder.on_reject(clock.now(), rpc, retry_after)

    def abort(self, rpc: Rpc) -> None:
        """Answer 502."""
        self._answer(rpc, 502)
        self._count(f"aborted_{_reason_name(rpc)}")
        if self._recorder:
            self._recorder.on_abort(clock.now(), rpc)

    def cancel(self, attempt: Attempt) -> None:
        """Give an attempt up; posted, so that it happens after the current call of the decisions."""
        self.post(self._give_up, attempt, AttemptResult.CANCELLED)

    def probe(self, server: Server) -> None:
        """Request a server's load or, if the settings name no load report, only check whether it answers."""
        peer, now = server.host, clock.now()
        target = "/_load" if self._settings.load_report_fields else "/ping"
        data = http.request("GET", target, [("host", peer.name)])
        exchange = Exchange(None, server, "GET", data, now)
        peer.mailbox.post(peer.send, exchange)
        self._count("probes")
        self._mailbox.timers.at(now + self._settings.connect_timeout, self._give_up_probe, exchange)

    def wake_after(self, delay: Duration) -> None:
        """Set a timer that calls on_timer of the decisions."""
        self._mailbox.after(delay, self._on_timer)

    def vote(self, build: int, step: int, vote: Vote) -> None:
        """Have the platform's actor send a vote."""
        if self._recorder:
            self._recorder.on_vote(clock.now(), build, step, vote)
        actor = self._application.platform
        actor.mailbox.post(actor.vote, build, step, vote)
        self._count("votes")

    def watch_servers(self) -> None:
        """Have the server list requested from discovery."""
        directory = self._application.directory
        directory.mailbox.post(directory.dial)

    def log(self, text: str) -> None:
        """Write a line of the decisions to the log."""
        if self._recorder:
            self._recorder.on_log(clock.now(), text)
        self._application.log.info("decision", what=text)

    # Posted by the other actors.
    def on_request(self, call: Call) -> None:
        """Create an RPC for a client's request, or answer 409 if its request id is already in use."""
        now = clock.now()
        # Servers could not distinguish two open RPCs with the same identifier.
        if call.identifier in self._open_identifiers:
            return call.client.mailbox.post(call.client.answer, call, 409)
        self._open_identifiers.add(call.identifier)
        rpc = call.rpc = Rpc(
            method=call.method,
            deadline=call.deadline,
            arrived_at=call.arrived_at,
            expected_work=call.expected_work,
            is_retry=call.is_retry,
            host=call,
        )
        self._rpcs_taken += 1
        self._count("rpcs")
        call.serial = self._rpcs_taken
        if self._recorder:
            self._recorder.on_request(now, rpc)
        self._balancer.on_request(now, rpc)
        self._application.reject_connections_until = self._balancer.reject_connections_until
        return _free_if_ended(rpc)

    def on_client_disconnected(self, call: Call) -> None:
        """A client has disconnected before its answer."""
        if call.rpc is None:  # it was answered 409
            return
        rpc, call.rpc = call.rpc, None
        self._open_identifiers.discard(call.identifier)
        now = clock.now()
        if self._recorder and not rpc.done:
            self._recorder.on_client_disconnected(now, rpc)
        self._balancer.on_client_disconnected(now, rpc)
        _free_if_ended(rpc)

    def on_response_started(self, attempt: Attempt) -> None:
        """The first part of an answer has arrived, but not all of it."""
        if attempt.result is None:
            now = clock.now()
            if self._recorder:
                self._recorder.on_response_started(now, attempt)
            self._balancer.on_response_started(now, attempt)

    def on_result(
        self,
        attempt: Attempt,
        result: AttemptResult,
        load: Sequence[float],
        response: http.Response | None = None,
    ) -> None:
        """An attempt has ended; later results of it are ignored.

        The first OK of an RPC is sent to its client and ends the RPC.
        """
        if attempt.result is not None:
            return
        rpc, now = attempt.rpc, clock.now()
        final = result == AttemptResult.OK or rpc.done
        if self._recorder:
            self._recorder.on_result(now, attempt, result, load, final)
        if result == AttemptResult.OK and not rpc.done and response:
            self._count("ok")
            self._answer(rpc, 200, response.end_to_end_fields("x-server-load"), response.body)
        self._count(f"ended_{RESULT_NAMES[result]}")
        self._balancer.on_result(now, attempt, result, now - attempt.sent_at, load, final)
        _free_if_ended(rpc)

    def on_probe_result(self, exchange: Exchange, result: AttemptResult, load: Sequence[float]) -> None:
        """A probe has ended; later results of it are ignored."""
        if exchange.server:
            server, exchange.server = exchange.server, None
            now = clock.now()
            latency = now - exchange.sent_at
            if self._recorder:
                self._recorder.on_probe_result(now, server, result, latency, load)
            self._balancer.on_probe_result(now, server, result, latency, load)

    def on_server_list(
        self,
        members: Sequence[tuple[ServerPeer, Address | None, ServerEntry]],
        complete: bool,
        removed_peers: Sequence[ServerPeer],
        revision: int,
    ) -> None:
        """Take over the server list or changes to it.

        Args:
            members: each listed server with its address and entry.
            complete: whether this is the whole list.
            removed_peers: known servers that a complete list no longer contains.
            revision: the revision of the list.
        """
        for peer, address, entry in members:
            process = Process(address, entry.build, entry.started_at)
            peer.mailbox.post(peer.on_list_entry, entry.status, process)
        for peer in removed_peers:
            peer.mailbox.post(peer.on_list_entry, ServerStatus.REMOVED, None)
        now, entries = clock.now(), [entry for _, _, entry in members]
        if self._recorder:
            self._recorder.on_server_list(now, revision, entries, complete)
        self._balancer.on_server_list(now, entries, complete)

    def on_server_list_failed(self) -> None:
        """Discovery has refused the list or ended the watch."""
        now = clock.now()
        if self._recorder:
            self._recorder.on_server_list_failed(now)
        self._balancer.on_server_list_failed(now)

    def on_release_update(self, update: ReleaseUpdate) -> None:
        """The platform has reported the state of its newest release."""
        now = clock.now()
        if self._recorder:
            self._recorder.on_release_update(now, update)
        self._balancer.on_release_update(now, update)

    def on_vote_answered(self, result: AttemptResult, update: ReleaseUpdate | None) -> None:
        """The platform has answered a vote, or the answer has timed out."""
        self._count(f"vote_{platform.RESULTS[result]}")
        now = clock.now()
        if self._recorder:
            self._recorder.on_vote_answered(now, result, update)
        self._balancer.on_vote_answered(now, update if result == AttemptResult.OK else None)

    def on_platform_counts(self, counts: platform.Counts) -> None:
        """The platform has reported its counts for a build and a method."""
        if counts.method in self._methods:
            now, method = clock.now(), self._methods[counts.method]
            build, _, failed, ended, mean_latency, age = counts
            platform_counts = PlatformCounts(build, method, failed, ended, mean_latency, age)
            if self._recorder:
                self._recorder.on_platform_counts(now, platform_counts)
            self._balancer.on_platform_counts(now, platform_counts)

    def on_incorrect_answer(self, server: Server, method_name: str) -> None:
        """The platform has found an answer of a server incorrect."""
        if method_name in self._methods:
            now, method = clock.now(), self._methods[method_name]
            if self._recorder:
                self._recorder.on_incorrect_answer(now, server, method)
            self._balancer.on_incorrect_answer(now, server, method)

    # Internal.
    def _on_timer(self) -> None:
        now = clock.now()
        if self._recorder:
            self._recorder.on_timer(now)
        self._balancer.on_timer(now)

    def _give_up(self, attempt: Attempt, result: AttemptResult) -> None:
        if attempt.result is None:
            peer = attempt.server.host
            peer.mailbox.post(peer.give_up, attempt.host)
            self.on_result(attempt, result, ())

    def _give_up_probe(self, exchange: Exchange) -> None:
        if exchange.server:
            peer = exchange.server.host
            peer.mailbox.post(peer.give_up, exchange)
            self.on_probe_result(exchange, AttemptResult.TIMEOUT, ())

    def _answer(self, rpc: Rpc, status: int, fields: http.Fields = (), data: bytes | bytearray = b"") -> None:
        call = rpc.host
        self._open_identifiers.discard(call.identifier)
        call.client.mailbox.post(call.client.answer, call, status, fields, data)


def _reason_name(rpc: Rpc) -> str:
    return REASON_NAMES[rpc.give_up_reason] if rpc.give_up_reason else "none"


def _free_if_ended(rpc: Rpc) -> None:
    """Break the reference cycles of an RPC whose attempts have all ended.

    It is then freed at once, with its request and answers, and does not wait for the garbage collector.
    """
    if rpc.done and all(attempt.result is not None for attempt in rpc.attempts):
        for attempt in rpc.attempts:
            attempt.host = None
        rpc.attempts, rpc.host = [], None
