"""Who is cut off, by bytes and times alone."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from honeywood.balancer.flow_control.minimum_rates import (
    BUCKETS,
    CHECK_INTERVAL,
    Phase,
    RunningTime,
    TransferMeter,
)
from honeywood.balancer.model import SECOND

HEAD = Phase("head", grace=SECOND, window=2 * SECOND, least=1000, most=30 * SECOND)
# When it is looked at, and (time, bytes) that moved, in ms: what is said, and when first.
SCENARIOS = {
    "nothing moves": ([], ("too_slow_head", 3000)),
    "a healthy peer is done before it is judged": ([(10, 400)], ("too_slow_head", 3000)),
    "just above the least rate, for ever": (
        [(at, 260) for at in range(0, 40_000, 250)],
        ("too_long_head", 30_000),
    ),
    "just below it": ([(at, 210) for at in range(0, 40_000, 250)], ("too_slow_head", 3000)),
    "in bursts of two seconds' worth": (
        [(at, 2100) for at in range(0, 40_000, 2000)],
        ("too_long_head", 30_000),
    ),
    "stops after ten seconds": ([(at, 260) for at in range(0, 10_000, 250)], ("too_slow_head", 10_000)),
    "much at once buys no time later": ([(0, 10**6)], ("too_slow_head", 3000)),
}


def first_said(moves, until=60_000, phase=HEAD):
    meter, moves = TransferMeter(phase, 0), sorted(moves)
    for at in range(0, until, 250):
        while moves and moves[0][0] <= at:
            when, count = moves.pop(0)
            meter.record(when * 10, count)
        if said := meter.violation(at * 10):
            return said, at
    return None


@pytest.mark.parametrize("name", SCENARIOS)
def test_scenario(name):
    moves, (said, at) = SCENARIOS[name]
    found = first_said(moves)
    assert found[0] == said and at <= found[1] <= at + 500, found


PIECES = st.lists(st.integers(20, 250), min_size=20, max_size=160)  # ms, a part of the window at the most


@settings(max_examples=200, deadline=None, derandomize=True)
@given(PIECES)
def test_no_peer_that_moves_steadily_is_cut_off(gaps):
    """At a fifth over the least rate, whatever the rhythm within a part of the window."""
    moves, at = [], 0
    for gap in gaps:
        at += gap
        moves.append((at, gap * 12 // 10))
    assert first_said(moves, min(at, 29_000)) is None


@settings(max_examples=200, deadline=None, derandomize=True)
@given(PIECES)
def test_any_peer_below_the_rate_is_cut_off_in_time(gaps):
    moves, at = [], 0
    for gap in gaps:
        at += gap
        moves.append((at, gap * 7 // 10))
    said, when = first_said(moves)
    assert said == "too_slow_head"
    assert when * 10 <= HEAD.grace + HEAD.window * (BUCKETS + 1) // BUCKETS + CHECK_INTERVAL


def test_nobody_is_blamed_for_the_fronts_own_absence():
    """The machine stood still for two seconds and more: peers could not move a byte, and are given that
    time."""
    running_time, meter = RunningTime(0), TransferMeter(HEAD, 0)
    for look in range(20):
        now = running_time.at(look * CHECK_INTERVAL)
        meter.record(now, 300)
        assert meter.violation(now) is None
    back = running_time.at(19 * CHECK_INTERVAL + 60 * SECOND)
    assert back == 21 * CHECK_INTERVAL and meter.violation(back) is None
    assert running_time.at(0) == back  # a clock that goes back
