"""All rules of a day in one place."""

from __future__ import annotations

from collections.abc import Mapping

from honeywood.lab.emulator.rules.context import RuleContext
from honeywood.lab.emulator.rules.order_rules import OrderRules
from honeywood.lab.emulator.rules.proxy_rules import ProxyRules
from honeywood.lab.emulator.rules.request_rules import RequestRules
from honeywood.lab.emulator.rules.trial_rules import TrialRules


class Monitor:
    """The rules by what they observe."""

    def __init__(self, bounds: Mapping[str, float]) -> None:
        """`bounds` are those of the settings file."""
        self.context = RuleContext(bounds)
        self.trials = TrialRules(self.context)
        self.requests = RequestRules(self.context, self.trials)
        self.orders = OrderRules(self.context)
        self.proxies = ProxyRules(self.context, self.orders)

    def close(self, now: float, read_back_version: int | None) -> None:
        """Check what needs the complete day; the version was read from a majority, None where that failed."""
        self.orders.close(now, read_back_version)
        self.proxies.close(now)
        self.requests.close()
        self.trials.close(now, self.requests.sent_times)
