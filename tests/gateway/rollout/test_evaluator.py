"""A controller's decisions, by counts, votes and elapsed time."""

from dataclasses import replace

from rollout_fleet import successes
from ward import each, test

from honeywood.gateway.rollout import transitions
from honeywood.gateway.rollout.evaluator import RolloutChange, RolloutEvaluator
from honeywood.gateway.rollout.proxy_voter import ProxyVoter
from honeywood.gateway.rollout.record import RolloutStage, RolloutState
from honeywood.gateway.rollout.report import Vote

ACTIVE, DONE, REVERTED = RolloutState.ACTIVE, RolloutState.DONE, RolloutState.REVERTED
TRIAL, WIDE, FULL = RolloutStage.TRIAL, RolloutStage.WIDE, RolloutStage.FULL


@test("after {ended} outcomes on trial and {fraction} of the duration the new stage is {new_stage}")
def _(
    ended=each(6, 6, 24, 24, 25, 25, 25),
    fraction=each(0.5, 0.56, 0.56, 0.99, 0.5, 0.56, 0.7),
    votes=each(
        [Vote.PROMOTE], [Vote.PROMOTE], [Vote.PROMOTE], [None], [Vote.PROMOTE], [Vote.PROMOTE], [None]
    ),
    new_stage=each(None, WIDE, WIDE, WIDE, None, FULL, FULL),
):
    # Found by the emulator (seeds 30230, 10342, 14648): after six outcomes, of which few had failed, a bad
    # version got all traffic.
    rollout = transitions.start_rollout(None, "s", "v2", 10.0, 0.0)
    counts = [successes("v1", 900), successes("v2", ended)]
    change = RolloutEvaluator(1).evaluate(10 * fraction, 10 * fraction, rollout, counts, votes, False)
    assert change == (new_stage and RolloutChange(stage=new_stage))


@test("after {ended} outcomes, {seconds} s of wide stage and {fraction} of the duration: {new_stage}")
def _(
    ended=each(24, 24, 25, 25),
    seconds=each(1.0, 1.0, 0.5, 0.7),
    fraction=each(0.84, 0.86, 0.6, 0.6),
    new_stage=each(None, FULL, None, FULL),
):
    # Fast answers end first, so the first outcomes look better than the rest.
    rollout = replace(transitions.start_rollout(None, "s", "v2", 10.0, 0.0), stage=WIDE)
    evaluator, counts = RolloutEvaluator(1), [successes("v1", 900), successes("v2", ended)]
    evaluator.evaluate(0.0, 10 * fraction, rollout, counts, [], False)
    change = evaluator.evaluate(seconds, 10 * fraction, rollout, counts, [], False)
    assert change == (new_stage and RolloutChange(stage=new_stage))


@test("a rollout is done only after enough outcomes of the new version, or when its time is nearly over")
def _():
    # Found by the emulator (day 83): a rollout was done after eight answers, while slow ones were in flight.
    rollout = transitions.advance(transitions.start_rollout(None, "s", "v2", 10.0, 0.0), "v2", 1, stage=FULL)

    for ended, elapsed_s, state in ((8, 7.5, None), (20, 7.5, DONE), (8, 9.5, DONE)):
        evaluator = RolloutEvaluator(2)
        counts = [successes("v1", 90), successes("v2", ended)]
        times = [elapsed_s + n / 10 for n in range(6)]
        changes = [evaluator.evaluate(now, now, rollout, counts, [], True) for now in times]
        assert [change.state for change in changes if change][:1] == ([state] if state else []), (
            ended,
            changes,
        )


@test("the time for which a condition must hold starts again after a gap between evaluations: {condition}")
def _(
    condition=each("all drained", "the controller rejects", "a proxy rejects", "all drained, without a gap"),
    failed=each(0, 12, 12, 0),
    times=each((10.0, 30.0), (10.0, 30.0), (10.0, 30.0), (10.0, 10.3, 10.6)),
    expected=each(None, None, None, RolloutChange(state=DONE)),
):
    # Found by review: a controller that was suspended for 20 s took the condition as true for all that
    # time, so a rollout was done or reverted on counts from before the suspension.
    rollout = replace(transitions.start_rollout(None, "s", "v2", 14.0), stage=FULL if not failed else TRIAL)
    counts = [replace(successes("v2", 60), failed=failed), successes("v1", 4000)]
    evaluator, voter = RolloutEvaluator(1), ProxyVoter(1, 0.0, 1)
    for now in times:
        if condition == "a proxy rejects":
            decision = voter.vote(now, rollout, counts)
        else:
            decision = evaluator.evaluate(now, 5.0 if failed else now, rollout, counts, [], not failed)
    assert decision == expected
    if failed:  # a rejection is confirmed by further evaluations
        assert voter.vote(now, rollout, counts) is None
        assert evaluator.evaluate(now, 5.0, rollout, counts, [], False) is None
        assert voter.vote(now + 1.1, rollout, counts) == "back"
        assert evaluator.evaluate(now + 1.1, 5.0, rollout, counts, [], False).state == REVERTED
    elif expected is None:
        assert evaluator.evaluate(now + 0.5, now + 0.5, rollout, counts, [], True) == RolloutChange(
            state=DONE
        )
