"""Hosts the decisions of one instance of the bench.

Converts the bench's identifiers of RPCs and servers to the objects of the decisions, and back.
"""

from __future__ import annotations

import json

from honeywood.balancer.benchlink import codec
from honeywood.balancer.decisions.balancer import Balancer
from honeywood.balancer.model import (
    UNKNOWN_START,
    AttemptResult,
    PlatformCounts,
    ReleaseState,
    ReleaseUpdate,
    Rpc,
    Server,
    ServerEntry,
    digest,
)
from honeywood.balancer.settings_codec import read_settings

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from honeywood.balancer.interface import Observer
    from honeywood.balancer.model import Attempt, Duration, Time, Vote

CHANGES, LIST_FAILED = 0, 3  # kinds of a VIEW; all others are complete lists
HAS_WORK, IS_RETRY = 1, 2  # bits of the flags of a request


class Instance:
    """One balancer of the bench; implements interface.Host for its decisions."""

    observer: Observer | None = None

    def __init__(self, number: int, seed: int, settings: bytes) -> None:
        """Create an instance; `settings` is the settings object as JSON."""
        self.number = number
        self.reply = codec.Reply()
        self.rpcs: dict[int, Rpc] = {}  # by identifier; an RPC or server keeps its identifier in `host`
        self._servers: dict[int, Server] = {}
        self._settings = read_settings(json.loads(settings), seed)
        self.balancer = Balancer(self._settings, self)
        self._handlers: dict[int, Callable[..., None]] = {
            codec.KNOCK: self._on_request,
            codec.OUTCOME: self._on_result,
            codec.ELAPSED: self._on_timer,
            codec.HEALTH: self._on_probe_result,
            codec.STEP_NEWS: self._on_release_update,
            codec.CLIENT_LEFT: self._on_client_disconnected,
            codec.ESTABLISHED: self._on_stream_established,
            codec.SCORECARD: self._on_platform_counts,
            codec.WRONG: self._on_incorrect_answer,
        }

    # Called by the decisions (interface.Host).
    def send(self, attempt: Attempt, until: Time) -> None:
        """Send an attempt.

        Times of events are rounded down, but `until` is converted exactly, so that no attempt is stopped too
        early.
        """
        rpc, machine = attempt.rpc.host, attempt.server.host
        self.reply.add(self.number, codec.DELIVER, rpc, machine, codec.microseconds(until))

    def reject(self, rpc: Rpc, retry_after: Duration) -> None:
        """Answer the client that its RPC did not run."""
        self.reply.add(self.number, codec.SHED, rpc.host, codec.microseconds(retry_after))
        self._remove_if_ended(rpc.host)

    def abort(self, rpc: Rpc) -> None:
        """Answer the client that its RPC failed."""
        self.reply.add(self.number, codec.LOSE, rpc.host)
        self._remove_if_ended(rpc.host)

    def cancel(self, attempt: Attempt) -> None:
        """Cancel an attempt."""
        self.reply.add(self.number, codec.RETRACT, attempt.rpc.host, attempt.number)

    def probe(self, server: Server) -> None:
        """Request the load of a server."""
        self.reply.add(self.number, codec.SOUND_OUT, server.host)

    def wake_after(self, delay: Duration) -> None:
        """Set a timer."""
        self.reply.add(self.number, codec.WAKE, codec.microseconds(delay), 0)

    def vote(self, build: int, step: int, vote: Vote) -> None:
        """Vote on a step of a release."""
        self.reply.add(self.number, codec.VOTE, build, step, vote)

    def watch_servers(self) -> None:
        """Request the server list and its changes."""
        self.reply.add(self.number, codec.TRACK, 1)

    def log(self, text: str) -> None:
        """Write a line to the bench's log."""
        self.reply.add(self.number, codec.RECORD, text=text)

    # Events of the bench.
    def on_event(self, now: Time, code: int, record: bytes) -> None:
        """Process an event; those that concern the whole process are ignored here."""
        if code in self._handlers:
            self._handlers[code](now, *codec.fields(code, record))

    def on_view(self, now: Time, entries: Sequence[codec.ListEntry], kind: int) -> None:
        """Process a server list, changes to it, or the failure to get one."""
        if kind == LIST_FAILED:
            return self.balancer.on_server_list_failed(now)
        server_entries = [
            ServerEntry(
                server=self._server(entry.machine),
                build=round(entry.build),
                zone=entry.zone,
                cell=entry.cell,
                scale=entry.scale,
                status=codec.status_of(entry.status),
                started_at=codec.tenths_of_ms(entry.started_us) if entry.started_us else UNKNOWN_START,
            )
            for entry in entries
        ]
        return self.balancer.on_server_list(now, server_entries, complete=kind != CHANGES)

    def _on_request(
        self,
        now: Time,
        identifier: int,
        method: int,
        tenant: int,
        key: int,
        expires: int,
        work_hint: int,
        flags: int,
    ) -> None:
        rpc = self.rpcs[identifier] = Rpc(
            method=self._settings.methods[method],
            deadline=codec.tenths_of_ms(expires),
            arrived_at=now,
            tenant=tenant,
            key=key,
            expected_work=codec.tenths_of_ms(work_hint) if flags & HAS_WORK else 0,
            is_retry=bool(flags & IS_RETRY),
            host=identifier,
        )
        self.balancer.on_request(now, rpc)

    def _on_result(
        self,
        now: Time,
        identifier: int,
        result: int,
        settled: int,
        machine: int,
        latency_us: int,
        number: int,
        fields: int,
        *load: float,
    ) -> None:
        rpc = self.rpcs.get(identifier)
        if rpc is None or number >= len(rpc.attempts) or rpc.attempts[number].result is not None:
            return
        latency = codec.tenths_of_ms(latency_us)
        attempt, outcome = rpc.attempts[number], codec.result_of(result)
        self.balancer.on_result(now, attempt, outcome, latency, load[:fields], bool(settled))
        self._remove_if_ended(identifier)

    def _on_timer(self, now: Time, token: int) -> None:
        self.balancer.on_timer(now)

    def _on_probe_result(
        self, now: Time, machine: int, result: int, latency_us: int, fields: int, *load: float
    ) -> None:
        if machine in self._servers:
            latency = codec.tenths_of_ms(latency_us)
            outcome = codec.result_of(result)
            self.balancer.on_probe_result(now, self._servers[machine], outcome, latency, load[:fields])

    def _on_release_update(
        self, now: Time, step: int, result: int, cap: float, build: int, state: int, reply: int, age_us: int
    ) -> None:
        # For a vote that was not accepted the other fields have no meaning.
        update = None
        if result == AttemptResult.OK:
            update = ReleaseUpdate(build, step, cap, ReleaseState(state), codec.tenths_of_ms(age_us))
        if reply:
            self.balancer.on_vote_answered(now, update)
        elif update:
            self.balancer.on_release_update(now, update)

    def _on_client_disconnected(self, now: Time, identifier: int) -> None:
        if identifier in self.rpcs:
            self.balancer.on_client_disconnected(now, self.rpcs[identifier])
            self._remove_if_ended(identifier)

    def _on_stream_established(
        self, now: Time, identifier: int, machine: int, number: int, reserved: int
    ) -> None:
        if identifier in self.rpcs:
            self.balancer.on_stream_established(now, self.rpcs[identifier].attempts[number])

    def _on_platform_counts(
        self, now: Time, method: int, failed: int, age_us: int, ended: int, build: int, mean_us: int
    ) -> None:
        if method < len(self._settings.methods):
            mean, age = codec.tenths_of_ms(mean_us), codec.tenths_of_ms(age_us)
            counts = PlatformCounts(build, self._settings.methods[method], failed, ended, mean, age)
            self.balancer.on_platform_counts(now, counts)

    def _on_incorrect_answer(self, now: Time, machine: int, method: int, age_us: int) -> None:
        if machine in self._servers:
            self.balancer.on_incorrect_answer(now, self._servers[machine], self._settings.methods[method])

    # Internal.
    def _server(self, machine: int) -> Server:
        if machine not in self._servers:
            self._servers[machine] = Server(host=machine, digest=digest(machine))
        return self._servers[machine]

    def _remove_if_ended(self, identifier: int) -> None:
        """Remove an RPC once it is done and all its attempts have ended."""
        rpc = self.rpcs.get(identifier)
        if rpc and rpc.done and all(attempt.result is not None for attempt in rpc.attempts):
            del self.rpcs[identifier]
