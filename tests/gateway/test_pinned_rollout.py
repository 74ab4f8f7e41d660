"""Rollout records, proxies' reports and decisions on them, compared with what revision ae67546 made of them.

The recordings under recorded/ are never edited: they are the form of records that exist. Only the accessors
below follow when a name in the code changes.
"""

import json
from pathlib import Path

from ward import each, test

from honeywood.gateway.configuration.model import RequestKind, Route
from honeywood.gateway.errors import GatewayError
from honeywood.gateway.rollout import comparison, record, report, transitions
from honeywood.gateway.rollout.allowance import ExposureAllowance
from honeywood.gateway.rollout.evaluator import RolloutEvaluator
from honeywood.gateway.rollout.record import RolloutStage, RolloutState
from honeywood.gateway.rollout.report import Vote
from honeywood.gateway.rollout.traffic_policy import RolloutTrafficPolicy
from honeywood.gateway.routing.endpoint_record import EndpointRecord
from honeywood.gateway.routing.endpoint_table import EndpointTable
from honeywood.gateway.routing.outcomes import AttemptOutcome
from honeywood.gateway.routing.pending_request import PendingRequest
from honeywood.gateway.rpc.statuses import status_of

RECORDED = json.loads((Path(__file__).parent / "recorded" / "rollout.json").read_text())


# Accessors: the only place that names what the code is called.


def error_fields(error):
    """An error as [operation, reason, peer, status, text]."""
    return [error.operation, error.reason, error.peer, status_of(error), str(error)]


def result_or_error(function, *given):
    """{"result": value} or {"error": its fields} of a call."""
    try:
        return {"result": function(*given)}
    except GatewayError as error:
        return {"error": error_fields(error)}


def record_again(value):
    """A stored record, decoded and encoded."""
    return record.encode(record.decode(value, "192.0.2.7"))


def report_again(value):
    """A proxy's report, decoded and encoded."""
    return report.encode(report.decode(value, "192.0.2.7"))


def record_after_order(stored, service, version, over_s, since_s, again_s, alone):
    """The stored record after an order."""
    order = service, version, over_s, since_s, again_s, alone
    return transitions.update_stored(stored, lambda held: transitions.start_rollout(held, *order))


def record_after_step(stored, version, revision, since_s, state, stage):
    """The stored record after a controller's step."""
    state, stage = state and RolloutState(state), stage and RolloutStage(stage)
    return transitions.update_stored(
        stored, lambda held: transitions.advance(held, version, revision, since_s, state, stage)
    )


def was_sent_back(stored, version):
    """Whether a stored record says that a version was sent back."""
    return transitions.was_reverted(None if stored is None else record.decode(stored), version)


def p_values(told, service, version):
    """[p, kind, route] of each test on a report's counts."""
    outcome_counts = report.decode(told).outcome_counts
    results = comparison.compare(comparison.pool(outcome_counts, service, version))
    return [[one.p_value, one.kind, one.route] for one in results]


class ControllerView:
    """One controller's looks at one revision of a rollout."""

    def __init__(self, stored):
        self.rollout = record.decode(stored)
        self.evaluator = RolloutEvaluator(self.rollout.revision)

    def look(self, now, elapsed_s, told, votes, left):
        """The change decided as [state, stage, why], or None."""
        outcome_counts = report.decode(told).outcome_counts
        votes = [vote and Vote(vote) for vote in votes]
        change = self.evaluator.evaluate(now, elapsed_s, self.rollout, outcome_counts, votes, left)
        return change and [change.state, change.stage, change.reason]


class ProxyView:
    """One proxy's part in a rollout: three versions of a service at six machines."""

    def __init__(self, proxies):
        self.endpoints = EndpointTable()
        self.stage = RolloutTrafficPolicy(self.endpoints, 0.1, 50, lambda: proxies)
        self.routes = {
            name: Route(name, "shop.example", f"/{name}/", kind, 0.8, 0.3, 0, 2, (("search", 1.0),))
            for name, kind in (("read", RequestKind.SAFE), ("write", RequestKind.UNSAFE))
        }

    def update_endpoint(self, now, id, value):
        """A record of a machine has come."""
        self.endpoints.update(now, id, EndpointRecord.decode(value))

    def update_rollout(self, now, stored):
        """A record of a rollout has come."""
        self.stage.update(now, record.decode(stored))

    def contact(self, now):
        """A controller has answered."""
        self.stage.controller_contact_at = now

    def request(self, now, route):
        """A request that is taken; it stands for the later calls."""
        request = PendingRequest(self.routes[route], "search", b"id", now, now + 0.8)
        self.stage.record_request(request)
        return request

    def groups(self, now, request):
        """The ids of machines in the order in which they are asked."""
        machines = self.endpoints.by_service["search"]
        groups = self.stage.preference_groups(now, request, machines)
        return [[machine.id for machine in group] for group in groups]

    def attempt(self, now, request, id):
        """An attempt of a request begins."""
        self.endpoints.by_id[id].attempt_started(now)
        self.stage.record_attempt(request, self.endpoints.by_id[id])
        request.attempts.append(id)

    def ended(self, now, request, id, outcome, took_s):
        """An attempt of a request has ended."""
        machine = self.endpoints.by_id[id]
        machine.attempt_ended(now, True)
        self.stage.record_outcome(now, request, machine, AttemptOutcome(outcome), took_s)

    def standings(self):
        """What each version is just now."""
        return [self.stage.version_status("search", version) for version in ("v1", "v2", "v3")]

    def allowed(self, now, request):
        """The ids of machines that a request may go to."""
        machines = self.endpoints.by_service["search"]
        return [machine.id for machine in machines if self.stage.allows(now, request, machine)]

    def report(self, now):
        """What controllers get."""
        return report.encode(self.stage.report(now))

    def active(self):
        """Whether a rollout is under way."""
        return self.stage.has_active_rollout


def allowance_room(share, slack, steps):
    """Whether there is room after each step: [now, proxies] of a request taken, or null for an attempt."""
    allowance, found = ExposureAllowance(share, slack, 0.0), []
    for step in steps:
        if step is None:
            allowance.record_attempt()
        else:
            allowance.record_request(*step)
        found.append(allowance.permits_attempt)
    return found


def plain(value):
    """A value as JSON text: whole numbers stay whole, and keys keep their order."""
    return json.dumps(value)


def play(scene):
    """What a proxy says at each step of a scene."""
    proxy, found, request = ProxyView(scene["proxies"]), [], None
    for now, word, *given in scene["steps"]:
        if word == "endpoint":
            proxy.update_endpoint(now, *given)
        elif word == "rollout":
            proxy.update_rollout(now, *given)
        elif word == "contact":
            proxy.contact(now)
        elif word == "requests":
            count, route, outcomes = given
            for number in range(count):
                request = proxy.request(now, route)
                groups = proxy.groups(now, request)
                id = next(id for id in sum(groups, []) if id in proxy.allowed(now, request))
                proxy.attempt(now, request, id)
                version = proxy.endpoints.by_id[id].version
                outcome, took_s = outcomes[version][number % len(outcomes[version])]
                if outcome is not None:
                    proxy.ended(now, request, id, outcome, took_s)
                found.append([groups, id])
        look = [proxy.standings(), proxy.active(), proxy.report(now)]
        if request is not None:
            look.append(proxy.allowed(now, request))
        found.append(look)
    return found


# Tests


def numbered(kind):
    """The numbers of a kind's cases."""
    return each(*range(len(RECORDED[kind])))


@test("stored record {number} is decoded and encoded to the recorded bytes, or refused as recorded")
def _(number=numbered("records")):
    case = RECORDED["records"][number]
    assert plain(result_or_error(record_again, json.loads(case["stored"]))) == plain(case["found"])
    if case["same"]:
        assert plain(record_again(json.loads(case["stored"]))) == case["stored"]


@test("report {number} is decoded and encoded to the recorded bytes, or refused as recorded")
def _(number=numbered("reports")):
    case = RECORDED["reports"][number]
    assert plain(result_or_error(report_again, json.loads(case["told"]))) == plain(case["found"])
    if case["same"]:
        assert plain(report_again(json.loads(case["told"]))) == case["told"]


@test("order {number} leaves the recorded stored record")
def _(number=numbered("orders")):
    case = RECORDED["orders"][number]
    stored = json.loads(case["stored"])
    assert was_sent_back(stored, case["order"][1]) is case["was sent back"]
    assert plain(record_after_order(stored, *case["order"])) == case["stored after"]


@test("step {number} leaves the recorded stored record")
def _(number=numbered("steps")):
    case = RECORDED["steps"][number]
    assert plain(record_after_step(json.loads(case["stored"]), *case["step"])) == case["stored after"]


@test("the tests on report {number} have the recorded p-values")
def _(number=numbered("p-values")):
    case = RECORDED["p-values"][number]
    assert plain(p_values(case["told"], "search", "v2")) == plain(case["found"])


@test("a controller's looks at a rollout decide as recorded: {number}")
def _(number=numbered("decisions")):
    case = RECORDED["decisions"][number]
    view = ControllerView(case["stored"])
    counts = RECORDED["counts"]
    looks = [[now, elapsed_s, counts[at], votes, left] for now, elapsed_s, at, votes, left in case["looks"]]
    assert plain([view.look(*look) for look in looks]) == plain(case["found"])


@test("a proxy's allowance has room as recorded: {number}")
def _(number=numbered("allowances")):
    case = RECORDED["allowances"][number]
    assert allowance_room(*case["given"]) == case["found"]


@test("a proxy in a rollout asks machines, votes and reports as recorded: {number}")
def _(number=numbered("scenes")):
    case = RECORDED["scenes"][number]
    assert [plain(one) for one in play(case)] == [plain(one) for one in case["found"]]
