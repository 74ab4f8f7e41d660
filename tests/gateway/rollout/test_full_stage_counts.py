"""Attempts sent in the full stage, which are counted and compared by themselves as well."""

from dataclasses import replace

from rollout_fleet import Fleet, no_fault, slow_answers, successes
from ward import each, raises, test

from honeywood.gateway.errors import InvalidMessage
from honeywood.gateway.rollout import report, transitions
from honeywood.gateway.rollout.comparison import (
    SLOW_ANSWERS,
    SLOW_ANSWERS_IN_FULL_STAGE,
    compare,
    known_in_full_stage,
    pool,
    rejections,
)
from honeywood.gateway.rollout.comparison_summary import summarize
from honeywood.gateway.rollout.evaluator import (
    MIN_DONE_FULL_STAGE_ATTEMPTS,
    RolloutChange,
    RolloutEvaluator,
)
from honeywood.gateway.rollout.outcome_counters import OpenAttempt
from honeywood.gateway.rollout.record import RolloutStage, RolloutState
from honeywood.gateway.rollout.report import FullStageCounts, ProxyReport
from honeywood.gateway.routing.outcomes import AttemptOutcome
from honeywood.gateway.routing.pending_request import PendingRequest
from honeywood.release_analysis.multiple_testing import FALSE_DISCOVERY_RATE

SUCCESS, ABANDONED = AttemptOutcome.SUCCESS, AttemptOutcome.ABANDONED
TRIAL, FULL = RolloutStage.TRIAL, RolloutStage.FULL


def bins(quick=0.0, slow=0.0):
    """Latency bins with counts in the lowest and in the last one."""
    return float(quick), *[0.0] * 7, float(slow)


class FullStage:
    """A proxy of the simulated fleet whose rollout enters the full stage at 8 s."""

    def __init__(self):
        self.fleet = Fleet(no_fault, 0)
        self.endpoints, self.policy = self.fleet.proxies[0]
        self.rollout = self.fleet.record
        self.end_attempt(7.0)
        self.enter(8.0, FULL)

    def enter(self, now, stage):
        """Bring the proxy the next revision of the rollout."""
        self.rollout = replace(self.rollout, stage=stage, revision=self.rollout.revision + 1)
        self.policy.update(now, self.rollout)

    def open_attempt(self, sent_at, id="n0"):
        """An attempt that is in flight."""
        request = PendingRequest(self.fleet.routes[0], "s", b"i", sent_at, sent_at + 9.0)
        return OpenAttempt(request, self.endpoints.by_id[id], sent_at)

    def end_attempt(self, sent_at, latency_s=0.03, outcome=SUCCESS, id="n0"):
        """Record the end of an attempt."""
        attempt = self.open_attempt(sent_at, id)
        request, endpoint = attempt.request, attempt.endpoint
        self.policy.record_outcome(sent_at + latency_s, request, endpoint, outcome, latency_s)

    def reported(self, now, version="v2", open_attempts=()):
        """The reported counts of the full stage."""
        counts = self.policy.report(now, open_attempts).outcome_counts
        [full_stage] = [one.full_stage for one in counts if one.version == version]
        return full_stage


@test("attempts that were sent before the full stage, or at the earlier version, are not counted as its own")
def _():
    scene = FullStage()
    scene.end_attempt(7.98, 0.05)
    scene.end_attempt(8.1, id="m")
    open_attempts = [scene.open_attempt(7.9)]
    assert scene.reported(8.2, open_attempts=open_attempts) == FullStageCounts()
    assert scene.reported(8.2, version="v1") is None


@test("attempts that are sent in the full stage are counted by themselves, whether ended or in flight")
def _():
    scene = FullStage()
    scene.end_attempt(8.1)
    scene.end_attempt(8.1, 9.0, outcome=ABANDONED)
    reported = scene.reported(17.2, open_attempts=[scene.open_attempt(17.19)])
    assert reported == FullStageCounts(bins(quick=1), bins(quick=1, slow=1))
    ended = [one.ended for one in scene.policy.report(17.2).outcome_counts]
    assert ended == [2]  # that of the trial is counted with them


@test("the counts of the full stage remain when the stage is lost, and begin anew when it begins again")
def _():
    scene = FullStage()
    scene.end_attempt(8.1)
    scene.enter(8.5, TRIAL)
    assert scene.reported(8.6) == FullStageCounts(bins(quick=1))
    scene.enter(9.0, FULL)
    assert scene.reported(9.0) == FullStageCounts()
    scene.end_attempt(9.1)
    scene.enter(9.5, FULL)  # a later revision of the same stage
    assert scene.reported(9.6) == FullStageCounts(bins(quick=1))


@test("a new order drops the counts of the full stage")
def _():
    scene = FullStage()
    scene.end_attempt(8.1)
    reverted = transitions.advance(scene.rollout, "v2", scene.rollout.revision, state=RolloutState.REVERTED)
    scene.policy.update(20.0, transitions.start_rollout(reverted, "s", "v2", 14.0, 20.0))
    scene.end_attempt(21.0)
    assert scene.reported(22.0) is None


@test("latencies in the full stage are reduced for slow machines, as on trial")
def _():
    # The first attempts of the stage may all be at the slowest machines of the service.
    scene = FullStage()
    scene.end_attempt(8.1, 0.05)
    assert scene.reported(8.2).answered_bins == bins(quick=1)


@test("the counts of the full stage are decoded as they were encoded")
def _():
    counts = replace(successes("v2", 9), full_stage=FullStageCounts(bins(3, 4), bins(1)))
    without = replace(successes("v1", 9), full_stage=None)
    sent = ProxyReport((counts, without), {})
    assert report.decode(report.encode(sent)) == sent
    assert "full" not in report.encode(ProxyReport((without,), {}))


@test("a report whose rows of the full stage have {items} items is rejected")
def _(items=each(4, 6)):
    message = {
        "rows": [],
        "votes": {},
        "left": {},
        "known": {},
        "full": [["s", "r", "v2", [], [], 0][:items]],
    }
    with raises(InvalidMessage):
        report.decode(message)


# As in seed 45 of the simulated fleet when its rollout was done: a quick trial, then half of the answers are
# slow. A tenth of the earlier version's answers are.
OUTWEIGHED = [
    replace(successes("v1", 3000), latency_bins=bins(2690, 310)),
    replace(
        successes("v2", 355),
        ended=395.0,
        latency_bins=bins(355, 40),
        unanswered_bins=bins(35, 40),
        full_stage=FullStageCounts(bins(120, 40), bins(35, 40)),
    ),
]


@test("slow answers of the full stage reject a version although its trial outweighs them")
def _():
    results = compare(pool(OUTWEIGHED, "s", "v2"))
    p_values = {result.kind: result.p_value for result in results}
    assert p_values[SLOW_ANSWERS] > FALSE_DISCOVERY_RATE > p_values[SLOW_ANSWERS_IN_FULL_STAGE]
    assert [one.kind for one in rejections(results, FALSE_DISCOVERY_RATE)] == [SLOW_ANSWERS_IN_FULL_STAGE]


@test("the log of a decision has the counts of the full stage and their p-value")
def _():
    summary = summarize(OUTWEIGHED, "s", "v2")["r"]
    assert summary["new, in the full stage"]["latencies"] == list(bins(120, 40))
    assert summary["p of slow answers in the full stage"] < FALSE_DISCOVERY_RATE


@test("in the full stage {answered} answers and {young} young attempts make {known} known ones")
def _(answered=each(0, 60, 60), young=each(60, 0, 60), known=each(0, 60, 60)):
    # Of an attempt that was sent just now nothing is known, however many there are.
    full_stage = FullStageCounts(bins(answered - answered // 2, answered // 2), bins(young))
    counts = [successes("v1", 900), replace(successes("v2", 300), full_stage=full_stage)]
    assert abs(known_in_full_stage(pool(counts, "s", "v2")) - known) <= known / 4


@test("with {known} known attempts of the full stage, at {fraction} of the duration, a rollout is {state}")
def _(
    known=each(None, 0, MIN_DONE_FULL_STAGE_ATTEMPTS - 1, MIN_DONE_FULL_STAGE_ATTEMPTS, 0),
    fraction=each(0.6, 0.6, 0.6, 0.6, 0.9),
    state=each("done", "active", "active", "done", "done"),
):
    # The outcomes of its trial were enough for a version of which nothing was known in the full stage. None
    # is what proxies of earlier releases report of that stage.
    rollout = transitions.advance(transitions.start_rollout(None, "s", "v2", 10.0, 0.0), "v2", 1, stage=FULL)
    full_stage = None if known is None else FullStageCounts(bins(known))
    counts = [successes("v1", 900), replace(successes("v2", 300), full_stage=full_stage)]
    evaluator = RolloutEvaluator(2)
    changes = [
        evaluator.evaluate(now, 10 * fraction, rollout, counts, [], True) for now in (0.0, 0.2, 0.4, 0.6)
    ]
    done = RolloutChange(state=RolloutState.DONE)
    assert changes == [None, None, *([done, done] if state == "done" else [None, None])]


def slow_answers_after_22_s(rng, now, route, failed, latency_s, in_flight):
    """A fault that begins with the full stage of a rollout of 40 s."""
    if now <= 22.1:
        return failed, latency_s
    return slow_answers(rng, now, route, failed, latency_s, in_flight)


@test("a version that turns slow in the full stage of a long rollout at a low rate is reverted")
def _():
    # It was done a second after it got all traffic, since it had so few slow answers by then.
    for seed in range(8):
        fleet = Fleet(slow_answers_after_22_s, seed, requests_per_s=40.0, duration_s=40.0, delay_s=0.2).run()
        assert fleet.record.state == RolloutState.REVERTED, f"seed {seed}: {fleet.record}"
        assert fleet.v2_count <= 0.1 * 40.0 * fleet.rate + 50, f"seed {seed}: {fleet.v2_count}"
