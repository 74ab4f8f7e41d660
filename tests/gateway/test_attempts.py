"""The gate: what may be sent where, and what an answer means; and which machine is asked."""

import random

from timeline import machine
from ward import each, test

from honeywood.gateway.configuration.config import Config, Limits, Route
from honeywood.gateway.rollout.stage import Stage
from honeywood.gateway.routing.attempt_policy import AttemptPolicy
from honeywood.gateway.routing.pending_request import Attempt, PendingRequest, connect_deadline
from honeywood.gateway.routing.load_balancer import choose_endpoint
from honeywood.gateway.routing.retry_budget import RetryBudget
from honeywood.gateway.routing.endpoint_record import EndpointRecord
from honeywood.gateway.routing.endpoint_table import EndpointTable
from honeywood.gateway.routing.outcomes import AttemptOutcome, classify_response, may_relay
from honeywood.gateway.routing.route_table import RouteTable, choose_service


def route(kind="safe", tries=2, prefix="/p/"):
    return Route("r", "h.example", prefix, kind, 0.6, 0.25, 0, tries, (("s", 1.0),))


class Scene:
    """A front's rules with machines m n o ready, and a budget of `slack`."""

    def __init__(self, slack=64.0):
        self.endpoints = EndpointTable()
        self.stage = Stage(self.endpoints, 0.1, 50, lambda: 1)
        self.budget = RetryBudget(0.2, slack, 10.0)
        self.policy = AttemptPolicy(lambda svc: self.budget, lambda: 4, self.stage, {"s": 9})
        for id in "mno":
            self.note(id, "ready")

    def note(self, id, state, ver="v1", now=0.0):
        return self.endpoints.update(now, id, EndpointRecord.decode(machine(id, ver, state=state)))

    def bar(self, ask, id, now=0.1):
        return self.policy.rejection(
            now, ask, self.endpoints.by_id[id] if id in self.endpoints.by_id else self.gone[id]
        )


def ask(kind="safe", *sends, tries=2, until=0.6):
    attempts = [Attempt(endpoint, outcome and AttemptOutcome(outcome)) for endpoint, outcome in sends]
    return PendingRequest(route(kind, tries), "s", b"id", 0.0, until, attempts)


@test("after a send that {meaning}, an {kind} request may go on: {goes}")
def _(
    kind=each("unsafe", "unsafe", "unsafe", "unsafe", "unsafe", "safe", "safe", "safe"),
    meaning=each("not run", "no answer", "invalid", "failure", None, "no answer", "failure", "success"),
    goes=each(True, False, False, False, False, True, True, False),
):
    # TWICE: whatever may have run is not sent again, be it cut, garbled, failed, or still out.
    scene = Scene()
    one = ask(kind, (scene.endpoints.by_id["m"], meaning))
    assert (scene.bar(one, "n") is None) == goes


@test("a machine that drains, has left or is lost gets nothing, also what waited for its connection")
def _():
    scene = Scene()
    one, machine = ask(), scene.endpoints.by_id["m"]
    assert scene.policy.rejection(0.1, one, machine) is None
    for state in ("draining", "gone"):
        scene.note("m", state)
        assert scene.policy.rejection(0.1, one, machine) == "state"


@test("a machine whose run of it failed is not asked again, another is; one that was busy may be")
def _():
    # Seen on a calm day: after two machines' 500 the same two were asked again, four sends for the same end.
    scene = Scene()
    machines = scene.endpoints.by_id
    one = ask("safe", (machines["m"], "failure"), (machines["n"], "not run"))
    assert [scene.bar(one, id) for id in "mno"] == ["failed there", None, "tries"]


@test("a front opens its part of a machine's connections and no more; one that stands may be used")
def _():
    # Seen on standard days: machines reset up to 383 connections over their cap.
    scene = Scene()  # four fronts share nine connections
    machine = scene.endpoints.by_id["m"]
    machine.opening_connections, told = 1, [scene.bar(ask(), "m")]
    machine.connection_changed(1)
    told += [scene.bar(ask(), "m"), scene.policy.rejection(0.1, ask(), machine, True)]
    machine.idle_connections.append("idle")
    told.append(scene.bar(ask(), "m"))
    machine.idle_connections.clear()
    machine.connection_changed(-1)
    assert [*told, scene.bar(ask(), "m")] == [None, "connections", None, None, None]


@test("tries, deadline and budget bar a further send, each by its name")
def _():
    scene = Scene()
    machines = scene.endpoints.by_id
    assert scene.bar(ask("safe", (machines["m"], "no answer"), (machines["n"], "no answer")), "o") == "tries"
    assert scene.bar(ask(), "m", now=0.5999) == "deadline"
    poor = Scene(slack=0.0)
    assert poor.bar(ask("safe", (poor.endpoints.by_id["m"], "not run")), "n") == "budget"


@test("with under a tenth of its aim left nothing is begun: a machine could not serve it")
def _():
    # A send with so little left counts as no offer, and its 504 costs more than a refusal at once.
    told = [Scene().bar(ask(until=0.6), "m", now=0.6 - left) for left in (0.026, 0.024)]
    assert told == [None, "deadline"]  # the route's aim is 0.25 s


@test("{past} of its aim after it came, {sends} sends, {unreached} machines out of reach: {barred}")
def _(
    past=each(0.2, 0.3, 0.3, 0.3),
    sends=each(0, 0, 0, 1),
    unreached=each(1, 1, 0, 1),
    barred=each(None, "out of reach", None, None),
):
    scene = Scene()
    one = ask("safe", *[(scene.endpoints.by_id["m"], "no answer")] * sends)
    one.unreachable += [scene.endpoints.by_id["n"]] * unreached
    assert scene.bar(one, "o", now=past * 0.25) == barred


@test("a connection for a request that came {ago} s ago, {sends} sends, may take {within} s")
def _(ago=each(0.0, 0.03, 1.0, 0.0), sends=each(0, 0, 0, 1), within=each(0.0625, 0.05, 0.05, 0.6)):
    one = ask("safe", *[("m", "no answer")] * sends, until=0.6 + ago)
    assert abs(connect_deadline(ago, one) - ago - within) < 1e-9


@test("budgets of twelve fronts add up to less than the whole, whoever retries")
def _():
    draw, total, spent = random.Random(1), 0, 0
    budgets = [RetryBudget(0.2, 64, 10.0) for _ in range(12)]
    for at in range(6000):
        budget = budgets[int(12 * draw.random() ** 3)]
        budget.record_request(at / 600)
        total += 1
        while budget.allows(at / 600, 12):
            budget.record_retry(at / 600)
            spent += 1
    assert 0.1 * total < spent <= 0.2 * total + 64


ID = {b"x-try-id": b"id"}
SEALED = {**ID, b"x-seal": b"s"}


@test("an answer of status {status} with {fields} means {meaning}")
def _(
    status=each(200, 200, 200, 200, 500, 503, 503, 421, 429, 503, 421, 503),
    fields=each(
        SEALED,
        {b"x-try-id": b"other", b"x-seal": b"s"},
        {b"x-try-id": b"id"},
        {**SEALED, b"content-encoding": b"gzip"},
        SEALED,
        {**ID, b"x-not-run": b"1"},
        SEALED,
        {**ID, b"x-instance": b"i"},
        {**ID, b"x-not-run": b"1"},
        {b"x-try-id": b"other", b"x-not-run": b"1"},
        {b"x-try-id": b"other", b"x-instance": b"i"},
        {b"x-not-run": b"1"},
    ),
    meaning=each(
        "success",
        *["invalid"] * 3,
        "failure",
        "not run",
        "failure",
        "not run",
        "not run",
        *["invalid"] * 3,
    ),
):
    # MIXED: a late surplus answer carries another id; a success without seal is none. TWICE: another's "not
    # run" that comes late, or one that is nobody's, says nothing of this request, which may be at work.
    assert classify_response(status, fields, b"id") == meaning


@test("a machine's 503 that doesn't say it has not run is no promise to the client")
def _():
    passed = [may_relay(status) for status in (500, 504, 404, 503, 429, 421, 408, 600, 999)]
    assert passed == [True] * 3 + [False] * 6  # beyond 599 are no statuses: the connection ended unanswered


@test("the longest prefix of a host wins, whole segments only, whatever the host's case and port")
def _():
    routes = (route(prefix="/a/"), route(prefix="/a/b/"), route(prefix="/"))
    table = RouteTable(Config(1, routes, {}, Limits()))
    found = [table.find(b"H.example:80", path) for path in (b"/a/b/c", b"/a/bc", b"/a", b"/a/%2F/..", b"")]
    assert [one and one.prefix for one in found] == ["/a/b/", "/a/", "/", "/a/", None]
    assert table.find(b"other.example", b"/a/") is None


@test("weights share requests out, and 0 gets none")
def _():
    split = (("s", 90.0), ("t", 0.0), ("u", 10.0))
    drawn = [choose_service(split, n / 1000) for n in range(1000)]
    assert (drawn.count("s"), drawn.count("t"), drawn.count("u")) == (900, 0, 100)


@test("the own zone's machines come first while they have room, others' when they are busy")
def _():
    scene = Scene()
    far = scene.endpoints.by_id["o"]
    far.zone = "far"
    machines, draw = list(scene.endpoints.by_id.values()), random.Random(1)
    assert {choose_endpoint(1.0, machines, "z", [], 1.0, draw).id for _ in range(50)} == {"m", "n"}
    for id in "mn":
        for _ in range(3):
            scene.endpoints.by_id[id].attempt_started(1.0)
    assert choose_endpoint(1.0, machines, "z", [], 1.0, draw) is far


@test("a machine that answers nothing is left alone while others answer")
def _():
    scene = Scene()
    machines, draw = list(scene.endpoints.by_id.values()), random.Random(1)
    scene.endpoints.by_id["m"].attempt_started(1.0)
    assert "m" not in {choose_endpoint(1.4, machines, "z", [], 0.1, draw).id for _ in range(50)}


@test("a request without an id: its machine's refusal without one is its own, any other answer is not")
def _():
    told = [classify_response(400, {b"x-not-run": b"1"}, b""), classify_response(200, {b"x-seal": b"s"}, b"")]
    assert told == ["not run", "invalid"] and classify_response(421, ID, b"") == "invalid"
