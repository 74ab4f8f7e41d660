"""The checks of all rules of a day in one object."""

from __future__ import annotations

from collections.abc import Mapping

from honeywood.lab.emulator.rules.context import RuleContext
from honeywood.lab.emulator.rules.order_rules import OrderRules
from honeywood.lab.emulator.rules.proxy_rules import ProxyRules
from honeywood.lab.emulator.rules.request_rules import RequestRules
from honeywood.lab.emulator.rules.trial_rules import TrialRules


class Monitor:
    """The checks of a day, grouped by what they observe: trials, requests, orders and proxies."""

    def __init__(self, bounds: Mapping[str, float]) -> None:
        """Create the checks for a day with the given bounds of the settings file."""
        self.context = RuleContext(bounds)
        self.trials = TrialRules(self.context)
        self.requests = RequestRules(self.context, self.trials)
        self.orders = OrderRules(self.context)
        self.proxies = ProxyRules(self.context, self.orders)

    def close(self, now: float, read_back_version: int | None) -> None:
        """Check the rules that need the complete day.

        `read_back_version` is the version that was read from a majority at the end; None if that failed.
        """
        self.orders.close(now, read_back_version)
        self.proxies.close(now)
        self.requests.close()
        self.trials.close(now, self.requests.sent_times)
