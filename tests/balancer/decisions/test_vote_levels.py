"""Tests the significance level of each of many balancers."""

from honeywood.balancer.decisions.vote_levels import level_per_balancer


def test_level_of_many_balancers():
    levels = level_per_balancer(1, 1), level_per_balancer(130, 1), level_per_balancer(470, 24)
    assert levels[0] == 0.05 and abs(levels[1] - 0.00038) < 5e-6 and abs(levels[2] - 0.035) < 5e-4
