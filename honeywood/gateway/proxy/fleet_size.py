"""The number of proxies in the fleet, as controllers report it."""

from __future__ import annotations

from dataclasses import dataclass

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Callable

INITIAL_COUNT = 32  # proxies assumed to share quotas for DECREASE_DELAY_S after the start
DECREASE_DELAY_S = 3.0  # after which a lower count takes effect
REPORT_VALID_S = 3.0  # for which a controller's report is used beside newer reports of other controllers


@dataclass(frozen=True, slots=True)
class FleetReport:
    """A count of proxies, and the time at which it was received, in seconds on the clock."""

    received_at: float
    count: int


class FleetSize:
    """The number of proxies that share quotas.

    It is the highest number that controllers have reported recently, since a controller that has just started
    knows few proxies. A proxy that has just started knows none, and assumes INITIAL_COUNT at first. Decreases
    take effect after DECREASE_DELAY_S.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        """Starts without reports; `clock` returns monotonic seconds."""
        self.clock = clock
        self.reports: dict[str, FleetReport] = {}
        self.reported_count = 1
        self.previous = FleetReport(clock(), INITIAL_COUNT)  # the higher count that was used until then

    def count(self) -> int:
        """Returns the number of proxies that share quotas now, at least 1."""
        recent = self.clock() - self.previous.received_at < DECREASE_DELAY_S
        return max(1, self.reported_count, self.previous.count if recent else 1)

    def report(self, controller: str, count: int) -> None:
        """Records the number of proxies that a controller reports."""
        now, before = self.clock(), self.count()
        self.reports[controller] = FleetReport(now, count)
        self.reports = {
            ip: report for ip, report in self.reports.items() if now - report.received_at < REPORT_VALID_S
        }
        self.reported_count = max(report.count for report in self.reports.values())
        if self.count() < before:
            self.previous = FleetReport(now, before)
