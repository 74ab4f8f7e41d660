"""Which endpoint is chosen for a request."""

import random

from routing_fixtures import router
from ward import test

from honeywood.gateway.routing.load_balancer import choose_endpoint

DRAWS = 50


@test("endpoints of the local zone are preferred while they have capacity, others when they are busy")
def _(router=router):
    remote = router["o"]
    remote.zone = "far"
    endpoints, draw = list(router.endpoints.by_id.values()), random.Random(1)
    chosen = {choose_endpoint(1.0, endpoints, "z", [], 1.0, draw).id for _ in range(DRAWS)}
    assert chosen == {"m", "n"}
    for id in "mn":
        for _ in range(3):
            router[id].attempt_started(1.0)
    assert choose_endpoint(1.0, endpoints, "z", [], 1.0, draw) is remote


@test("an unresponsive endpoint gets no further request while others are responsive")
def _(router=router):
    endpoints, draw = list(router.endpoints.by_id.values()), random.Random(1)
    router["m"].attempt_started(1.0)
    chosen = {choose_endpoint(1.4, endpoints, "z", [], 0.1, draw).id for _ in range(DRAWS)}
    assert "m" not in chosen
