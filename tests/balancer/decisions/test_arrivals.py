"""Tests the mean time between RPCs."""

from honeywood.balancer.decisions.arrivals import Arrivals
from honeywood.balancer.decisions.limits import RETURN_TIME
from honeywood.balancer.model import SECOND


def test_the_mean_converges_to_the_gaps():
    arrivals = Arrivals()
    for number in range(200):
        arrivals.on_request(number * 100)
    assert 99 < arrivals.mean_gap < 110


def test_a_long_gap_counts_as_the_return_time():
    arrivals = Arrivals()
    arrivals.on_request(0)
    first = arrivals.mean_gap
    arrivals.on_request(10**9)
    assert first == SECOND + (RETURN_TIME - SECOND) / 16
    assert arrivals.mean_gap == first + (RETURN_TIME - first) / 16
