"""A controller's decisions by counts, votes and time."""

from dataclasses import replace

from rollout_fleet import row
from ward import each, test

from honeywood.gateway.rollout import transitions
from honeywood.gateway.rollout.evaluator import RolloutChange, RolloutEvaluator
from honeywood.gateway.rollout.proxy_voter import ProxyVoter
from honeywood.gateway.rollout.record import RolloutStage, RolloutState
from honeywood.gateway.rollout.report import Vote

ACTIVE, DONE, REVERTED = RolloutState.ACTIVE, RolloutState.DONE, RolloutState.REVERTED
TRIAL, WIDE, FULL = RolloutStage.TRIAL, RolloutStage.WIDE, RolloutStage.FULL


@test("{met} outcomes on trial, {part} of the time over: the stage is {stage_now}")
def _(
    met=each(6, 6, 24, 24, 25, 25, 25),
    part=each(0.5, 0.56, 0.56, 0.99, 0.5, 0.56, 0.7),
    votes=each(
        [Vote.PROMOTE], [Vote.PROMOTE], [Vote.PROMOTE], [None], [Vote.PROMOTE], [Vote.PROMOTE], [None]
    ),
    stage_now=each(None, WIDE, WIDE, WIDE, None, FULL, FULL),
):
    # Found by the emulator (30230, 10342, 14648): six outcomes, of which few failed, and then all traffic.
    held = transitions.start_rollout(None, "s", "v2", 10.0, 0.0)
    rows = [row("v1", 900), row("v2", met)]
    found = RolloutEvaluator(1).evaluate(10 * part, 10 * part, held, rows, votes, False)
    assert found == (stage_now and RolloutChange(stage=stage_now))


@test("the wide stage, {met} outcomes after {seconds} s and {part} of the time: {stage_now}")
def _(
    met=each(24, 24, 25, 25),
    seconds=each(1.0, 1.0, 0.5, 0.7),
    part=each(0.84, 0.86, 0.6, 0.6),
    stage_now=each(None, FULL, None, FULL),
):
    # The first outcomes are those of quick answers.
    held = replace(transitions.start_rollout(None, "s", "v2", 10.0, 0.0), stage=WIDE)
    evaluator, rows = RolloutEvaluator(1), [row("v1", 900), row("v2", met)]
    evaluator.evaluate(0.0, 10 * part, held, rows, [], False)
    found = evaluator.evaluate(seconds, 10 * part, held, rows, [], False)
    assert found == (stage_now and RolloutChange(stage=stage_now))


@test("old machines are kept until enough requests have met the new version, or time is nearly over")
def _():
    # Found by the emulator (day 83): a version was done with eight answers, the slow ones still out.
    held = transitions.advance(transitions.start_rollout(None, "s", "v2", 10.0, 0.0), "v2", 1, stage=FULL)

    for count, elapsed, state in ((8, 7.5, None), (20, 7.5, DONE), (8, 9.5, DONE)):
        evaluator = RolloutEvaluator(2)
        rows = [row("v1", 90), row("v2", count)]
        looks = [elapsed + n / 10 for n in range(6)]
        told = [evaluator.evaluate(now, now, held, rows, [], True) for now in looks]
        assert [step.state for step in told if step][:1] == ([state] if state else []), (count, told)


@test("what must stand for a while begins anew after a gap: {what}")
def _(
    what=each("all have left", "the pool rejects", "a front rejects", "looked at all the while"),
    failed=each(0, 12, 12, 0),
    times=each((10.0, 30.0), (10.0, 30.0), (10.0, 30.0), (10.0, 10.3, 10.6)),
    wanted=each(None, None, None, RolloutChange(state=DONE)),
):
    # Found by review: a controller frozen for 20 s took its look before and its look after for one long
    # look, and told a version done, or sent one back, on counts as old as its standstill.
    held = replace(transitions.start_rollout(None, "s", "v2", 14.0), stage=FULL if not failed else TRIAL)
    rows = [replace(row("v2", 60), failed=failed), row("v1", 4000)]
    evaluator, voter = RolloutEvaluator(1), ProxyVoter(1, 0.0, 1)
    for now in times:
        if what == "a front rejects":
            found = voter.vote(now, held, rows)
        else:
            found = evaluator.evaluate(now, 5.0 if failed else now, held, rows, [], not failed)
    assert found == wanted
    if failed:  # and it does stand when it is looked at again
        assert voter.vote(now, held, rows) is None
        assert evaluator.evaluate(now, 5.0, held, rows, [], False) is None
        assert voter.vote(now + 1.1, held, rows) == "back"
        assert evaluator.evaluate(now + 1.1, 5.0, held, rows, [], False).state == REVERTED
    elif wanted is None:
        assert evaluator.evaluate(now + 0.5, now + 0.5, held, rows, [], True) == RolloutChange(state=DONE)
