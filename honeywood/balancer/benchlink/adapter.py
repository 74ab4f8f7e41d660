"""Hosts one set of decisions for each instance of the bench. Identifiers become objects here, and back."""

from __future__ import annotations

import json
import sys
import traceback

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

CHANGES, LIST_FAILED = 0, 3  # what a view is; others are complete lists
HAS_WORK, IS_RETRY = 1, 2  # flags of a request


class Instance:
    """One balancer of the bench: its identifiers, and what its decisions ask (interface.Host)."""

    observer: Observer | None = None

    def __init__(self, number: int, seed: int, settings: bytes) -> None:
        """`settings` is the settings object as JSON."""
        self.number = number
        self.reply = codec.Reply()
        self.rpcs: dict[int, Rpc] = {}  # by identifier; each keeps its own in `host`, as servers do
        self._servers: dict[int, Server] = {}
        self._settings = read_settings(json.loads(settings), seed)
        self.balancer = Balancer(self._settings, self)
        self._handlers: dict[int, Callable[..., None]] = {
            codec.KNOCK: self._on_request,
            codec.OUTCOME: self._on_result,
            codec.ELAPSED: self._on_timer,
            codec.HEALTH: self._on_probe_result,
            codec.STEP_NEWS: self._on_release_update,
            codec.CLIENT_LEFT: self._on_client_gone,
            codec.ESTABLISHED: self._on_stream_established,
            codec.SCORECARD: self._on_platform_counts,
            codec.WRONG: self._on_wrong_answer,
        }

    # What the decisions ask.
    def send(self, attempt: Attempt, until: Time) -> None:
        """Times round down on the way in; a stop must not land before it was meant to."""
        rpc, machine = attempt.rpc.host, attempt.server.host
        self.reply.add(self.number, codec.DELIVER, rpc, machine, codec.microseconds(until))

    def reject(self, rpc: Rpc, retry_after: Duration) -> None:
        """Answer that the RPC did not run."""
        self.reply.add(self.number, codec.SHED, rpc.host, codec.microseconds(retry_after))
        self._forget(rpc.host)

    def abort(self, rpc: Rpc) -> None:
        """Answer that the RPC failed."""
        self.reply.add(self.number, codec.LOSE, rpc.host)
        self._forget(rpc.host)

    def cancel(self, attempt: Attempt) -> None:
        """Call an attempt back."""
        self.reply.add(self.number, codec.RETRACT, attempt.rpc.host, attempt.number)

    def probe(self, server: Server) -> None:
        """Ask a server for its load."""
        self.reply.add(self.number, codec.SOUND_OUT, server.host)

    def wake_after(self, delay: Duration) -> None:
        """Ask for a timer."""
        self.reply.add(self.number, codec.WAKE, codec.microseconds(delay), 0)

    def vote(self, build: int, step: int, vote: Vote) -> None:
        """Vote on a step of a release."""
        self.reply.add(self.number, codec.VOTE, build, step, vote)

    def watch_servers(self) -> None:
        """Ask for the list."""
        self.reply.add(self.number, codec.TRACK, 1)

    def log(self, text: str) -> None:
        """Write a line to the bench's record."""
        self.reply.add(self.number, codec.RECORD, text=text)

    # What the bench tells.
    def on_event(self, now: Time, code: int, record: bytes) -> None:
        """An event other than those of the process."""
        if code in self._handlers:
            self._handlers[code](now, *codec.fields(code, record))

    def on_view(self, now: Time, entries: Sequence[codec.ListEntry], kind: int) -> None:
        """A server list, changes of it, or that there is none."""
        if kind == LIST_FAILED:
            return self.balancer.on_server_list_failed(now)
        lines = [
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
        return self.balancer.on_server_list(now, lines, complete=kind != CHANGES)

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
        self._forget(identifier)

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
        # Of a vote that does not count the other fields say nothing.
        update = None
        if result == AttemptResult.OK:
            update = ReleaseUpdate(build, step, cap, ReleaseState(state), codec.tenths_of_ms(age_us))
        if reply:
            self.balancer.on_vote_answered(now, update)
        elif update:
            self.balancer.on_release_update(now, update)

    def _on_client_gone(self, now: Time, identifier: int) -> None:
        if identifier in self.rpcs:
            self.balancer.on_client_gone(now, self.rpcs[identifier])
            self._forget(identifier)

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

    def _on_wrong_answer(self, now: Time, machine: int, method: int, age_us: int) -> None:
        if machine in self._servers:
            self.balancer.on_wrong_answer(now, self._servers[machine], self._settings.methods[method])

    # Its own.
    def _server(self, machine: int) -> Server:
        if machine not in self._servers:
            self._servers[machine] = Server(host=machine, digest=digest(machine))
        return self._servers[machine]

    def _forget(self, identifier: int) -> None:
        """An RPC is needed until it is over and its last attempt has ended."""
        rpc = self.rpcs.get(identifier)
        if rpc and rpc.done and all(attempt.result is not None for attempt in rpc.attempts):
            del self.rpcs[identifier]


class Process:
    """All instances of this process; server lists are shared by them as the wire shares them."""

    def __init__(self) -> None:
        """There is no instance yet."""
        self.instances: dict[int, Instance] = {}
        self._lists: dict[int, list[codec.ListEntry]] = {}  # by number

    def answer(self, clock_us: int, records: Sequence[bytes], tail: bytes) -> codec.Reply:
        """The reply to a batch of events. Raises InvalidFrame."""
        batch = Batch(self, codec.tenths_of_ms(clock_us), tail)
        for record in records:
            try:
                batch.on_record(record)
            except codec.InvalidFrame:
                raise
            except Exception:  # noqa: BLE001 - whatever the decisions raise, the bench is told of it
                fault = codec.Reply()
                fault.add(batch.number, codec.BAIL_OUT, text=traceback.format_exc())
                return fault
        return batch.reply

    def put_list(self, number: int, entries: list[codec.ListEntry]) -> None:
        """Keep a list that instances are shown."""
        self._lists[number] = entries

    def list_of(self, number: int) -> list[codec.ListEntry]:
        """The list of this number, an empty one where there is none."""
        return self._lists.get(number, [])


class Batch:
    """One batch on its way through the instances: events belong to the instance named last."""

    def __init__(self, process: Process, now: Time, tail: bytes) -> None:
        """No instance is named yet."""
        self.reply = codec.Reply()
        self.number = 0
        self._process, self._now, self._tail = process, now, tail
        self._instance: Instance | None = None

    def on_record(self, record: bytes) -> None:
        """Hand one record to whom it concerns; unknown ones are passed over."""
        code = codec.code_of(record)
        if code == codec.CONTEXT:
            (self.number,) = codec.fields(code, record)
            self._instance = self._process.instances.get(self.number)
        elif code == codec.ROSTER:
            number, start, count = codec.fields(code, record)
            self._process.put_list(number, codec.entries(self._tail, start, count))
        elif code == codec.EXIT:
            self._instance = None
            self._process.instances.pop(self.number, None)
        elif code == codec.HELLO:
            self._begin(*codec.fields(code, record))
        elif code in codec.EVENTS and self._instance is not None:
            self._on_event(self._instance, code, record)

    def _begin(self, seed: int, start: int, length: int) -> None:
        settings = codec.cut(self._tail, start, length)
        self._instance = self._process.instances[self.number] = Instance(self.number, seed, settings)
        self._instance.reply = self.reply
        self._instance.balancer.on_start(self._now)

    def _on_event(self, instance: Instance, code: int, record: bytes) -> None:
        instance.reply = self.reply
        if code == codec.VIEW:
            number, _, kind = codec.fields(code, record)
            instance.on_view(self._now, self._process.list_of(number), kind)
        else:
            instance.on_event(self._now, code, record)


def main() -> int:
    """Answer frames on standard input until it ends; the status of the program."""
    process, source, sink = Process(), sys.stdin.buffer, sys.stdout.buffer
    try:
        while (frame := codec.read_frame(source)) is not None:
            sink.write(process.answer(*frame).frame())
            sink.flush()
    except codec.InvalidFrame as error:
        print(f"benchlink: {error}", file=sys.stderr)
        return 1
    return 0
