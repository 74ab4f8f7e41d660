"""What one controller knows about a rollout: for how long, the counts of proxies, and their votes."""

from __future__ import annotations

from dataclasses import dataclass
from typing import cast

from honeywood.gateway.dissemination.keys import RecordKind
from honeywood.gateway.rollout import report

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Callable

    from honeywood.gateway.controller.proxy_fleet import ProxyFleet
    from honeywood.gateway.controller.register_access import StoredValue
    from honeywood.gateway.dissemination.record import JsonValue
    from honeywood.gateway.dissemination.store import Store
    from honeywood.gateway.rollout.record import Rollout
    from honeywood.gateway.rollout.report import OutcomeCounts, ProxyReport, RolloutStatus, Vote


@dataclass(frozen=True, slots=True)
class KnownRevision:
    """The revision of a rollout that is known here, and since when, in monotonic seconds."""

    revision: int
    since: float


@dataclass(frozen=True, slots=True)
class ProxyEvidence:
    """What proxies report about one revision of a rollout."""

    outcome_counts: list[OutcomeCounts]  # of all proxies since the order, including ended ones
    votes: list[Vote | None]  # of each proxy that shares the traffic; None before its vote on this revision
    all_drained: bool  # whether all of these follow the revision and have drained endpoints without traffic


class RolloutEvidence:
    """Collects evidence from the records in this controller's store."""

    def __init__(self, store: Store, fleet: ProxyFleet, clock: Callable[[], float]) -> None:
        """Start without any rollout; `clock` returns monotonic seconds."""
        self.store, self.fleet, self.clock = store, fleet, clock
        self._known_revisions: dict[str, KnownRevision] = {}  # by service

    def record_revision(self, service: str, revision: int) -> None:
        """Record the revision of a rollout's record that the store received."""
        self._known_revisions[service] = KnownRevision(revision, self.clock())

    def known_for_s(self, rollout: Rollout) -> float:
        """Return a lower bound, in seconds, on how long the revision has been known here or at a proxy.

        The proxies' clocks are used as well because they keep running when all controllers restart.
        """
        known_s: list[float] = []
        local = self._known_revisions.get(rollout.service)
        if local is not None and local.revision == rollout.revision:
            known_s.append(self.clock() - local.since)
        for _, value in self.store.items_of(RecordKind.PROXY_COUNTS):
            status = _decode_report(value).status(rollout.service)
            if status is None or status.revision != rollout.revision or status.revision_age_s is None:
                continue
            known_s.append(status.revision_age_s)
        return max(known_s, default=0.0)

    def collect(self, rollout: Rollout) -> ProxyEvidence:
        """Return what proxies report about a rollout."""
        reports = self._reports()
        # A node's report that arrived last is that of its running incarnation, even if a clock was wrong. So
        # the last entry of each node takes precedence.
        latest = dict(reports)
        outcome_counts = [
            counts
            for _, proxy_report in reports
            if _follows_order(proxy_report, rollout)
            for counts in proxy_report.outcome_counts
        ]
        statuses = [
            self._current_status(latest.get(node), rollout)
            for node in self.fleet.current_proxies(self.clock())
        ]
        return ProxyEvidence(
            outcome_counts=outcome_counts,
            votes=[status.vote if status else None for status in statuses],
            all_drained=bool(statuses) and all(status and not status.pending for status in statuses),
        )

    def _reports(self) -> list[tuple[str, ProxyReport]]:
        """Return the report of each incarnation with its proxy's node, in order of arrival."""
        by_arrival = self.store.items_by_revision(RecordKind.PROXY_COUNTS)
        return [(key.split("/")[1], _decode_report(value)) for key, value in by_arrival]

    @staticmethod
    def _current_status(latest: ProxyReport | None, rollout: Rollout) -> RolloutStatus | None:
        """Return a proxy's status in the rollout's current revision, or None."""
        status = None if latest is None else latest.status(rollout.service)
        return status if status is not None and status.revision == rollout.revision else None


def _decode_report(value: JsonValue) -> ProxyReport:
    return report.decode(cast("StoredValue", value))


def _follows_order(proxy_report: ProxyReport, rollout: Rollout) -> bool:
    """Return whether a report comes from a proxy that knew the rollout's order."""
    status = proxy_report.status(rollout.service)
    if status is None or status.revision_age_s is None:
        return False
    return status.revision >= rollout.order_revision
