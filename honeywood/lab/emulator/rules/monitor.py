"""All rules of a day in one place."""

from honeywood.lab.emulator.rules.core import Core
from honeywood.lab.emulator.rules.orders import OrderRules
from honeywood.lab.emulator.rules.proxies import ProxyRules
from honeywood.lab.emulator.rules.requests import RequestRules
from honeywood.lab.emulator.rules.trials import TrialRules


class Monitor:
    """The rules by concern; each is told of what it watches."""

    def __init__(self, bounds):
        """`bounds` are the figures of the settings file."""
        self.core = Core(bounds)
        self.trials = TrialRules(self.core)
        self.requests = RequestRules(self.core, self.trials)
        self.orders = OrderRules(self.core)
        self.proxies = ProxyRules(self.core, self.orders)

    @property
    def breaches(self):
        """The breaches found so far, in their order."""
        return self.core.breaches

    def close(self, now, version):
        """Looks that need the whole day; `version` was read back from a majority, or None."""
        self.orders.close(now, version)
        self.proxies.close(now)
        self.requests.close()
        self.trials.close(now, self.requests.arrivals)
