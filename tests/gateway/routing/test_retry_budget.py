"""The retry budgets of many proxies taken together."""

import random

from ward import test

from honeywood.gateway.routing.retry_budget import RetryBudget

PROXIES, RATIO, SLACK = 12, 0.2, 64
REQUESTS, REQUESTS_PER_S = 6000, 600


@test("the retries of twelve proxies stay within the shared budget with unevenly distributed requests")
def _():
    draw, requests, retries = random.Random(1), 0, 0
    budgets = [RetryBudget(RATIO, SLACK, window_s=10.0) for _ in range(PROXIES)]
    for number in range(REQUESTS):
        now = number / REQUESTS_PER_S
        budget = budgets[int(PROXIES * draw.random() ** 3)]
        budget.record_request(now)
        requests += 1
        while budget.allows(now, PROXIES):
            budget.record_retry(now)
            retries += 1
    assert 0.1 * requests < retries <= RATIO * requests + SLACK
