"""One proxy's reports on versions on trial, as records for the controllers."""

from __future__ import annotations

from honeywood.gateway.dissemination.keys import RecordKind
from honeywood.gateway.dissemination.record import Record, Stamp
from honeywood.gateway.rollout import report

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from honeywood.gateway.dissemination.store import Store
    from honeywood.gateway.rollout.outcome_counters import OpenAttempt
    from honeywood.gateway.rollout.traffic_policy import RolloutTrafficPolicy

REVISION_AGE_STEP_S = 0.5  # the age of a revision makes a report differ from the last one only in these steps


class RolloutReports:
    """Numbers each changed report, and supplies it to the controllers that have not acknowledged it."""

    def __init__(
        self,
        traffic_policy: RolloutTrafficPolicy,
        open_attempts: Callable[[], Iterable[OpenAttempt]],
        clock: Callable[[], float],
        node: str,
        incarnation: str,
        store: Store,
    ) -> None:
        """Starts with an empty report.

        `open_attempts` returns the attempts in flight. `store` supplies the epoch that each record contains.
        """
        self.traffic_policy = traffic_policy
        self.open_attempts = open_attempts
        self.clock = clock
        self.store = store
        self.key = RecordKind.PROXY_COUNTS.key(node, incarnation)
        self.incarnation = incarnation
        self.number = 0
        self.epoch = 0
        self.acknowledged: dict[str, int] = {}  # by controller, the number of the newest report that it has
        self._last: dict[str, object] = {"rows": [], "votes": {}, "left": {}, "known": {}}

    def records_for(self, controller: str) -> list[Record]:
        """Returns the newest record in a list, or an empty list if the controller has it already."""
        encoded = report.encode(self.traffic_policy.report(self.clock(), self.open_attempts()))
        self._update_number(encoded)
        if self.acknowledged.get(controller, 0) >= self.number:
            return []
        value = {"life": self.incarnation, **encoded}
        return [Record(self.key, Stamp.of(self.number, self.epoch), value)]

    def _update_number(self, encoded: dict[str, dict[str, list[float]]]) -> None:
        """Assigns a new number if the report differs from the last one or a new epoch has begun since."""
        known = {
            service: [revision, int(seconds / REVISION_AGE_STEP_S)]
            for service, (revision, seconds) in encoded["known"].items()
        }
        current: dict[str, object] = {**encoded, "known": known}
        epoch = self.store.epoch
        if current != self._last or self.number and epoch != self.epoch:
            self.number += 1
            self._last = current
            self.epoch = epoch

    def acknowledge(self, controller: str, number: int) -> None:
        """Records that a controller has the reports up to `number`."""
        self.acknowledged[controller] = number

    def forget(self, controller: str) -> None:
        """Forgets the acknowledgement of a controller that is no longer polled."""
        self.acknowledged.pop(controller, None)
