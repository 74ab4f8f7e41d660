"""How long a request may wait for a connection to be established."""

from routing_fixtures import TIMEOUT_S, make_request
from ward import each, test

from honeywood.gateway.routing.pending_request import connect_deadline


@test("{elapsed_s} s after its arrival and {attempts} attempts, a request waits {within_s} s to connect")
def _(
    elapsed_s=each(0.0, 0.03, 1.0, 0.0),
    attempts=each(0, 0, 0, 1),
    within_s=each(0.0625, 0.05, 0.05, 0.6),
):
    request = make_request("safe", *[("m", "no answer")] * attempts, deadline=TIMEOUT_S + elapsed_s)
    assert abs(connect_deadline(elapsed_s, request) - elapsed_s - within_s) < 1e-9
