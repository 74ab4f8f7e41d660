"""How long a request may wait for a connection."""

from routing_fixtures import TIMEOUT_S, make_request
from ward import each, test

from honeywood.gateway.routing.pending_request import connect_deadline


@test("a connection for a request that came {elapsed_s} s ago, {attempts} attempts, may take {within_s} s")
def _(
    elapsed_s=each(0.0, 0.03, 1.0, 0.0),
    attempts=each(0, 0, 0, 1),
    within_s=each(0.0625, 0.05, 0.05, 0.6),
):
    request = make_request("safe", *[("m", "no answer")] * attempts, deadline=TIMEOUT_S + elapsed_s)
    assert abs(connect_deadline(elapsed_s, request) - elapsed_s - within_s) < 1e-9
