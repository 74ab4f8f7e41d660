"""Tests the token bucket for retries and hedged requests."""

from honeywood.balancer.decisions.retry_budget import MAX_BUDGET, RetryBudget


def test_ten_rpcs_earn_one_retry():
    budget = RetryBudget()
    budget.spend()
    for _ in range(9):
        budget.on_request()
    assert not budget.available
    budget.on_request()
    budget.on_request()
    assert budget.available


def test_the_bucket_is_bounded():
    budget = RetryBudget()
    for _ in range(1000):
        budget.on_request()
    assert budget.tokens == MAX_BUDGET
