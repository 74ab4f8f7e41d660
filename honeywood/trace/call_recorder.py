"""What a balancer records: the calls between the decisions and their host, as records in a bounded queue.

It listens and changes nothing: all calls come on the decisions' thread and cost it some microseconds each. A
balancer that is faster than the disk loses records, never RPCs; rules/load_shedding.py says which.
"""

from __future__ import annotations

from collections import deque

from honeywood.trace.rules.load_shedding import LoadShedding
from honeywood.trace.schema import (
    ABORTED,
    ANSWER,
    ANSWERED_OK,
    BEGAN,
    COMING,
    DROPPED,
    LEFT,
    LIST,
    LIST_FAILED,
    LOOK,
    MOST_TEXT,
    NEWS,
    PICK,
    PROBE,
    PUSHED_BACK,
    RESULT,
    SAID,
    TAKEN,
    TALLY,
    VOTE,
    WRONG,
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

MAX_CONSIDERED = 16  # servers that an attempt names; of a fleet all of which was looked at only the first
NO_UPDATE = (0, 0, 0.0, 0, 0)  # of a vote that does not count


class CallRecorder:
    """Is told each call before it is made, and the reasons of decisions (interface.Observer).

    `host` of what the decisions hand over leads to names, as actors/ keeps them: a server's peer, an RPC's
    call, whose `serial` numbers it; 0 where the RPC's arrival is not recorded, and then nothing of it is.
    """

    def __init__(
        self,
        capacity: int,
        unix_start: Time,
        customer_fields: Sequence[str],
        parcel_fields: Sequence[str],
    ) -> None:
        """`unix_start` is 1970 on the host's clock; the fields are header fields of requests."""
        self.queue: deque[tuple[Time, int, int, tuple[Any, ...]]] = deque()
        self.shedding, self.unix_start = LoadShedding(capacity), unix_start
        self._customer_fields, self._parcel_fields = customer_fields, parcel_fields
        self._always_admitted = self.shedding.secondary_limit
        # What was considered for an RPC since its last attempt.
        self._rpc: Rpc | None = None
        self._considered: list[tuple[str, int]] = []
        self._considered_all = 0
        self._test_results: Sequence[ReleaseTestResult] = ()

    def drop_note(self, now: Time, why: str) -> tuple[tuple[Time, int, int, tuple[Any, ...]], ...]:
        """What was lost so far, as a record; () where nothing was."""
        records, rpcs = self.shedding.take_losses()
        return ((now - self.unix_start, 0, DROPPED.number, (records, rpcs, why)),) if records else ()

    # The reasons of decisions.
    def considered(self, rpc: Rpc, server: Server, exclusion: int) -> None:
        """A server was drawn."""
        if rpc is not self._rpc:
            self._rpc, self._considered, self._considered_all = rpc, [], 0
        self._considered.append((server.host.name, exclusion))

    def considered_all(self, rpc: Rpc, servers: Sequence[Server], exclusions: Sequence[int]) -> None:
        """All servers of a group were looked at."""
        for server, exclusion in zip(servers[:MAX_CONSIDERED], exclusions):
            self.considered(rpc, server, exclusion)
        self._considered_all += len(servers)

    def tested(self, now: Time, results: Sequence[ReleaseTestResult]) -> None:
        """The tests behind the vote that follows."""
        self._test_results = results

    # What the decisions are told.
    def on_start(self, now: Time) -> None:
        """They began."""
        self.put(now, BEGAN, ())

    def on_timer(self, now: Time) -> None:
        """They were woken."""
        self.put(now, LOOK, ())

    def on_server_list(
        self, now: Time, revision: int, entries: Sequence[ServerEntry], complete: bool
    ) -> None:
        """The server list, or changes of it."""
        servers, builds, zones, cells, scales, statuses, starts = zip(*entries) if entries else [()] * 7
        names = tuple(server.host.name for server in servers)
        starts = tuple(start - self.unix_start for start in starts)
        values = (revision, int(complete), names, builds, statuses, starts, zones, cells, scales)
        self.put(now, LIST, values)

    def on_server_list_failed(self, now: Time) -> None:
        """There is no list."""
        self.put(now, LIST_FAILED, ())

    def on_release_update(self, now: Time, update: ReleaseUpdate) -> None:
        """The state of the newest release."""
        self._put_release(now, update, result=1, is_reply=False)

    def on_vote_answered(self, now: Time, result: AttemptResult, update: ReleaseUpdate | None) -> None:
        """The platform's answer to a vote."""
        self._put_release(now, update or NO_UPDATE, result, is_reply=True)

    def on_request(self, now: Time, rpc: Rpc) -> None:
        """An RPC has come."""
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
        if not self.put(now, TAKEN, values):
            call.serial = 0

    def on_client_disconnected(self, now: Time, rpc: Rpc) -> None:
        """The client has left."""
        self.put(now, LEFT, (rpc.host.serial, rpc.method.name), rpc.host.serial)

    def on_response_started(self, now: Time, attempt: Attempt) -> None:
        """The first of an answer has come."""
        serial = attempt.rpc.host.serial
        values = (serial, attempt.number, attempt.server.host.name, attempt.rpc.method.name)
        self.put(now, COMING, values, serial)

    def on_result(
        self, now: Time, attempt: Attempt, result: AttemptResult, load: Sequence[float], final: bool
    ) -> None:
        """An attempt has ended."""
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
        """A probe has ended."""
        self.put(now, PROBE, (server.host.name, result, latency, load))

    def on_incorrect_answer(self, now: Time, server: Server, method: Method) -> None:
        """The platform found an answer wrong."""
        self.put(now, WRONG, (server.host.name, method.name))

    def on_platform_counts(self, now: Time, counts: PlatformCounts) -> None:
        """The platform told what it counted."""
        build, method, failed, ended, mean_latency, age = counts
        self.put(now, TALLY, (build, method.name, failed, ended, mean_latency, age))

    # What the decisions ask.
    def on_send(self, attempt: Attempt, until: Time) -> None:
        """An attempt is sent."""
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
        self.put(attempt.sent_at, PICK, values, serial)

    def on_reject(self, now: Time, rpc: Rpc, retry_after: Duration) -> None:
        """An RPC is answered that it did not run."""
        self._answered(now, rpc, PUSHED_BACK, retry_after)

    def on_abort(self, now: Time, rpc: Rpc) -> None:
        """An RPC is answered that it failed."""
        self._answered(now, rpc, ABORTED, 0)

    def on_vote(self, now: Time, build: int, step: int, vote: Vote) -> None:
        """A vote is cast."""
        p_values, names, *counts = zip(*self._test_results) if self._test_results else [()] * 5
        columns = (tuple(map(float, column)) for column in (p_values, *counts))
        self.put(now, VOTE, (build, step, vote, names, *columns))

    def on_log(self, now: Time, text: str) -> None:
        """A line of the log."""
        self.put(now, SAID, (text[:MOST_TEXT],))

    # Its own.
    def put(self, now: Time, kind: Kind, values: tuple[Any, ...], recorded: int = 1) -> bool:
        """Whether a record was taken into the queue; `recorded` is 0 where its RPC's arrival was not."""
        queued = len(self.queue)
        # What is taken in any case is not asked for: this is done five times an RPC.
        if (queued < self._always_admitted and recorded) or self.shedding.admits(
            kind.number, queued, bool(recorded)
        ):
            self.queue.append((now - self.unix_start, 0, kind.number, values))
            return True
        return False

    def _put_release(self, now: Time, update: tuple[Any, ...], result: int, is_reply: bool) -> None:
        self.put(now, NEWS, (*update, result, int(is_reply)))

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
        """(names, exclusions, how many were looked at where all were) since the RPC's last attempt."""
        if rpc is not self._rpc:
            return (), (), 0
        self._rpc = None
        names, exclusions = zip(*self._considered[:MAX_CONSIDERED])
        return names, exclusions, self._considered_all


def _first_field(request: Any, fields: Sequence[str]) -> str:
    """The first of these header fields that a request has, cut to what a trace may hold; "" without one."""
    for field in fields:
        value: str | None = request.get(field)
        if value:
            return value[:MOST_TEXT]
    return ""
