"""A proxy's vote on the version of a rollout, based on its own counts."""

from __future__ import annotations

from honeywood.gateway.rollout.comparison import count_ended
from honeywood.gateway.rollout.rejection import RejectionMonitor
from honeywood.gateway.rollout.report import Vote
from honeywood.release_analysis.multiple_testing import FALSE_DISCOVERY_RATE, MIN_OUTCOMES

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Sequence

    from honeywood.gateway.rollout.record import Rollout
    from honeywood.gateway.rollout.report import OutcomeCounts

MAX_WAIT_S = 3.0  # after which a proxy votes even with fewer than MIN_OUTCOMES outcomes


class ProxyVoter:
    """One proxy's vote on one revision of a rollout.

    Each proxy tests at the level divided by the number of proxies (Bonferroni correction), so that all
    proxies together don't reject a good version more often than a single one would.
    """

    __slots__ = ("revision", "started_at", "_reverts", "_rejection")

    def __init__(self, revision: int, now: float, proxy_count: int) -> None:
        """Create one of `proxy_count` proxies' voters, for a revision that became known at `now`."""
        self.revision = revision
        self.started_at = now
        self._reverts = False
        self._rejection = RejectionMonitor(FALSE_DISCOVERY_RATE / max(1, proxy_count))

    @property
    def rejects_version(self) -> bool:
        """Whether the version is rejected, whether or not the rejection is confirmed."""
        return self._reverts or self._rejection.rejects

    def vote(self, now: float, rollout: Rollout, outcome_counts: Sequence[OutcomeCounts]) -> Vote | None:
        """Return the vote by the proxy's counts, or None while it is undecided.

        A vote to revert is never withdrawn.
        """
        self._reverts = self._reverts or self._rejection.update(now, rollout, outcome_counts)
        if self._reverts:
            return Vote.REVERT
        if self._rejection.rejects:
            return None
        waited = now - self.started_at >= MAX_WAIT_S
        ended = count_ended(outcome_counts, rollout.service, rollout.version)
        return Vote.PROMOTE if waited or ended >= MIN_OUTCOMES else None


class ProxyVoters:
    """One proxy's voters by service, each for the latest revision that was voted on."""

    __slots__ = ("_voters",)

    def __init__(self) -> None:
        """Create a collection without voters."""
        self._voters: dict[str, ProxyVoter] = {}

    def voter(self, now: float, rollout: Rollout, proxy_count: int) -> ProxyVoter:
        """Return the voter of a rollout's revision; if there is none, it is created with the time `now`."""
        voter = self._voters.get(rollout.service)
        if voter is None or voter.revision != rollout.revision:
            voter = self._voters[rollout.service] = ProxyVoter(rollout.revision, now, proxy_count)
        return voter

    def rejects_version_of(self, rollout: Rollout) -> bool:
        """Return whether the proxy's own counts reject the version, in this revision, confirmed or not."""
        voter = self._voters.get(rollout.service)
        return voter is not None and voter.revision == rollout.revision and voter.rejects_version
