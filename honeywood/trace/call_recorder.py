"""Records the calls between a balancer's decisions and their host in a bounded queue.

The recorder observes and changes nothing: all calls come on the decisions' thread and take a few microseconds
each. A balancer that is faster than the disk loses records, never RPCs; rules/load_shedding.py selects which.
"""

from __future__ import annotations

from collections import deque

from honeywood.trace.rules.load_shedding import LoadShedding
from honeywood.trace.schema import (
    ABORTED,
    ANSWER,
    ANSWERED_OK,
    ARRIVAL,
    ATTEMPT,
    CLIENT_DISCONNECTED,
    DROPPED,
    INCORRECT_ANSWER,
    LOG_LINE,
    MAX_TEXT_CHARACTERS,
    PLATFORM_COUNTS,
    PROBE,
    REJECTED,
    RELEASE_UPDATE,
    RESPONSE_STARTED,
    RESULT,
    SERVER_LIST,
    SERVER_LIST_FAILED,
    STARTED,
    TIMER,
    VOTE,
)

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Sequence
    from typing import Any

    from honeywood.balancer.model import (
        Attempt,
        AttemptResult,
        Duration,
        Method,
        PlatformCounts,
        ReleaseTestResult,
        ReleaseUpdate,
        Rpc,
        Server,
        ServerEntry,
        Time,
        Vote,
    )
    from honeywood.trace.schema import Kind

MAX_CONSIDERED = 16  # servers listed in an attempt; the first ones where a whole group was considered
NO_UPDATE = (0, 0, 0.0, 0, 0)  # for a vote that does not count


class CallRecorder:
    """Receives each call before it is made, and the reasons of decisions (interface.Observer).

    The names come from the `host` attributes of the decisions' objects, which actors/ sets: a server's peer,
    an RPC's call. The call's `serial` is the RPC's number in the trace, 0 where its arrival was shed; then no
    record of the RPC is written.
    """

    def __init__(
        self,
        capacity: int,
        unix_start: Time,
        customer_fields: Sequence[str],
        parcel_fields: Sequence[str],
    ) -> None:
        """`unix_start` is 1970 on the host's clock; the fields are names of request headers."""
        self.queue: deque[tuple[Time, int, int, tuple[Any, ...]]] = deque()
        self.shedding, self.unix_start = LoadShedding(capacity), unix_start
        self._customer_fields, self._parcel_fields = customer_fields, parcel_fields
        self._always_admitted = self.shedding.secondary_limit
        # The servers considered for an RPC since its last attempt.
        self._rpc: Rpc | None = None
        self._considered: list[tuple[str, int]] = []
        self._considered_all = 0
        self._test_results: Sequence[ReleaseTestResult] = ()

    def loss_records(self, now: Time, why: str) -> tuple[tuple[Time, int, int, tuple[Any, ...]], ...]:
        """Return a record of the losses since the last call in a tuple, an empty one without losses."""
        records, rpcs = self.shedding.take_losses()
        return ((now - self.unix_start, 0, DROPPED.number, (records, rpcs, why)),) if records else ()

    # Reasons of decisions.
    def considered(self, rpc: Rpc, server: Server, exclusion: int) -> None:
        """Note a server that was drawn for an RPC."""
        if rpc is not self._rpc:
            self._rpc, self._considered, self._considered_all = rpc, [], 0
        self._considered.append((server.host.name, exclusion))

    def considered_all(self, rpc: Rpc, servers: Sequence[Server], exclusions: Sequence[int]) -> None:
        """Note that all servers of a group were considered."""
        for server, exclusion in zip(servers[:MAX_CONSIDERED], exclusions):
            self.considered(rpc, server, exclusion)
        self._considered_all += len(servers)

    def tested(self, now: Time, results: Sequence[ReleaseTestResult]) -> None:
        """Note the test results for the vote that follows."""
        self._test_results = results

    # Inputs of the decisions.
    def on_start(self, now: Time) -> None:
        """Record the start of the decisions."""
        self.put(now, STARTED, ())

    def on_timer(self, now: Time) -> None:
        """Record a timer."""
        self.put(now, TIMER, ())

    def on_server_list(
        self, now: Time, revision: int, entries: Sequence[ServerEntry], complete: bool
    ) -> None:
        """Record the server list, or changes of it."""
        servers, builds, zones, cells, scales, statuses, starts = zip(*entries) if entries else [()] * 7
        names = tuple(server.host.name for server in servers)
        starts = tuple(start - self.unix_start for start in starts)
        values = (revision, int(complete), names, builds, statuses, starts, zones, cells, scales)
        self.put(now, SERVER_LIST, values)

    def on_server_list_failed(self, now: Time) -> None:
        """Record that the server list could not be fetched."""
        self.put(now, SERVER_LIST_FAILED, ())

    def on_release_update(self, now: Time, update: ReleaseUpdate) -> None:
        """Record the state of the newest release."""
        self._put_release(now, update, result=1, is_reply=False)

    def on_vote_answered(self, now: Time, result: AttemptResult, update: ReleaseUpdate | None) -> None:
        """Record the platform's answer to a vote."""
        self._put_release(now, update or NO_UPDATE, result, is_reply=True)

    def on_request(self, now: Time, rpc: Rpc) -> None:
        """Record the arrival of an RPC."""
        call = rpc.host
        request, address = call.request, call.client.connection.peer.rpartition(":")[0]
        values = (
            call.serial,
            call.identifier,
            rpc.method.name,
            _first_field(request, self._customer_fields),
            _first_field(request, self._parcel_fields),
            address,
            now - call.arrived_at,
            rpc.deadline - now,
            rpc.expected_work,
            int(rpc.is_retry),
        )
        if not self.put(now, ARRIVAL, values):
            call.serial = 0

    def on_client_disconnected(self, now: Time, rpc: Rpc) -> None:
        """Record that the client disconnected."""
        self.put(now, CLIENT_DISCONNECTED, (rpc.host.serial, rpc.method.name), rpc.host.serial)

    def on_response_started(self, now: Time, attempt: Attempt) -> None:
        """Record the first bytes of a response."""
        serial = attempt.rpc.host.serial
        values = (serial, attempt.number, attempt.server.host.name, attempt.rpc.method.name)
        self.put(now, RESPONSE_STARTED, values, serial)

    def on_result(
        self, now: Time, attempt: Attempt, result: AttemptResult, load: Sequence[float], final: bool
    ) -> None:
        """Record the end of an attempt."""
        serial = attempt.rpc.host.serial
        values = (
            serial,
            attempt.number,
            attempt.server.host.name,
            attempt.build,
            attempt.rpc.method.name,
            result,
            now - attempt.sent_at,
            int(final),
            load,
        )
        self.put(now, RESULT, values, serial)
        if final and not attempt.rpc.done:
            self._answered(now, attempt.rpc, ANSWERED_OK, 0)

    def on_probe_result(
        self, now: Time, server: Server, result: AttemptResult, latency: Duration, load: Sequence[float]
    ) -> None:
        """Record the end of a probe."""
        self.put(now, PROBE, (server.host.name, result, latency, load))

    def on_incorrect_answer(self, now: Time, server: Server, method: Method) -> None:
        """Record that the platform found an answer incorrect."""
        self.put(now, INCORRECT_ANSWER, (server.host.name, method.name))

    def on_platform_counts(self, now: Time, counts: PlatformCounts) -> None:
        """Record the platform's counts."""
        build, method, failed, ended, mean_latency, age = counts
        self.put(now, PLATFORM_COUNTS, (build, method.name, failed, ended, mean_latency, age))

    # Calls from the decisions.
    def on_send(self, attempt: Attempt, until: Time) -> None:
        """Record that an attempt is sent."""
        serial = attempt.rpc.host.serial
        values = (
            serial,
            attempt.number,
            attempt.server.host.name,
            attempt.build,
            attempt.rpc.method.name,
            until - attempt.sent_at,
            *self._take_considered(attempt.rpc),
        )
        self.put(attempt.sent_at, ATTEMPT, values, serial)

    def on_reject(self, now: Time, rpc: Rpc, retry_after: Duration) -> None:
        """Record that an RPC is rejected: it did not run."""
        self._answered(now, rpc, REJECTED, retry_after)

    def on_abort(self, now: Time, rpc: Rpc) -> None:
        """Record that an RPC is answered with a failure."""
        self._answered(now, rpc, ABORTED, 0)

    def on_vote(self, now: Time, build: int, step: int, vote: Vote) -> None:
        """Record a vote and its test results."""
        p_values, names, *counts = zip(*self._test_results) if self._test_results else [()] * 5
        columns = (tuple(map(float, column)) for column in (p_values, *counts))
        self.put(now, VOTE, (build, step, vote, names, *columns))

    def on_log(self, now: Time, text: str) -> None:
        """Record a log line."""
        self.put(now, LOG_LINE, (text[:MAX_TEXT_CHARACTERS],))

    def put(self, now: Time, kind: Kind, values: tuple[Any, ...], recorded: int = 1) -> bool:
        """Queue a record; return whether it was admitted.

        `recorded` is 0 where the arrival of its RPC was not recorded.
        """
        queued = len(self.queue)
        # Skips the call where all records are admitted: this runs five times per RPC.
        if (queued < self._always_admitted and recorded) or self.shedding.admits(
            kind.number, queued, bool(recorded)
        ):
            self.queue.append((now - self.unix_start, 0, kind.number, values))
            return True
        return False

    def _put_release(self, now: Time, update: tuple[Any, ...], result: int, is_reply: bool) -> None:
        self.put(now, RELEASE_UPDATE, (*update, result, int(is_reply)))

    def _answered(self, now: Time, rpc: Rpc, outcome: int, retry_after: Duration) -> None:
        serial = rpc.host.serial
        names, exclusions, _ = self._take_considered(rpc)
        reason = 0 if outcome == ANSWERED_OK else rpc.give_up_reason or 0
        values = (
            serial,
            rpc.method.name,
            outcome,
            reason,
            retry_after,
            now - rpc.arrived_at,
            names,
            exclusions,
        )
        self.put(now, ANSWER, values, serial)

    def _take_considered(self, rpc: Rpc) -> tuple[tuple[str, ...], tuple[int, ...], int]:
        """Return (names, exclusions, servers of wholly considered groups) since the RPC's last attempt."""
        if rpc is not self._rpc:
            return (), (), 0
        self._rpc = None
        names, exclusions = zip(*self._considered[:MAX_CONSIDERED])
        return names, exclusions, self._considered_all


def _first_field(request: Any, fields: Sequence[str]) -> str:
    """Return the first of these header fields that a request has, truncated; "" without one."""
    for field in fields:
        value: str | None = request.get(field)
        if value:
            return value[:MAX_TEXT_CHARACTERS]
    return ""
