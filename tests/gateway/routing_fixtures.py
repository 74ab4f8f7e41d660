"""Routes, requests and endpoints for routing tests."""

from timeline import machine
from ward import fixture

from honeywood.gateway.configuration.model import RequestKind, Route, WeightedService
from honeywood.gateway.rollout.traffic_policy import RolloutTrafficPolicy
from honeywood.gateway.routing.attempt_policy import AttemptPolicy
from honeywood.gateway.routing.endpoint import Endpoint
from honeywood.gateway.routing.endpoint_record import EndpointRecord
from honeywood.gateway.routing.endpoint_table import EndpointTable
from honeywood.gateway.routing.outcomes import AttemptOutcome
from honeywood.gateway.routing.pending_request import Attempt, PendingRequest
from honeywood.gateway.routing.rejection import RejectionReason
from honeywood.gateway.routing.retry_budget import RetryBudget

PROXIES = 4  # sharing the retry budget and each endpoint's connections
MAX_CONNECTIONS = 9  # to one endpoint, from all proxies together
TIMEOUT_S, LATENCY_TARGET_S = 0.6, 0.25  # of each route


def make_route(kind: str = "safe", max_attempts: int = 2, prefix: str = "/p/") -> Route:
    """A route to the service `s`."""
    split = (WeightedService("s", 1.0),)
    kind = RequestKind(kind)
    return Route("r", "h.example", prefix, kind, TIMEOUT_S, LATENCY_TARGET_S, 0, max_attempts, split)


def make_request(
    kind: str = "safe",
    *attempts: tuple[Endpoint, str | None],
    max_attempts: int = 2,
    deadline: float = TIMEOUT_S,
) -> PendingRequest:
    """A request received at time 0; `attempts` are pairs of endpoint and outcome (None: in flight)."""
    made_attempts = [Attempt(endpoint, outcome and AttemptOutcome(outcome)) for endpoint, outcome in attempts]
    return PendingRequest(make_route(kind, max_attempts), "s", b"id", 0.0, deadline, made_attempts)


class Router:
    """A proxy's attempt policy with the ready endpoints m, n and o, and a retry budget of `slack`."""

    def __init__(self, slack: float = 64.0) -> None:
        self.endpoints = EndpointTable()
        self.rollout_policy = RolloutTrafficPolicy(self.endpoints, 0.1, 50, lambda: 1)
        self.budget = RetryBudget(0.2, slack, 10.0)
        self.policy = AttemptPolicy(
            lambda service: self.budget, lambda: PROXIES, self.rollout_policy, {"s": MAX_CONNECTIONS}
        )
        for id in "mno":
            self.update(id, "ready")

    def __getitem__(self, id: str) -> Endpoint:
        """The endpoint `id`."""
        return self.endpoints.by_id[id]

    def update(self, id: str, state: str) -> Endpoint | None:
        """Applies a record of a machine in `state`; returns what `EndpointTable.update` returns."""
        return self.endpoints.update(0.0, id, EndpointRecord.decode(machine(id, state=state)))

    def rejection(self, request: PendingRequest, id: str, now: float = 0.1) -> RejectionReason | None:
        """Why the request may not be sent to the endpoint `id`, or None."""
        return self.policy.rejection(now, request, self[id])


@fixture
def router() -> Router:
    """A Router with a large retry budget."""
    return Router()
