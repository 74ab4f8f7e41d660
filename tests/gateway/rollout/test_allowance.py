"""The bound on a version's exposure, summed over all proxies."""

import random
from dataclasses import replace

from rollout_fleet import Fleet, good
from ward import each, test

from honeywood.gateway.rollout import transitions
from honeywood.gateway.rollout.record import RolloutStage, RolloutState
from honeywood.gateway.rollout.traffic_policy import RolloutTrafficPolicy
from honeywood.gateway.routing.pending_request import PendingRequest

ACTIVE, DONE, REVERTED = RolloutState.ACTIVE, RolloutState.DONE, RolloutState.REVERTED
TRIAL, WIDE, FULL = RolloutStage.TRIAL, RolloutStage.WIDE, RolloutStage.FULL


@test(
    "all proxies together stay within share and slack, whichever stage each follows for how long: {stage_now}"
)
def _(stage_now=each(TRIAL, WIDE)):
    # Attempts that classes had banked before the order were spent by it: 24 fronts with 20 classes spent 480.
    draw, tried = random.Random(1), 0
    for fronts, classes, per_front in ((24, 20, 10), (4, 1, 30), (12, 3, 200)):
        fleet = Fleet(good, 1, fronts=fronts, classes=classes)
        attempts = requests = 0

        for _, stage in fleet.fronts:  # a service's classes have earned what they may before the order
            for route in fleet.routes * 40:
                stage.record_request(PendingRequest(route, "s", b"i", 0.0, 9.0))
        ordered = transitions.start_rollout(
            transitions.advance(fleet.record, "v2", 1, state=REVERTED), "s", "v2", 9.0, 9.0
        )
        held = replace(ordered, stage=stage_now)
        for _, stage in fleet.fronts:
            stage.update(0.0, held)
        for turn in range(per_front * fronts):
            n = turn % fronts
            endpoints, stage = fleet.fronts[n]
            if draw.random() < 0.02:  # a front dies and starts anew, or comes back from a cut
                stage = RolloutTrafficPolicy(endpoints, 0.1, 50, lambda: 1)
                stage.controller_contact_at = -9.0
                stage.update(0.0, held)
                stage.controller_contact_at = 0.0
                fleet.fronts[n] = endpoints, stage
            _, taken = fleet.passed_on(0.0, endpoints, stage, draw.choice(fleet.routes))
            attempts, requests = attempts + (taken.version == "v2"), requests + 1
        assert attempts <= 0.1 * requests + 50, (fronts, attempts, requests)
        tried += attempts
    assert tried
