"""Tests the detection of RPCs that are degraded more often than before a release."""

from decision_builders import settings

from honeywood.balancer.decisions.service_trend import CONFIRMATION, ServiceTrend
from honeywood.balancer.decisions.vote_levels import VoteLevels


def trend(baseline, recent):
    """A trend with these outcomes, each of them whether an RPC was degraded."""
    service_trend = ServiceTrend(VoteLevels(settings(rollback_votes=1, proceed_votes=1)))
    for degraded in baseline:
        service_trend.record(degraded, is_baseline=True)
    for degraded in recent:
        service_trend.record(degraded, is_baseline=False)
    return service_trend


def test_a_worse_trend_holds_at_once_and_rolls_back_if_it_persists():
    service_trend = trend([False] * 100, [True] * 100)
    assert service_trend.check(10, comparable=True) is None and service_trend.worse_since == 10
    assert service_trend.check(10 + CONFIRMATION - 1, comparable=True) is None
    assert "fare badly" in service_trend.check(10 + CONFIRMATION, comparable=True)


def test_a_trend_that_is_not_comparable_or_unchanged_is_no_reason_to_hold():
    service_trend = trend([False] * 100, [True] * 100)
    assert service_trend.check(10, comparable=False) is None and service_trend.worse_since is None
    service_trend = trend([True] * 100, [True] * 100)
    assert service_trend.check(10, comparable=True) is None and service_trend.worse_since is None


def test_degradation_before_a_release_is_not_attributed_to_it():
    service_trend = trend([False] * 100, [True] * 100)
    service_trend.begin_release(previous_released=True)
    assert service_trend.check(10, comparable=True) is None and service_trend.worse_since is None
