"""The checks that every attempt must pass: deadline, idempotence, retry budget, connections, rollout."""

from __future__ import annotations

from honeywood.gateway.routing.endpoint_state import EndpointState
from honeywood.gateway.routing.outcomes import AttemptOutcome
from honeywood.gateway.routing.pending_request import Attempt, PendingRequest
from honeywood.gateway.routing.rejection import RejectionReason

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Mapping
    from typing import Protocol

    from honeywood.gateway.routing.endpoint import Endpoint
    from honeywood.gateway.routing.retry_budget import RetryBudget
    from honeywood.gateway.rpc.connection import Connection

    class RolloutRules(Protocol):
        """What rollouts permit at this proxy."""

        def allows(self, now: float, request: PendingRequest, endpoint: Endpoint) -> bool:
            """Whether the request may be sent to the endpoint's version."""

        def record_attempt(self, request: PendingRequest, endpoint: Endpoint) -> None:
            """Records that the request is sent to the endpoint."""


DEFAULT_MAX_CONNECTIONS = 8  # per endpoint of a service without a configured limit
MAX_UNREACHABLE_ENDPOINTS = 4  # per request, which is then rejected
MIN_REMAINING_S = 0.004  # seconds before the deadline; no attempt starts with less
# Fraction of the route's latency target; an attempt with less time left before the deadline can't succeed.
MIN_REMAINING_TARGET_FRACTION = 0.1
ATTEMPTS_PER_ENDPOINT = 2  # a request's attempts are limited to this multiple of its route's max_attempts


class AttemptPolicy:
    """Decides whether a request may be sent to an endpoint, and records its attempts."""

    def __init__(
        self,
        retry_budget_of: Callable[[str], RetryBudget],
        proxy_count: Callable[[], int],
        rollout: RolloutRules,
        max_connections: Mapping[str, int],
    ) -> None:
        """Creates the policy of one proxy.

        `retry_budget_of` returns a service's budget. `proxy_count` returns how many proxies share the budgets
        and each endpoint's connections. `max_connections` is how many connections one endpoint of a service
        accepts from all proxies together.
        """
        self.retry_budget_of = retry_budget_of
        self.proxy_count = proxy_count
        self.rollout = rollout
        self.max_connections = max_connections

    def rejection(
        self, now: float, request: PendingRequest, endpoint: Endpoint, connected: bool = False
    ) -> RejectionReason | None:
        """Why an attempt may not start now, or None; `connected` if its connection is already established."""
        reason = self.request_rejection(now, request)
        reason = reason or self.endpoint_rejection(now, request, endpoint, connected)
        if reason is None and not self.rollout.allows(now, request, endpoint):
            return RejectionReason.ROLLOUT
        return reason

    def eligible(self, now: float, request: PendingRequest, endpoints: Iterable[Endpoint]) -> list[Endpoint]:
        """The members of `endpoints` that the request may be sent to."""
        if self.request_rejection(now, request) is not None:
            return []
        accepted = [
            candidate for candidate in endpoints if self.endpoint_rejection(now, request, candidate) is None
        ]
        first_of_version = {candidate.version: candidate for candidate in reversed(accepted)}
        allowed_versions = {
            version
            for version, endpoint in first_of_version.items()
            if self.rollout.allows(now, request, endpoint)
        }
        return [candidate for candidate in accepted if candidate.version in allowed_versions]

    def request_rejection(self, now: float, request: PendingRequest) -> RejectionReason | None:
        """Why a request may not be sent to any endpoint, or None."""
        if request.finished or request.succeeded:
            return RejectionReason.FINISHED
        if request.disconnect.happened:
            return RejectionReason.CLIENT_GONE
        if self._is_unreachable(now, request):
            return RejectionReason.UNREACHABLE
        min_remaining_s = max(MIN_REMAINING_S, MIN_REMAINING_TARGET_FRACTION * request.route.latency_target_s)
        if now > request.deadline - min_remaining_s:
            return RejectionReason.DEADLINE
        return self._retry_rejection(now, request) if request.attempts else None

    def _retry_rejection(self, now: float, request: PendingRequest) -> RejectionReason | None:
        """Why a request that was attempted before may not be sent to any endpoint, or None."""
        if not request.route.idempotent and request.may_have_run:
            return RejectionReason.MAY_HAVE_RUN
        if len(request.attempts) >= ATTEMPTS_PER_ENDPOINT * request.route.max_attempts:
            return RejectionReason.MAX_ATTEMPTS
        budget = self.retry_budget_of(request.service)
        return None if budget.allows(now, self.proxy_count()) else RejectionReason.RETRY_BUDGET

    def _is_unreachable(self, now: float, request: PendingRequest) -> bool:
        """Whether enough connections have failed that trying more would only delay the rejection."""
        if not request.unreachable:
            return False
        overdue = not request.attempts and now >= request.reject_at
        return overdue or len(request.unreachable) >= MAX_UNREACHABLE_ENDPOINTS

    def endpoint_rejection(
        self, now: float, request: PendingRequest, endpoint: Endpoint, connected: bool = False
    ) -> RejectionReason | None:
        """Why a request may not be sent to this endpoint, regardless of its version; or None."""
        if endpoint.state != EndpointState.READY or endpoint.service != request.service:
            return RejectionReason.ENDPOINT_STATE
        if endpoint in request.unreachable:
            return RejectionReason.UNREACHABLE
        if request.attempts and (reason := self._repeat_rejection(request, endpoint)):
            return reason
        if not (connected or endpoint.idle_connections or self._may_connect(endpoint)):
            return RejectionReason.MAX_CONNECTIONS  # an idle one that the request may not use is replaced
        return None

    def _repeat_rejection(self, request: PendingRequest, endpoint: Endpoint) -> RejectionReason | None:
        """Why a request that was attempted before may not be sent to this endpoint, or None.

        A request that failed at an endpoint would mostly fail there again, and its route limits the number of
        endpoints that it may be sent to.
        """
        for attempt in request.attempts:
            if attempt.endpoint is endpoint and attempt.outcome is AttemptOutcome.FAILURE:
                return RejectionReason.FAILED_THERE
        attempted = {attempt.endpoint.id for attempt in request.attempts} | {endpoint.id}
        return RejectionReason.MAX_ATTEMPTS if len(attempted) > request.route.max_attempts else None

    def _may_connect(self, endpoint: Endpoint) -> bool:
        return endpoint.connection_count < self.connection_share(endpoint.service)

    def connection_share(self, service: str) -> int:
        """How many connections to one endpoint of `service` this proxy may have, at least one."""
        limit = self.max_connections.get(service, DEFAULT_MAX_CONNECTIONS)
        return max(1, limit // max(1, self.proxy_count()))

    def record_attempt(
        self, now: float, request: PendingRequest, endpoint: Endpoint, connection: Connection | None = None
    ) -> Attempt:
        """Records the start of an attempt over `connection` that `rejection` has permitted."""
        if request.attempts:
            self.retry_budget_of(request.service).record_retry(now)
        self.rollout.record_attempt(request, endpoint)
        attempt = Attempt(endpoint, connection=connection)
        request.attempts.append(attempt)
        return attempt

    def withdraw_attempt(self, request: PendingRequest, attempt: Attempt) -> None:
        """Removes an attempt of which nothing was sent because its connection had already closed."""
        request.attempts.remove(attempt)
