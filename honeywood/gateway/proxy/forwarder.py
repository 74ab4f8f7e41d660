"""Forwards a request: an attempt, retries and a hedged attempt until there is a final response."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from functools import partial

from honeywood.gateway.proxy.attempt_sender import AttemptSender
from honeywood.gateway.proxy.client_response import BAD_REQUEST, local_response, relayed_response
from honeywood.gateway.proxy.errors import InvalidDeadline
from honeywood.gateway.proxy.failure_responses import RESPONSE_MARGIN_S, FailureResponses
from honeywood.gateway.routing.outcomes import AttemptOutcome
from honeywood.gateway.routing.pending_request import PendingRequest
from honeywood.gateway.routing.route_table import choose_service

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random
    from typing import Protocol

    from honeywood.gateway.configuration.model import Route
    from honeywood.gateway.proxy.attempt_in_flight import AttemptResult
    from honeywood.gateway.proxy.attempt_sender import OutcomeObserver
    from honeywood.gateway.proxy.client_request import ClientRequest, OutgoingRequest
    from honeywood.gateway.proxy.client_response import ClientResponse
    from honeywood.gateway.proxy.connection_pool import ConnectionPool
    from honeywood.gateway.proxy.endpoint_selector import EndpointGrouping, EndpointSelector
    from honeywood.gateway.proxy.request_counters import RequestCounters
    from honeywood.gateway.routing.attempt_policy import AttemptPolicy, RolloutRules
    from honeywood.gateway.routing.endpoint_table import EndpointTable
    from honeywood.gateway.routing.retry_budget import RetryBudget
    from honeywood.gateway.rpc.reply import Reply

    class Rollouts(RolloutRules, EndpointGrouping, OutcomeObserver, Protocol):
        """The part of the rollout traffic policy that the proxy uses."""

        def record_request(self, request: PendingRequest) -> None:
            """Records that a client's request was received."""


HEDGE_AFTER_LATENCIES = 2.0  # typical latencies after which a hedged attempt of an idempotent request starts
MIN_HEDGE_DELAY_S = 0.05


@dataclass(frozen=True, slots=True)
class AttemptWait:
    """How long to wait for the attempts in flight, and whether a hedged attempt may start after that."""

    timeout_s: float
    hedge_after: bool


class Forwarder:
    """Forwards requests to the endpoints of their services."""

    def __init__(
        self,
        clock: Callable[[], float],
        random: Random,
        selector: EndpointSelector,
        endpoints: EndpointTable,
        policy: AttemptPolicy,
        rollouts: Rollouts,
        pool: ConnectionPool,
        retry_budget_of: Callable[[str], RetryBudget],
        counters: RequestCounters,
        on_attempt: Callable[[PendingRequest], None],
    ) -> None:
        """Builds the forwarder; `on_attempt` is called with a request before each of its attempts."""
        self.clock = clock
        self.random = random
        self.selector = selector
        self.endpoints = endpoints
        self.rollouts = rollouts
        self.retry_budget_of = retry_budget_of
        self.counters = counters
        self.open_requests: set[PendingRequest] = set()
        self.failures = FailureResponses(clock, endpoints, policy, counters)
        self.sender = AttemptSender(
            clock, endpoints, policy, rollouts, pool, counters, self._unsubscribe, on_attempt
        )

    async def forward(self, route: Route, client_request: ClientRequest) -> ClientResponse:
        """Returns the response to a client's request on `route`."""
        try:
            client_timeout_s = client_request.client_timeout_s()
        except InvalidDeadline:
            return local_response(BAD_REQUEST, "x-deadline-ms is no number")
        request = self._accept(route, client_request, min(route.timeout_s, client_timeout_s))
        self.open_requests.add(request)
        request.on_disconnect = partial(self._on_disconnect, request)
        request.disconnect.subscribe(request.on_disconnect)
        try:
            response = await self._attempt_until_answered(request, client_request.outgoing())
        finally:
            request.finished = True
            self.open_requests.discard(request)
            self._unsubscribe(request)
        self.counters.request_finished(request, response.status, self.clock())
        return response

    def _accept(self, route: Route, client_request: ClientRequest, timeout_s: float) -> PendingRequest:
        """Returns the PendingRequest, and counts it for the retry budget and for rollouts."""
        now, received_at = self.clock(), client_request.received_at
        received_at = now if received_at is None else received_at
        service = choose_service(route.split, self.random.random())
        request = PendingRequest(
            route,
            service,
            client_request.try_id,
            received_at,
            received_at + timeout_s,
            disconnect=client_request.disconnect,
            priority=client_request.admission.priority(route.priority),
        )
        self.retry_budget_of(service).record_request(now)
        self.rollouts.record_request(request)
        return request

    def _on_disconnect(self, request: PendingRequest) -> None:
        """Handles the disconnect of a request's client: ends the attempts of an idempotent request.

        These include a hedged attempt that is still in flight after the response of another attempt was
        relayed. The attempt of a non-idempotent request continues, because the client may rely on that.
        """
        if not request.finished:
            self.counters.client_left(request, self.sender.progress_of(request))
        if request.route.idempotent:
            self.sender.abandon(request)

    def _unsubscribe(self, request: PendingRequest) -> None:
        """Ignores the client's disconnect from now on if the request is finished and nothing is in flight."""
        if request.finished and request not in self.sender.in_flight and request.on_disconnect is not None:
            request.disconnect.unsubscribe(request.on_disconnect)

    async def _attempt_until_answered(
        self, request: PendingRequest, outgoing: OutgoingRequest
    ) -> ClientResponse:
        """Returns the response of the first attempt that succeeds, or a failure response.

        Attempts are made one after the other. An idempotent request may also have a hedged attempt while a
        slow one is in flight.
        """
        failure: Reply | None = None
        running: set[asyncio.Task[AttemptResult]] = set()
        while True:
            endpoint = self.selector.select(request)
            if endpoint is not None:
                running.add(self.sender.start(request, endpoint, outgoing))
            if not running:
                return self.failures.no_endpoint(request, failure)
            wait = self._next_wait(request, len(running))
            done, running = await asyncio.wait(
                running, timeout=wait.timeout_s, return_when=asyncio.FIRST_COMPLETED
            )
            for task in done:
                result = task.result()
                if result.continuation is not None:  # an idempotent request may be retried meanwhile
                    running.add(result.continuation)
                elif result.reply is not None and is_final(request, result.outcome):
                    return relayed_response(result.reply)
                elif result.outcome is AttemptOutcome.FAILURE:
                    failure = result.reply
            if not done and (not wait.hedge_after or self.failures.is_due(request)):
                return self.failures.timed_out(request)

    def _next_wait(self, request: PendingRequest, running: int) -> AttemptWait:
        """Returns how to wait while `running` attempts are in flight."""
        now, wait_until = self.clock(), request.deadline - RESPONSE_MARGIN_S
        typical_s = self.endpoints.typical_latency(request.service)
        hedge_delay_s = max(MIN_HEDGE_DELAY_S, HEDGE_AFTER_LATENCIES * typical_s)
        may_hedge = request.route.idempotent and running == 1 and request.route.max_attempts > 1
        if may_hedge and now + hedge_delay_s < wait_until:
            return AttemptWait(hedge_delay_s, hedge_after=True)
        return AttemptWait(max(0.0, wait_until - now), hedge_after=False)


def is_final(request: PendingRequest, outcome: AttemptOutcome | None) -> bool:
    """Returns whether a response is final: a success, or a failure of a request that isn't retried."""
    if outcome is AttemptOutcome.SUCCESS:
        return True
    return outcome is AttemptOutcome.FAILURE and not request.route.idempotent
