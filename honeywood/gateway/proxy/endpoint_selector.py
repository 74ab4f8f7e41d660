"""Selects the endpoint of a request's next attempt."""

from __future__ import annotations

from honeywood.gateway.routing.load_balancer import choose_endpoint

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Callable, Sequence
    from random import Random
    from typing import Protocol

    from honeywood.gateway.routing.attempt_policy import AttemptPolicy
    from honeywood.gateway.routing.endpoint import Endpoint
    from honeywood.gateway.routing.endpoint_table import EndpointTable
    from honeywood.gateway.routing.pending_request import PendingRequest

    class EndpointGrouping(Protocol):
        """The part of the rollout traffic policy that orders endpoints by their versions."""

        def preference_groups(
            self, now: float, request: PendingRequest, endpoints: Sequence[Endpoint]
        ) -> Sequence[Sequence[Endpoint]]:
            """Returns the permitted endpoints in groups, the preferred group first."""


class EndpointSelector:
    """Combines the rollout's preference groups, the attempt policy and the load balancer."""

    def __init__(
        self,
        clock: Callable[[], float],
        random: Random,
        zone: str,
        endpoints: EndpointTable,
        policy: AttemptPolicy,
        grouping: EndpointGrouping,
    ) -> None:
        """Builds the selector; `zone` is the zone of this proxy."""
        self.clock = clock
        self.random = random
        self.zone = zone
        self.endpoints = endpoints
        self.policy = policy
        self.grouping = grouping

    def select(self, request: PendingRequest) -> Endpoint | None:
        """Returns the endpoint for an attempt that starts now, or None if no endpoint is eligible."""
        now, service = self.clock(), request.service
        typical_s = self.endpoints.typical_latency(service)
        for group in self.grouping.preference_groups(now, request, self.endpoints.of(service)):
            eligible = self.policy.eligible(now, request, group)
            attempted = request.attempted_endpoints
            endpoint = choose_endpoint(now, eligible, self.zone, attempted, typical_s, self.random)
            if endpoint is not None:
                return endpoint
        return None
