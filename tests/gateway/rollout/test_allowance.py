"""The bound on a version's exposure, summed over all proxies."""

import random
from dataclasses import replace

from rollout_fleet import Fleet, no_fault
from ward import each, test

from honeywood.gateway.rollout import transitions
from honeywood.gateway.rollout.record import RolloutStage, RolloutState
from honeywood.gateway.rollout.traffic_policy import RolloutTrafficPolicy
from honeywood.gateway.routing.pending_request import PendingRequest

ACTIVE, DONE, REVERTED = RolloutState.ACTIVE, RolloutState.DONE, RolloutState.REVERTED
TRIAL, WIDE, FULL = RolloutStage.TRIAL, RolloutStage.WIDE, RolloutStage.FULL


@test("in the stage {rollout_stage} all proxies together stay within share and slack, even if they restart")
def _(rollout_stage=each(TRIAL, WIDE)):
    # Credits that routes had earned before an order must not count for it: 24 proxies with 20 routes each
    # spent 480 attempts of them.
    rng, total_attempts = random.Random(1), 0
    for proxies, routes, requests_per_proxy in ((24, 20, 10), (4, 1, 30), (12, 3, 200)):
        fleet = Fleet(no_fault, 1, proxy_count=proxies, route_count=routes)
        attempts = requests = 0

        for _, policy in fleet.proxies:  # before the order, each route earns as much credit as it can
            for route in fleet.routes * 40:
                policy.record_request(PendingRequest(route, "s", b"i", 0.0, 9.0))
        ordered = transitions.start_rollout(
            transitions.advance(fleet.record, "v2", 1, state=REVERTED), "s", "v2", 9.0, 9.0
        )
        rollout = replace(ordered, stage=rollout_stage)
        for _, policy in fleet.proxies:
            policy.update(0.0, rollout)
        for turn in range(requests_per_proxy * proxies):
            n = turn % proxies
            endpoints, policy = fleet.proxies[n]
            if rng.random() < 0.02:  # the proxy is killed and restarts, or returns from a network partition
                policy = RolloutTrafficPolicy(endpoints, 0.1, 50, lambda: 1)
                policy.controller_contact_at = -9.0
                policy.update(0.0, rollout)
                policy.controller_contact_at = 0.0
                fleet.proxies[n] = endpoints, policy
            _, endpoint = fleet.forward(0.0, endpoints, policy, rng.choice(fleet.routes))
            attempts, requests = attempts + (endpoint.version == "v2"), requests + 1
        assert attempts <= 0.1 * requests + 50, (proxies, attempts, requests)
        total_attempts += attempts
    assert total_attempts
