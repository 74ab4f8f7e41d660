"""Measuring how long a condition has held, by checks that may have gaps."""

from ward import test

from honeywood.gateway.rollout.condition_timer import MAX_CHECK_GAP_S, NOT_HOLDING_S, ConditionTimer


@test("a condition is timed from the first check at which it holds, and again after one at which it doesn't")
def _():
    timer = ConditionTimer()
    assert timer.check(10.0, False) == NOT_HOLDING_S and not timer.holds
    assert [timer.check(now, True) for now in (10.5, 11.0, 12.0)] == [0.0, 0.5, 1.5] and timer.holds
    assert timer.check(12.1, False) == NOT_HOLDING_S
    assert timer.check(12.2, True) == 0.0


@test("after a gap between checks the time starts again at 0")
def _():
    timer = ConditionTimer()
    timer.check(10.0, True)
    assert timer.check(10.0 + MAX_CHECK_GAP_S, True) == MAX_CHECK_GAP_S
    assert timer.check(10.1 + 2 * MAX_CHECK_GAP_S, True) == 0.0
