"""Outcome counts of versions on trial at one proxy, as records for the controllers."""

from __future__ import annotations

from honeywood.gateway.dissemination.keys import RecordKind
from honeywood.gateway.dissemination.record import Record, Stamp
from honeywood.gateway.rollout import report

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Callable

    from honeywood.gateway.dissemination.store import Store
    from honeywood.gateway.rollout.traffic_policy import RolloutTrafficPolicy

KNOWN_FOR_STEP_S = 0.5  # after which a report differs only by the time for which a trial has been known


class RolloutReports:
    """Numbers each changed report, and gives it to controllers that have not acknowledged it."""

    def __init__(
        self,
        traffic_policy: RolloutTrafficPolicy,
        clock: Callable[[], float],
        node: str,
        incarnation: str,
        store: Store,
    ) -> None:
        """`store` supplies the epoch that each record carries."""
        self.traffic_policy = traffic_policy
        self.clock = clock
        self.store = store
        self.key = RecordKind.PROXY_COUNTS.key(node, incarnation)
        self.incarnation = incarnation
        self.number = 0
        self.epoch = 0
        self.acknowledged: dict[str, int] = {}  # the number that each controller has
        self._last: dict[str, object] = {"rows": [], "votes": {}, "left": {}, "known": {}}

    def records_for(self, controller: str) -> list[Record]:
        """The record that a controller lacks, in a list; an empty list where it has the newest."""
        encoded = report.encode(self.traffic_policy.report(self.clock()))
        self._number(encoded)
        if self.acknowledged.get(controller, 0) >= self.number:
            return []
        value = {"life": self.incarnation, **encoded}
        return [Record(self.key, Stamp.of(self.number, self.epoch), value)]

    def _number(self, encoded: dict[str, dict[str, list[float]]]) -> None:
        """Gives the report a new number if it differs from the last, or another epoch has begun since."""
        known = {
            service: [revision, int(seconds / KNOWN_FOR_STEP_S)]
            for service, (revision, seconds) in encoded["known"].items()
        }
        current: dict[str, object] = {**encoded, "known": known}
        epoch = self.store.epoch
        if current != self._last or self.number and epoch != self.epoch:
            self.number += 1
            self._last = current
            self.epoch = epoch

    def acknowledge(self, controller: str, number: int) -> None:
        """A controller has reports up to `number`."""
        self.acknowledged[controller] = number

    def forget(self, controller: str) -> None:
        """A controller is polled no more."""
        self.acknowledged.pop(controller, None)
