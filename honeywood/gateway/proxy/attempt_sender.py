"""Carries out attempts. An attempt is one exchange of a request with one endpoint."""

from __future__ import annotations

import asyncio
from weakref import WeakKeyDictionary

from honeywood.gateway.proxy.attempt_in_flight import NOTHING_SENT, AttemptInFlight, AttemptResult
from honeywood.gateway.proxy.client_request import TRY_ID_HEADER
from honeywood.gateway.proxy.load_report import LOAD_HEADER, record_load_report
from honeywood.gateway.proxy.request_counters import RequestProgress
from honeywood.gateway.rollout.outcome_counters import OpenAttempt
from honeywood.gateway.routing.outcomes import AttemptOutcome, classify_response
from honeywood.gateway.routing.pending_request import connect_deadline
from honeywood.gateway.rpc.reply import ExchangeFailure, Reply

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine, Iterator
    from typing import Any, Protocol

    from honeywood.gateway.proxy.client_request import OutgoingRequest
    from honeywood.gateway.proxy.connection_pool import ConnectionPool
    from honeywood.gateway.proxy.request_counters import RequestCounters
    from honeywood.gateway.routing.attempt_policy import AttemptPolicy
    from honeywood.gateway.routing.endpoint import Endpoint
    from honeywood.gateway.routing.endpoint_table import EndpointTable
    from honeywood.gateway.routing.pending_request import PendingRequest
    from honeywood.gateway.rpc.connection import Connection
    from honeywood.gateway.rpc.reply import BodyRemainder

    class OutcomeObserver(Protocol):
        """The part of the rollout traffic policy that counts outcomes."""

        def record_outcome(
            self,
            now: float,
            request: PendingRequest,
            endpoint: Endpoint,
            outcome: AttemptOutcome,
            latency_s: float,
        ) -> None:
            """Records that an attempt ended with `outcome` after `latency_s` seconds."""


# After the deadline, in which a response is still read. Otherwise an endpoint's own 504 that is sent at the
# deadline would cost its connection.
LATE_RESPONSE_GRACE_S = 0.05
RUN_OUTCOMES = (AttemptOutcome.SUCCESS, AttemptOutcome.FAILURE)
MATCHING_RESPONSE_OUTCOMES = (*RUN_OUTCOMES, AttemptOutcome.NOT_RUN)


class AttemptSender:
    """Makes attempts and records their results at the endpoint, the pool, the rollout and the counters."""

    def __init__(
        self,
        clock: Callable[[], float],
        endpoints: EndpointTable,
        policy: AttemptPolicy,
        observer: OutcomeObserver,
        pool: ConnectionPool,
        counters: RequestCounters,
        on_last_attempt_ended: Callable[[PendingRequest], None],
        on_attempt: Callable[[PendingRequest], None],
    ) -> None:
        """Builds the sender.

        `on_attempt` is called before each attempt, `on_last_attempt_ended` when a request has no attempt in
        flight any more.
        """
        self.clock = clock
        self.endpoints = endpoints
        self.policy = policy
        self.observer = observer
        self.pool = pool
        self.counters = counters
        self.on_last_attempt_ended = on_last_attempt_ended
        self.on_attempt = on_attempt
        self.in_flight: dict[PendingRequest, list[AttemptInFlight]] = {}
        # The endpoints of long responses that are, or will be, relayed after their attempt has ended.
        self.remainders: WeakKeyDictionary[BodyRemainder, Endpoint] = WeakKeyDictionary()
        self._tasks: set[asyncio.Task[AttemptResult]] = set()  # the event loop has only weak references

    def start(
        self, request: PendingRequest, endpoint: Endpoint, outgoing: OutgoingRequest
    ) -> asyncio.Task[AttemptResult]:
        """Starts a task that runs `send`."""
        return self._start_task(self.send(request, endpoint, outgoing))

    def _start_task(self, work: Coroutine[Any, Any, AttemptResult]) -> asyncio.Task[AttemptResult]:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def abandon(self, request: PendingRequest) -> None:
        """Ends the attempts of an idempotent request whose client has disconnected.

        An attempt that still waits for its connection is not ended here: the policy rejects it once the
        connection is established, and the connection is kept.
        """
        for attempt in self.in_flight.get(request, ()):
            if attempt.record is None or attempt.record.outcome is not None:
                continue
            attempt.record.outcome = AttemptOutcome.ABANDONED
            if attempt.connection is not None:
                attempt.connection.close()
            self.counters.attempt_abandoned()

    async def send(
        self, request: PendingRequest, endpoint: Endpoint, outgoing: OutgoingRequest
    ) -> AttemptResult:
        """Makes one attempt.

        Nothing is sent if the policy rejects the attempt after its connection was established.
        """
        attempt = AttemptInFlight(request, endpoint)
        self.in_flight.setdefault(request, []).append(attempt)
        endpoint.attempt_started(self.clock())
        try:
            if not await self._exchange(attempt, outgoing):
                return NOTHING_SENT
            if isinstance(attempt.reply, Reply) and attempt.reply.surplus:
                return self._continue_reading(attempt)
            return self._conclude(attempt)
        finally:
            if not attempt.continues:
                self._finish(attempt)

    async def _exchange(self, attempt: AttemptInFlight, outgoing: OutgoingRequest) -> bool:
        """Exchanges the request with the endpoint; returns whether anything was sent.

        If a kept connection turns out to have ended before anything was sent on it, the attempt continues
        with the next connection.
        """
        request, endpoint = attempt.request, attempt.endpoint
        while (connection := await self._connect(attempt)) is not None:
            now = self.clock()
            if not request.route.idempotent:  # it can't be withdrawn once it has been sent
                request.disconnect.check(now)
            if self.policy.rejection(now, request, endpoint, connected=True) is not None:
                return False  # the state changed while the connection was established
            self.on_attempt(request)
            record = attempt.record = self.policy.record_attempt(now, request, endpoint, connection)
            attempt.sent_at, idle_s = now, now - connection.idle_since
            reply = attempt.reply = await connection.exchange(
                outgoing.method,
                outgoing.target,
                outgoing.headers_for(endpoint, request.deadline - now),
                outgoing.body,
                request.deadline + LATE_RESPONSE_GRACE_S,
                expected_header=(TRY_ID_HEADER, request.try_id),
            )
            if not (attempt.connection_reused and isinstance(reply, ExchangeFailure)):
                return True
            if reply.sent:
                if not reply.timed_out:
                    self.pool.record_break(endpoint, idle_s, self.clock() - now)
                return True
            self.policy.withdraw_attempt(request, record)
            attempt.record = attempt.reply = None
        return False

    async def _connect(self, attempt: AttemptInFlight) -> Connection | None:
        """Returns the attempt's connection, a kept one or a new one; None if the endpoint is unreachable."""
        endpoint = attempt.endpoint
        attempt.connection, attempt.connection_reused = self.pool.take_idle(endpoint, attempt.request), True
        if attempt.connection is None:
            deadline = connect_deadline(self.clock(), attempt.request)
            attempt.connection, attempt.connection_reused = await self.pool.open(endpoint, deadline), False
        if attempt.connection is None:
            endpoint.eject(self.clock())
            attempt.request.unreachable.append(endpoint)
        return attempt.connection

    def _continue_reading(self, attempt: AttemptInFlight) -> AttemptResult:
        """Continues to read after a response to another request.

        The endpoint has received this request, so the response to it may still follow.
        """
        attempt.continues = True
        self.counters.surplus_response()
        attempt.endpoint.eject(self.clock())
        return AttemptResult(None, None, self._start_task(self._read_past_surplus(attempt)))

    async def _read_past_surplus(self, attempt: AttemptInFlight) -> AttemptResult:
        """Reads past surplus responses; returns the result by the response that follows them."""
        deadline = attempt.request.deadline + LATE_RESPONSE_GRACE_S
        try:
            while isinstance(attempt.reply, Reply) and attempt.reply.surplus and attempt.connection:
                attempt.reply = await attempt.connection.read_next_reply(deadline)
            result = self._conclude(attempt)
            self.counters.attempt_after_surplus_ended(result.outcome in MATCHING_RESPONSE_OUTCOMES)
            return result
        finally:
            self._finish(attempt)

    def _conclude(self, attempt: AttemptInFlight) -> AttemptResult:
        """Returns the attempt's result by the last reply or failure of its exchange."""
        now = self.clock()
        if attempt.was_abandoned:
            self.endpoints.record_abandoned(now, attempt.endpoint, now - attempt.sent_at)
            self._report_outcome(now, attempt, AttemptOutcome.ABANDONED)
            return AttemptResult(AttemptOutcome.ABANDONED)
        outcome = self._evaluate(attempt, now)
        attempt.record_outcome(outcome)
        if outcome is AttemptOutcome.NOT_RUN:
            self.counters.attempt_not_run(_reason_not_run(attempt))
        self._report_outcome(now, attempt, outcome)
        if outcome is AttemptOutcome.INVALID and attempt.connection is not None:
            attempt.connection.close()  # a late response must not be matched to another request
        reply = attempt.reply if isinstance(attempt.reply, Reply) else None
        if attempt.request.finished and reply is not None and reply.remainder is not None:
            reply.remainder.abandon()  # the client was sent another attempt's response
        return AttemptResult(outcome, reply)

    def _report_outcome(self, now: float, attempt: AttemptInFlight, outcome: AttemptOutcome) -> None:
        elapsed_s = now - attempt.sent_at
        self.observer.record_outcome(now, attempt.request, attempt.endpoint, outcome, elapsed_s)

    def _evaluate(self, attempt: AttemptInFlight, now: float) -> AttemptOutcome:
        """Returns the outcome, and updates the endpoint's health and latency by it."""
        reply, endpoint = attempt.reply, attempt.endpoint
        if not isinstance(reply, Reply):
            if reply is not None and not reply.timed_out:
                endpoint.eject(now)
            return AttemptOutcome.NO_ANSWER if reply is None or reply.sent else AttemptOutcome.NOT_RUN
        outcome = classify_response(reply.status, reply.fields, attempt.request.try_id)
        record_load_report(now, endpoint, reply.fields.get(LOAD_HEADER))
        if outcome in RUN_OUTCOMES:
            self.endpoints.record_latency(now, endpoint, now - attempt.sent_at)
        else:
            endpoint.eject(now)
        return outcome

    def _finish(self, attempt: AttemptInFlight) -> None:
        """Counts the attempt as ended and releases its connection, whatever its outcome."""
        self._remove(attempt)
        self._count_work_after_disconnect(attempt)
        if attempt.record is not None and attempt.record.outcome is None:
            attempt.record_outcome(AttemptOutcome.NO_ANSWER)
        reply = attempt.reply if isinstance(attempt.reply, Reply) else None
        attempt.endpoint.attempt_ended(self.clock(), answered=reply is not None)
        if reply is not None and reply.remainder is not None:
            self.remainders[reply.remainder] = attempt.endpoint  # it releases the connection at its end
        elif attempt.connection is not None:
            self.pool.release(attempt.endpoint, attempt.connection)

    def _remove(self, attempt: AttemptInFlight) -> None:
        attempts = self.in_flight[attempt.request]
        attempts.remove(attempt)
        if not attempts:
            del self.in_flight[attempt.request]
            self.on_last_attempt_ended(attempt.request)

    def _count_work_after_disconnect(self, attempt: AttemptInFlight) -> None:
        """Counts how long the attempt stayed at the endpoint after the client's disconnect."""
        left_at = attempt.request.disconnect.disconnected_at
        if left_at is not None and attempt.record is not None:
            self.counters.attempt_outlived_client(attempt.request, self.clock() - left_at)

    def open_attempts(self) -> Iterator[OpenAttempt]:
        """Yields the attempts in flight that have been sent to their endpoints."""
        for attempts in self.in_flight.values():
            for attempt in attempts:
                if attempt.record is not None:
                    yield OpenAttempt(attempt.request, attempt.endpoint, attempt.sent_at)

    def progress_of(self, request: PendingRequest) -> RequestProgress:
        """Returns how far a request has come."""
        if any(attempt.record is not None for attempt in self.in_flight.get(request, ())):
            return RequestProgress.AT_ENDPOINT
        return RequestProgress.ATTEMPTED if request.attempts else RequestProgress.WAITING


def _reason_not_run(attempt: AttemptInFlight) -> str:
    """Returns why an attempt did not run: the status with which it was rejected, or that it was not sent."""
    return str(attempt.reply.status) if isinstance(attempt.reply, Reply) else "not sent"
