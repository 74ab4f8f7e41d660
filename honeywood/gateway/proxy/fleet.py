"""How many proxies there are, as controllers tell."""

from dataclasses import dataclass

UNKNOWN_COUNT = 32  # proxies that share what all may do, until controllers have told how many there are
BELIEVED_S = 3.0  # seconds after which a lower number of them is believed
REPORT_S = 3.0  # for which one controller's word stands beside others' newer ones


@dataclass(frozen=True, slots=True)
class Report:
    """One controller's word: how many proxies there are, and when it was heard."""

    heard_at: float
    count: int


class FleetSize:
    """The number of proxies that share what all may do together: the most that controllers told of lately,
    since one that has just started knows few, and a proxy that has just started knows none."""

    def __init__(self, clock):
        """`clock` gives seconds that only rise."""
        self.clock, self.reports, self.known = clock, {}, 1
        self.before = Report(clock(), UNKNOWN_COUNT)  # a higher number that held until then

    def count(self):
        """How many proxies to reckon with now."""
        held = self.before.count if self.clock() - self.before.heard_at < BELIEVED_S else 1
        return max(1, self.known, held)

    def report(self, controller, count):
        """A controller says how many there are. What others said lately counts beside it."""
        now, before = self.clock(), self.count()
        self.reports[controller] = Report(now, count)
        self.reports = {ip: one for ip, one in self.reports.items() if now - one.heard_at < REPORT_S}
        self.known = max(one.count for one in self.reports.values())
        if self.count() < before:
            self.before = Report(now, before)
