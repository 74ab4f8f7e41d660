"""The retry budgets of all services at this proxy."""

from __future__ import annotations

from honeywood.gateway.routing.retry_budget import RetryBudget


class RetryBudgets:
    """A RetryBudget for each service, created when it is first used."""

    def __init__(self, ratio: float, slack: float, window_s: float) -> None:
        """Takes the configured limits, which apply to each service at all proxies together."""
        self.ratio = ratio
        self.slack = slack
        self.window_s = window_s
        self._budgets: dict[str, RetryBudget] = {}

    def of(self, service: str) -> RetryBudget:
        """Returns a service's budget."""
        budget = self._budgets.get(service)
        if budget is None:
            budget = self._budgets[service] = RetryBudget(self.ratio, self.slack, self.window_s)
        return budget
