"""Which attempts the policy permits."""

from routing_fixtures import LATENCY_TARGET_S, TIMEOUT_S, Router, make_request, router
from ward import each, test


@test("after an attempt with outcome {outcome}, an {kind} request may be sent again: {permitted}")
def _(
    router=router,
    kind=each("unsafe", "unsafe", "unsafe", "unsafe", "unsafe", "safe", "safe", "safe"),
    outcome=each("not run", "no answer", "invalid", "failure", None, "no answer", "failure", "success"),
    permitted=each(True, False, False, False, False, True, True, False),
):
    # An unsafe request that may have run is not sent again: no answer, invalid, failed or still in flight.
    request = make_request(kind, (router["m"], outcome))
    assert (router.rejection(request, "n") is None) == permitted


@test("a draining or gone endpoint gets no request, not even one that waited for its connection")
def _(router=router):
    request, endpoint = make_request(), router["m"]
    assert router.policy.rejection(0.1, request, endpoint) is None
    for state in ("draining", "gone"):
        router.update("m", state)
        assert router.policy.rejection(0.1, request, endpoint) == "state"


@test("a request is not retried at an endpoint that failed it, but may be at one that did not run it")
def _(router=router):
    # Without this rule a request was sent twice to each of two endpoints that both answered 500 each time.
    request = make_request("safe", (router["m"], "failure"), (router["n"], "not run"))
    assert [router.rejection(request, id) for id in "mno"] == ["failed there", None, "tries"]


@test("a proxy opens only its share of an endpoint's connections; established ones may always be used")
def _(router=router):
    endpoint = router["m"]  # four proxies share nine connections
    endpoint.opening_connections = 1
    reasons = [router.rejection(make_request(), "m")]
    endpoint.connection_changed(1)
    reasons.append(router.rejection(make_request(), "m"))
    reasons.append(router.policy.rejection(0.1, make_request(), endpoint, connected=True))
    endpoint.idle_connections.append("idle")
    reasons.append(router.rejection(make_request(), "m"))
    endpoint.idle_connections.clear()
    endpoint.connection_changed(-1)
    reasons.append(router.rejection(make_request(), "m"))
    assert reasons == [None, "connections", None, None, None]


@test("maximum attempts, deadline and retry budget are distinct rejection reasons")
def _(router=router):
    request = make_request("safe", (router["m"], "no answer"), (router["n"], "no answer"))
    assert router.rejection(request, "o") == "tries"
    assert router.rejection(make_request(), "m", now=TIMEOUT_S - 0.0001) == "deadline"
    without_budget = Router(slack=0.0)
    request = make_request("safe", (without_budget["m"], "not run"))
    assert without_budget.rejection(request, "n") == "budget"


@test("with {left_s} s to the deadline, a tenth of the latency target being 0.025 s: {reason}")
def _(router=router, left_s=each(0.026, 0.024), reason=each(None, "deadline")):
    # An attempt with less time left can't succeed, and its 504 costs more than an immediate rejection.
    assert router.rejection(make_request(deadline=TIMEOUT_S), "m", now=TIMEOUT_S - left_s) == reason


@test("after {elapsed} of the target, {attempts} attempts, {unreachable} unreachable endpoints: {reason}")
def _(
    router=router,
    elapsed=each(0.2, 0.3, 0.3, 0.3),
    attempts=each(0, 0, 0, 1),
    unreachable=each(1, 1, 0, 1),
    reason=each(None, "out of reach", None, None),
):
    request = make_request("safe", *[(router["m"], "no answer")] * attempts)
    request.unreachable += [router["n"]] * unreachable
    assert router.rejection(request, "o", now=elapsed * LATENCY_TARGET_S) == reason
