"""One attempt of a request at one endpoint."""

import asyncio
from dataclasses import dataclass
from enum import StrEnum
from typing import Any

from honeywood.gateway.routing.pending_request import PendingRequest, connect_deadline
from honeywood.gateway.routing.outcomes import AttemptOutcome, classify_response
from honeywood.gateway.rpc.connection import ExchangeFailed, Reply

LATE_ANSWER_S = 0.05  # after its deadline in which an endpoint's own late answer still frees its connection
USUAL_OUTCOMES = (AttemptOutcome.SUCCESS, AttemptOutcome.FAILURE)
OWN_ANSWERS = (*USUAL_OUTCOMES, AttemptOutcome.NOT_RUN)


@dataclass(slots=True)
class Outgoing:
    """A request as endpoints get it, but for what differs from one to the other."""

    method: bytes
    target: bytes
    headers: list
    body: bytes

    def headers_for(self, endpoint, left_s):
        """With the time that is left and the endpoint that is meant."""
        left_ms = max(1, int(left_s * 1000))
        deadline = (b"x-deadline-ms", str(left_ms).encode())
        return [*self.headers, deadline, (b"x-want-instance", endpoint.id.encode())]


@dataclass(slots=True)
class AttemptResult:
    """How an attempt ended, with the endpoint's answer if any; or a task that goes on with it, whose result
    is the AttemptResult."""

    outcome: AttemptOutcome | None
    reply: Reply | None = None
    continued: asyncio.Task | None = None


class RequestStage(StrEnum):
    """How far a request has come, as counts tell of it when its client leaves."""

    WAITING = "before any attempt"
    AT_ENDPOINT = "at a machine"
    ATTEMPTED = "between attempts"


NOTHING_SENT = AttemptResult(AttemptOutcome.NOT_RUN)


@dataclass(slots=True, eq=False)
class InFlight:
    """An attempt under way; `attempt` is its record, None while nothing of it has left."""

    request: Any
    endpoint: Any
    connection: Any = None
    reused: bool = False
    attempt: Any = None
    sent_at: float = 0.0
    reply: Any = None
    continued: bool = False


class AttemptSender:
    """Makes attempts, and tells the endpoint, the pool and the rollout's stage what came of them."""

    def __init__(self, clock, endpoints, policy, stage, pool, counts, on_idle, on_attempt):
        """`counts` is the Counter of what was done; `on_idle` is told of a request without attempts under
        way, `on_attempt` of one whose next attempt begins."""
        self.on_attempt = on_attempt
        self.on_idle, self.tasks = on_idle, set()  # a task that nobody held could be collected at work
        self.clock, self.endpoints, self.policy, self.stage = clock, endpoints, policy, stage
        self.pool, self.counts = pool, counts
        self.flights: dict[PendingRequest, list[InFlight]] = {}  # attempts under way

    def start(self, request, endpoint, outgoing):
        """A task of `send`."""
        return self._hold(self.send(request, endpoint, outgoing))

    def _hold(self, work):
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    def abandon(self, request):
        """The client of a request that may be repeated has left: ends its attempts at endpoints. An attempt
        whose connection is still to come up ends by the policy, and the connection is kept."""
        for flight in self.flights.get(request, ()):
            if flight.attempt is not None and flight.attempt.outcome is None:
                flight.attempt.outcome = AttemptOutcome.ABANDONED
                flight.connection.close()
                self.counts["attempts abandoned"] += 1

    async def send(self, request, endpoint, outgoing):
        """The AttemptResult. What the policy refuses once the connection stands is not sent."""
        flight = InFlight(request, endpoint)
        self.flights.setdefault(request, []).append(flight)
        endpoint.attempt_started(self.clock())
        try:
            if not await self._exchange(flight, outgoing):
                return NOTHING_SENT
            if isinstance(flight.reply, Reply) and flight.reply.surplus:
                return self._continue(flight)
            return self._conclude(flight)
        finally:
            if not flight.continued:
                self._end(flight)

    async def _exchange(self, flight, outgoing):
        """Whether anything was sent. A kept connection that ended while it rested has no part in the attempt:
        the endpoint has not heard of it."""
        request, endpoint = flight.request, flight.endpoint
        while await self._connect(flight):
            now = self.clock()
            if not request.route.safe:  # it couldn't be taken back
                request.departure.check(now)
            if self.policy.rejection(now, request, endpoint, True) is not None:
                return False  # what changed while the connection came up counts
            self.on_attempt(request)
            flight.attempt = self.policy.record_attempt(now, request, endpoint)
            flight.sent_at, rested_s = now, now - flight.connection.idle_since
            flight.reply = await flight.connection.exchange(
                outgoing.method,
                outgoing.target,
                outgoing.headers_for(endpoint, request.deadline - now),
                outgoing.body,
                request.deadline + LATE_ANSWER_S,
                expected=(b"x-try-id", request.try_id),
            )
            if not (flight.reused and isinstance(flight.reply, ExchangeFailed)):
                return True
            if flight.reply.sent:
                if not flight.reply.timed_out:
                    self.pool.broke_off(endpoint, rested_s, self.clock() - now)
                return True
            self.policy.withdraw_attempt(request, flight.attempt)
            flight.attempt = flight.reply = None
        return False

    async def _connect(self, flight):
        """Whether a connection is there."""
        flight.connection, flight.reused = self.pool.take_idle(flight.endpoint), True
        if flight.connection is None:
            until = connect_deadline(self.clock(), flight.request)
            flight.connection, flight.reused = await self.pool.open(flight.endpoint, until), False
        if flight.connection is None:
            flight.endpoint.eject(self.clock())
            flight.request.unreachable.append(flight.endpoint)
            return False
        return True

    def _continue(self, flight):
        """Another request's answer came first. The endpoint has this one, so its own may follow."""
        flight.continued = True
        self.counts["surplus answers"] += 1
        flight.endpoint.eject(self.clock())
        return AttemptResult(None, None, self._hold(self._read_on(flight)))

    async def _read_on(self, flight):
        """The AttemptResult of what follows surplus answers."""
        until = flight.request.deadline + LATE_ANSWER_S
        try:
            while isinstance(flight.reply, Reply) and flight.reply.surplus:
                flight.reply = await flight.connection.read_on(until)
            result = self._conclude(flight)
            self.counts["answers after a surplus one"] += result.outcome in OWN_ANSWERS
            return result
        finally:
            self._end(flight)

    def _conclude(self, flight):
        """The AttemptResult of an attempt's last answer, or of its lack."""
        now = self.clock()
        if flight.attempt.outcome is AttemptOutcome.ABANDONED:
            self.endpoints.record_abandoned(now, flight.endpoint, now - flight.sent_at)
            return AttemptResult(AttemptOutcome.ABANDONED)
        flight.attempt.outcome = outcome = self._outcome(flight, now)
        self.stage.ended(now, flight.request, flight.endpoint, outcome, now - flight.sent_at)
        if outcome is AttemptOutcome.INVALID:  # what belongs to this request may still come: it ends there
            flight.connection.close()
        if flight.request.finished and isinstance(flight.reply, Reply) and flight.reply.remainder is not None:
            flight.reply.remainder.abandon()  # another attempt's answer was taken
        return AttemptResult(outcome, flight.reply)

    def _outcome(self, flight, now):
        """What an attempt's last answer, or its lack, means, also for the endpoint."""
        reply, endpoint = flight.reply, flight.endpoint
        if isinstance(reply, ExchangeFailed):
            if not reply.timed_out:
                endpoint.eject(now)
            return AttemptOutcome.NO_ANSWER if reply.sent else AttemptOutcome.NOT_RUN
        outcome = classify_response(reply.status, reply.fields, flight.request.try_id)
        note_load(now, endpoint, reply.fields.get(b"x-load"))
        if outcome in USUAL_OUTCOMES:
            self.endpoints.record_latency(now, endpoint, now - flight.sent_at)
        else:
            endpoint.eject(now)
        return outcome

    def _end(self, flight):
        """An attempt is over, however it ended."""
        reply, connection = flight.reply, flight.connection
        self._forget(flight)
        self._count_abandoned_work(flight)
        if flight.attempt is not None and flight.attempt.outcome is None:
            flight.attempt.outcome = AttemptOutcome.NO_ANSWER
        answered = isinstance(reply, Reply)
        flight.endpoint.attempt_ended(self.clock(), answered)
        if connection is not None and not (answered and reply.remainder is not None):
            self.pool.release(flight.endpoint, connection)

    def _forget(self, flight):
        flights = self.flights[flight.request]
        flights.remove(flight)
        if not flights:
            del self.flights[flight.request]
            self.on_idle(flight.request)

    def _count_abandoned_work(self, flight):
        """How long an endpoint had an attempt after its client had left."""
        left_at = flight.request.departure.left_at
        if left_at is None or flight.attempt is None:
            return
        kind = flight.request.route.kind
        self.counts[f"{kind} attempts ended after their client"] += 1
        self.counts[f"{kind} ms after their client"] += int(1000 * (self.clock() - left_at))

    def stage_of(self, request):
        """The RequestStage that a request has reached."""
        if any(flight.attempt is not None for flight in self.flights.get(request, ())):
            return RequestStage.AT_ENDPOINT
        return RequestStage.ATTEMPTED if request.attempts else RequestStage.WAITING


def note_load(now, endpoint, told):
    """Takes what an answer tells of its endpoint's load: running and waiting requests, and slots."""
    if told is None:
        return
    try:
        running, waiting, slots = (int(part) for part in told.split(b","))
    except ValueError:
        return
    endpoint.slots = max(1, slots)
    endpoint.record_load(now, running - 1 if running else 0, waiting)
