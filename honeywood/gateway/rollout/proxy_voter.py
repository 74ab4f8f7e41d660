"""A proxy's vote on the version of a rollout, by its own counts."""

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

MAX_WAIT_S = 3.0  # seconds after which a proxy with fewer outcomes votes as well


class ProxyVoter:
    """One proxy's vote on one revision of a rollout.

    Each proxy tests at its part of the level, so that all together err no more often than one would (the
    correction of Bonferroni).
    """

    __slots__ = ("revision", "started_at", "_reverts", "_rejection")

    def __init__(self, revision: int, now: float, proxy_count: int) -> None:
        """Begin a vote among `proxy_count` proxies on a revision that is known since `now`."""
        self.revision = revision
        self.started_at = now
        self._reverts = False
        self._rejection = RejectionMonitor(FALSE_DISCOVERY_RATE / max(1, proxy_count))

    @property
    def suspects(self) -> bool:
        """Whether the version is rejected, confirmed or not."""
        return self._reverts or self._rejection.rejects

    def vote(self, now: float, rollout: Rollout, outcome_counts: Sequence[OutcomeCounts]) -> Vote | None:
        """Return the vote by the proxy's counts, None while there is too little to say.

        A vote to revert stays.
        """
        self._reverts = self._reverts or self._rejection.confirms(now, rollout, outcome_counts)
        if self._reverts:
            return Vote.REVERT
        if self._rejection.rejects:
            return None
        waited = now - self.started_at >= MAX_WAIT_S
        ended = count_ended(outcome_counts, rollout.service, rollout.version)
        return Vote.PROMOTE if waited or ended >= MIN_OUTCOMES else None


class ProxyVoters:
    """One proxy's voters by service, each for the revision that was voted on last."""

    __slots__ = ("_voters",)

    def __init__(self) -> None:
        """No rollout has been voted on."""
        self._voters: dict[str, ProxyVoter] = {}

    def voter(self, now: float, rollout: Rollout, proxy_count: int) -> ProxyVoter:
        """Return the voter of a rollout's revision, which begins `now` where there is none yet."""
        voter = self._voters.get(rollout.service)
        if voter is None or voter.revision != rollout.revision:
            voter = self._voters[rollout.service] = ProxyVoter(rollout.revision, now, proxy_count)
        return voter

    def suspect(self, rollout: Rollout) -> bool:
        """Return whether the proxy's own counts reject the version of this revision, confirmed or not."""
        voter = self._voters.get(rollout.service)
        return voter is not None and voter.revision == rollout.revision and voter.suspects
