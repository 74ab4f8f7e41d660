"""A fleet of proxies that roll a version out by the real rules, with drawn outcomes and no network."""

import random

from timeline import machine

from honeywood.gateway.configuration.model import RequestKind, Route
from honeywood.gateway.rollout import transitions
from honeywood.gateway.rollout.evaluator import RolloutEvaluator
from honeywood.gateway.rollout.record import RolloutState
from honeywood.gateway.rollout.report import OutcomeCounts
from honeywood.gateway.rollout.traffic_policy import RolloutTrafficPolicy
from honeywood.gateway.routing.endpoint_record import EndpointRecord
from honeywood.gateway.routing.endpoint_table import EndpointTable
from honeywood.gateway.routing.outcomes import AttemptOutcome
from honeywood.gateway.routing.pending_request import PendingRequest

SUCCESS, FAILURE = AttemptOutcome.SUCCESS, AttemptOutcome.FAILURE


class Fleet:
    """Fronts that share a service's requests, with the real rules; news take `lag` seconds."""

    def __init__(
        self, bad, seed, fronts=12, per_s=400.0, classes=1, lag=0.4, paces=(1.0,), over_s=14.0, warm_s=-5.0
    ):
        self.over_s, self.paces = over_s, paces  # times of machines beside each other, in turn
        self.draw, self.bad, self.rate, self.lag = random.Random(seed), bad, per_s, lag
        self.routes = [
            Route(f"r{n}", "h", f"/{n}/", RequestKind.SAFE, 0.6, 0.25, 0, 2, (("s", 1.0),))
            for n in range(classes)
        ]
        self.fronts = []
        for _ in range(fronts):
            endpoints = EndpointTable()
            for id, ver in (("m", "v1"), *((f"n{n}", "v2") for n in range(8))):
                known_at, value = warm_s if ver == "v2" else -5.0, machine(id, ver, slots=6)
                endpoints.update(known_at, id, EndpointRecord.decode(value))
            self.fronts.append((endpoints, RolloutTrafficPolicy(endpoints, 0.1, 50, lambda: fronts)))
        self.record = transitions.start_rollout(None, "s", "v2", over_s, 0.0)
        for _, stage in self.fronts:
            stage.update(0.0, self.record)
        self.trial = self.total = self.bads = 0
        self.fiftieth = self.last_trial = self.end = None
        self.loads = {}  # when what is at each machine on trial ends

    @staticmethod
    def passed_on(now, endpoints, stage, route):
        """A request that a front takes, and the machine that it goes to."""
        ask = PendingRequest(route, "s", b"i", now, now + 0.6)
        stage.record_request(ask)
        groups = stage.preference_groups(now, ask, endpoints.by_service["s"])
        machine = next(m for group in groups for m in group if stage.allows(now, ask, m))
        stage.record_attempt(ask, machine)
        return ask, machine

    def one(self, now):
        """One request at one front."""
        endpoints, stage = self.draw.choice(self.fronts)
        ask, machine = self.passed_on(now, endpoints, stage, self.draw.choice(self.routes))
        route, self.total = ask.route, self.total + 1
        failed, took = self.draw.random() < 0.003, 0.06 * self.draw.lognormvariate(0, 0.5)
        if machine.version == "v2":
            took *= self.paces[int(machine.id[1:]) % len(self.paces)]
            load = self.loads.setdefault(machine.id, [])
            load[:] = [end for end in load if end > now]
            failed, took = self.bad(self.draw, now, route, failed, took, len(load))
            load.append(now + took)
            self.trial, self.last_trial = self.trial + 1, now
            self.bads += failed or took > 0.25
            if self.bads >= 50 and self.fiftieth is None:
                self.fiftieth = now
        elif len(self.paces) > 1:
            took *= self.draw.choice(self.paces)
        if took > 0.6:
            failed, took = True, 0.6
        stage.record_outcome(now, ask, machine, FAILURE if failed else SUCCESS, took)

    def run(self):
        until, evaluator, now, told, heard = self.over_s, RolloutEvaluator(1), 0.0, [], []
        while now < until and self.record.active:
            for _ in range(int(self.rate / 10)):
                self.one(now + self.draw.random() / 10)
            now += 0.1
            for _, stage in self.fronts:
                stage.controller_contact_at = now
            told.append([stage.report(now) for _, stage in self.fronts])
            seen = told[max(0, len(told) - 1 - int(self.lag * 10))]
            if evaluator.revision != self.record.revision:
                evaluator = RolloutEvaluator(self.record.revision)
            outcome_counts = [tally for one in seen for tally in one.outcome_counts]
            statuses = [one.status("s") for one in seen]
            current = [one if one and one.revision == self.record.revision else None for one in statuses]
            votes = [one.vote if one else None for one in current]
            left = all(one and not one.pending for one in current)
            change = evaluator.evaluate(now, now, self.record, outcome_counts, votes, left)
            if change:
                step = (self.record.version, self.record.revision, 0.0, change.state, change.stage)
                self.record = transitions.advance(self.record, *step)
            heard.append(self.record)
            for _, stage in self.fronts:
                stage.update(0.0, heard[max(0, len(heard) - 1 - int(self.lag * 10))])
        self.end = now
        return self


def errors(draw, now, route, failed, took, load):
    return failed or draw.random() < 0.5, took


def slow(draw, now, route, failed, took, load):
    return failed, took * (8 if draw.random() < 0.5 else 1)


def late(draw, now, route, failed, took, load):
    return failed or now > 3.0 and draw.random() < 0.5, took


def one_class(draw, now, route, failed, took, load):
    return failed or route.name == "r1" and draw.random() < 0.5, took


def under_load(draw, now, route, failed, took, load):
    # Seen by a hunt: spread over eight machines it was never loaded on trial, and failed at full stage.
    return failed or load >= 2 and draw.random() < 0.5, took


def when_full(draw, now, route, failed, took, load):
    # Found by the emulator (seed 511): on trial it had four answers; all traffic went to it for 1.3 s until
    # the rejection had stood its second.
    return failed or now > 7.8 and draw.random() < 0.5, took


def good(draw, now, route, failed, took, load):
    return failed, took


def row(ver, count):
    """Good outcomes of a version, as fronts tell them."""
    return OutcomeCounts("s", "r", ver, 0, count, (float(count), *[0.0] * 8))


def played(*steps, again_s=6.0):
    """A record after [(seconds since the step before, order or state)]; an order is (version, over_s)."""
    held = None
    for since, step in steps:
        if isinstance(step, tuple):
            held = transitions.start_rollout(held, "s", *step, since, again_s)
        else:
            held = transitions.advance(held, held.version, held.revision, since, state=RolloutState(step))
    return held
