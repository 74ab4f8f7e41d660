"""What a request has been through, and the policy on further attempts: every one of them passes here."""

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import StrEnum

from honeywood.gateway.routing.endpoints import READY
from honeywood.gateway.routing.outcomes import AttemptOutcome
from honeywood.gateway.rpc.client_disconnect import ClientDisconnect

DEFAULT_MAX_CONNECTIONS = 8  # that an endpoint is taken to accept while no configuration says more
MAX_UNREACHABLE = 4  # endpoints that may prove out of reach to one request
LEAST_LEFT_S = 0.004  # seconds: with less left nothing is begun
LEAST_PART = 0.1  # of the aim of the route: an attempt with less left offers nothing
REFUSE_BY = 0.25  # of the route's aim in which a request that could be offered nowhere is refused
CONNECT_LEAST_S = 0.05  # seconds that a connection is given however late it is: many round trips


class Refusal(StrEnum):
    """What keeps a request from an endpoint. The texts stand in logs and in X-Gateway."""

    FINISHED = "done"
    CLIENT_GONE = "left"
    NOT_READY = "state"
    UNREACHABLE = "out of reach"
    DEADLINE = "deadline"
    MAY_HAVE_RUN = "may have run"
    FAILED_THERE = "failed there"
    TRIES = "tries"
    BUDGET = "budget"
    CONNECTIONS = "connections"
    ROLLOUT = "stage"


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt at one endpoint; `outcome` is None while the endpoint has it."""

    endpoint: object
    outcome: AttemptOutcome | None = None


@dataclass(slots=True, eq=False)
class PendingRequest:
    """A client's request on its way. Times are seconds on the caller's clock; `deadline` is when its client
    or its route gives up; `priority`, 0 the highest, is its tenant's or else its route's."""

    route: object
    service: str
    try_id: bytes
    received_at: float
    deadline: float
    attempts: list = field(default_factory=list)
    finished: bool = False
    unreachable: list = field(default_factory=list)  # endpoints to which no connection came up
    disconnect: ClientDisconnect = field(default_factory=ClientDisconnect)
    on_disconnect: Callable[[], None] | None = None  # what `disconnect` calls; None: nothing
    priority: int = 0

    @property
    def attempted_endpoints(self):
        """The endpoints of all attempts, one for each."""
        return [attempt.endpoint for attempt in self.attempts]

    @property
    def may_have_run(self):
        """Whether any attempt has not ended with an endpoint's word that it did not run."""
        return any(attempt.outcome is not AttemptOutcome.NOT_RUN for attempt in self.attempts)

    @property
    def succeeded(self):
        """Whether any attempt has."""
        return any(attempt.outcome is AttemptOutcome.SUCCESS for attempt in self.attempts)

    @property
    def refuse_at(self):
        """By when it is refused if it could be offered to no endpoint: its client may go on elsewhere."""
        return self.received_at + REFUSE_BY * self.route.latency_target_s


def connect_by(now, request):
    """By when a connection for `request` must be up."""
    if request.attempts:
        return request.deadline
    return min(request.deadline, max(now + CONNECT_LEAST_S, request.refuse_at))


class AttemptPolicy:
    """Says what keeps a request from an endpoint, and takes note of each attempt."""

    def __init__(self, budget_of, proxies, stage, max_connections):
        """`budget_of` gives a service's RetryBudget, `proxies` how many share it and each endpoint's
        connections, `stage` what versions may get, `max_connections` how many an endpoint of a service
        takes."""
        self.budget_of, self.proxies, self.stage = budget_of, proxies, stage
        self.max_connections = max_connections

    def refusal(self, now, request, endpoint, connected=False):
        """The Refusal of an attempt now, or None; `connected` says that its connection stands."""
        refusal = self.request_refusal(now, request)
        refusal = refusal or self.endpoint_refusal(now, request, endpoint, connected)
        if refusal is None and not self.stage.allows(now, request, endpoint):
            return Refusal.ROLLOUT
        return refusal

    def eligible(self, now, request, endpoints):
        """Those of `endpoints` that nothing keeps the request from."""
        if self.request_refusal(now, request) is not None:
            return []
        fit = [one for one in endpoints if self.endpoint_refusal(now, request, one) is None]
        first = {one.version: one for one in reversed(fit)}
        allowed = {version for version, one in first.items() if self.stage.allows(now, request, one)}
        return [one for one in fit if one.version in allowed]

    def request_refusal(self, now, request):
        """What keeps a request from all endpoints, or None."""
        if request.finished or request.succeeded:
            return Refusal.FINISHED
        if request.disconnect.happened:
            return Refusal.CLIENT_GONE
        if self._is_out_of_reach(now, request):
            return Refusal.UNREACHABLE
        if now > request.deadline - max(LEAST_LEFT_S, LEAST_PART * request.route.latency_target_s):
            return Refusal.DEADLINE
        if not request.attempts:
            return None
        if not request.route.idempotent and request.may_have_run:
            return Refusal.MAY_HAVE_RUN
        if len(request.attempts) >= 2 * request.route.max_attempts:
            return Refusal.TRIES
        return None if self.budget_of(request.service).allows(now, self.proxies()) else Refusal.BUDGET

    def _is_out_of_reach(self, now, request):
        """Whether enough endpoints were tried in vain: to go on until time is up helps nobody."""
        if not request.unreachable:
            return False
        late = not request.attempts and now >= request.refuse_at
        return late or len(request.unreachable) >= MAX_UNREACHABLE

    def endpoint_refusal(self, now, request, endpoint, connected=False):
        """What keeps a request from this endpoint, whatever its version; or None."""
        if endpoint.state != READY or endpoint.service != request.service:
            return Refusal.NOT_READY
        if endpoint in request.unreachable:
            return Refusal.UNREACHABLE
        if request.attempts and (refusal := self._repeat_refusal(request, endpoint)):
            return refusal
        if not (connected or endpoint.idle_connections or self._may_connect(endpoint)):
            return Refusal.CONNECTIONS
        return None

    def _repeat_refusal(self, request, endpoint):
        """What failed at an endpoint mostly does so again; and a route bounds how many are asked."""
        for attempt in request.attempts:
            if attempt.endpoint is endpoint and attempt.outcome is AttemptOutcome.FAILURE:
                return Refusal.FAILED_THERE
        asked = {attempt.endpoint.id for attempt in request.attempts} | {endpoint.id}
        return Refusal.TRIES if len(asked) > request.route.max_attempts else None

    def _may_connect(self, endpoint):
        return endpoint.connections < self.connection_share(endpoint.service)

    def connection_share(self, service):
        """How many connections to one endpoint of `service` are this proxy's."""
        most = self.max_connections.get(service, DEFAULT_MAX_CONNECTIONS)
        return max(1, most // max(1, self.proxies()))

    def record_attempt(self, now, request, endpoint):
        """Takes note of an attempt that nothing keeps from an endpoint; its Attempt."""
        if request.attempts:
            self.budget_of(request.service).record_retry(now)
        self.stage.record_attempt(request, endpoint)
        attempt = Attempt(endpoint)
        request.attempts.append(attempt)
        return attempt

    def withdraw_attempt(self, request, attempt):
        """Nothing of it left after all: its connection had ended."""
        request.attempts.remove(attempt)
