"""How many proxies there are, as controllers report."""

from __future__ import annotations

from dataclasses import dataclass

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Callable

INITIAL_COUNT = 32  # proxies assumed to share quotas, until controllers have reported how many there are
DECREASE_DELAY_S = 3.0  # after which a lower count is used
REPORT_VALID_S = 3.0  # for which one controller's report counts beside newer ones of others


@dataclass(frozen=True, slots=True)
class FleetReport:
    """A count of proxies, and when it was received."""

    received_at: float
    count: int


class FleetSize:
    """The number of proxies that share quotas.

    It is the highest number that controllers reported lately: a controller that has just started knows few
    proxies, and a proxy that has just started knows none. Decreases take effect with a delay.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        """`clock` gives monotonic seconds."""
        self.clock = clock
        self.reports: dict[str, FleetReport] = {}
        self.reported_count = 1
        self.previous = FleetReport(clock(), INITIAL_COUNT)  # a higher count that applied until then

    def count(self) -> int:
        """How many proxies share quotas now."""
        recent = self.clock() - self.previous.received_at < DECREASE_DELAY_S
        return max(1, self.reported_count, self.previous.count if recent else 1)

    def report(self, controller: str, count: int) -> None:
        """Takes a controller's report."""
        now, before = self.clock(), self.count()
        self.reports[controller] = FleetReport(now, count)
        self.reports = {ip: one for ip, one in self.reports.items() if now - one.received_at < REPORT_VALID_S}
        self.reported_count = max(one.count for one in self.reports.values())
        if self.count() < before:
            self.previous = FleetReport(now, before)
