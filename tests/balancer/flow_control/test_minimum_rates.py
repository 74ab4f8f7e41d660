"""Which peers violate the minimum rates, given only bytes and times."""

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

HEAD = Phase("head", grace=SECOND, window=2 * SECOND, min_rate=1000, max_duration=30 * SECOND)
# By name: the transfers as (time in ms, bytes), and the expected code with the time (ms) of its first report.
SCENARIOS = {
    "no transfer": ([], ("too_slow_head", 3000)),
    "a healthy peer ends before the first full window": ([(10, 400)], ("too_slow_head", 3000)),
    "just above the minimum rate, without end": (
        [(at, 260) for at in range(0, 40_000, 250)],
        ("too_long_head", 30_000),
    ),
    "just below the minimum rate": ([(at, 210) for at in range(0, 40_000, 250)], ("too_slow_head", 3000)),
    "in bursts of two seconds of data": (
        [(at, 2100) for at in range(0, 40_000, 2000)],
        ("too_long_head", 30_000),
    ),
    "stops after ten seconds": ([(at, 260) for at in range(0, 10_000, 250)], ("too_slow_head", 10_000)),
    "a large burst gives no credit for later windows": ([(0, 10**6)], ("too_slow_head", 3000)),
}


def first_violation(transfers, until=60_000, phase=HEAD):
    meter, transfers = TransferMeter(phase, 0), sorted(transfers)
    for at in range(0, until, 250):
        while transfers and transfers[0][0] <= at:
            time, count = transfers.pop(0)
            meter.record(time * 10, count)
        if code := meter.violation(at * 10):
            return code, at
    return None


@pytest.mark.parametrize("name", SCENARIOS)
def test_scenario(name):
    transfers, (code, at) = SCENARIOS[name]
    violation = first_violation(transfers)
    assert violation[0] == code and at <= violation[1] <= at + 500, violation


GAPS = st.lists(st.integers(20, 250), min_size=20, max_size=160)  # ms, each at most an eighth of the window


@settings(max_examples=200, deadline=None, derandomize=True)
@given(GAPS)
def test_no_steady_peer_above_the_rate_violates_it(gaps):
    """At 1.2 times the minimum rate, with any gaps that are short compared to the window."""
    transfers, at = [], 0
    for gap in gaps:
        at += gap
        transfers.append((at, gap * 12 // 10))
    assert first_violation(transfers, min(at, 29_000)) is None


@settings(max_examples=200, deadline=None, derandomize=True)
@given(GAPS)
def test_any_peer_below_the_rate_is_detected_in_time(gaps):
    transfers, at = [], 0
    for gap in gaps:
        at += gap
        transfers.append((at, gap * 7 // 10))
    code, time = first_violation(transfers)
    assert code == "too_slow_head"
    assert time * 10 <= HEAD.grace + HEAD.window * (BUCKETS + 1) // BUCKETS + CHECK_INTERVAL


def test_peers_are_not_charged_for_a_stall_of_the_balancer():
    """Peers cannot transfer anything while the machine is stopped, so that time does not count."""
    running_time, meter = RunningTime(0), TransferMeter(HEAD, 0)
    for check in range(20):
        now = running_time.at(check * CHECK_INTERVAL)
        meter.record(now, 300)
        assert meter.violation(now) is None
    after_stall = running_time.at(19 * CHECK_INTERVAL + 60 * SECOND)
    assert after_stall == 21 * CHECK_INTERVAL and meter.violation(after_stall) is None
    assert running_time.at(0) == after_stall  # the clock goes back
