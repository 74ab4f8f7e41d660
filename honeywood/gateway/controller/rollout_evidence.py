"""What is known at one controller of a rollout: since when, what proxies have counted, and how they vote."""

from __future__ import annotations

from dataclasses import dataclass

from honeywood.gateway.controller.record_keys import COUNT_PREFIX
from honeywood.gateway.rollout import report

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Callable

    from honeywood.gateway.controller.proxy_fleet import ProxyFleet
    from honeywood.gateway.dissemination.store import Store
    from honeywood.gateway.rollout.record import Rollout
    from honeywood.gateway.rollout.report import Ballot, Report, Tally


@dataclass(frozen=True, slots=True)
class KnownRevision:
    """Which revision of a rollout is known here, and since when (steady seconds)."""

    revision: int
    since: float


@dataclass(frozen=True, slots=True)
class ProxyEvidence:
    """What proxies say of one revision of a rollout."""

    tallies: list[Tally]  # of all proxies since the order, also of those that have ended
    votes: list[str | None]  # of each proxy that shares the traffic; None: it has not voted on this revision
    all_left: bool  # whether all of these follow it and have nothing in flight where its stage leaves


class RolloutEvidence:
    """Collects evidence from the records on this controller's store."""

    def __init__(self, store: Store, fleet: ProxyFleet, clock: Callable[[], float]) -> None:
        """Start without any rollout; `clock` gives steady seconds."""
        self.store, self.fleet, self.clock = store, fleet, clock
        self._known: dict[str, KnownRevision] = {}  # by service

    def record_revision(self, service: str, revision: int) -> None:
        """Take note of a rollout's record that has come to the store."""
        self._known[service] = KnownRevision(revision, self.clock())

    def known_for_s(self, rollout: Rollout) -> float:
        """Return for how many seconds at least the rollout's revision has been known, here or at a proxy.

        Steady clocks of proxies go on where all controllers restart.
        """
        known_s: list[float] = []
        local = self._known.get(rollout.service)
        if local is not None and local.revision == rollout.revision:
            known_s.append(self.clock() - local.since)
        for _, value in self.store.under(COUNT_PREFIX):
            ballot = report.decode(value).ballot(rollout.service)
            if ballot is not None and ballot.revision == rollout.revision and ballot.known_s is not None:
                known_s.append(ballot.known_s)
        return max(known_s, default=0.0)

    def collect(self, rollout: Rollout) -> ProxyEvidence:
        """Return what proxies say of a rollout."""
        reports = self._reports()
        # What arrived last is of the incarnation that runs, whatever its clock said: a later entry wins.
        latest = dict(reports)
        tallies = [tally for _, one in reports if _follows_order(one, rollout) for tally in one.tallies]
        ballots = [
            self._current_ballot(latest.get(node), rollout)
            for node in self.fleet.current_proxies(self.clock())
        ]
        return ProxyEvidence(
            tallies=tallies,
            votes=[ballot.vote if ballot else None for ballot in ballots],
            all_left=bool(ballots) and all(ballot and not ballot.pending for ballot in ballots),
        )

    def _reports(self) -> list[tuple[str, Report]]:
        """Return each incarnation's report with its proxy's node, in the order of their arrival."""
        by_arrival = sorted(self.store.heard(COUNT_PREFIX), key=lambda received: received[2])
        return [(key.split("/")[1], report.decode(value)) for key, value, _ in by_arrival]

    @staticmethod
    def _current_ballot(latest: Report | None, rollout: Rollout) -> Ballot | None:
        """Return a proxy's ballot on the rollout's present revision, or None."""
        ballot = None if latest is None else latest.ballot(rollout.service)
        return ballot if ballot is not None and ballot.revision == rollout.revision else None


def _follows_order(one: Report, rollout: Rollout) -> bool:
    """Return whether a report is of a proxy that knew the rollout's order."""
    ballot = one.ballot(rollout.service)
    return ballot is not None and ballot.known_s is not None and ballot.revision >= rollout.ordered_at
