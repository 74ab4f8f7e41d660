"""A controller's decision on the next step of a rollout, by the counts and votes of all proxies."""

from __future__ import annotations

from dataclasses import dataclass

from honeywood.gateway.rollout.comparison import count_ended, known_in_full_stage, pool
from honeywood.gateway.rollout.condition_timer import ConditionTimer
from honeywood.gateway.rollout.record import RolloutStage, RolloutState
from honeywood.gateway.rollout.rejection import RejectionMonitor
from honeywood.gateway.rollout.report import Vote
from honeywood.release_analysis.multiple_testing import MIN_OUTCOMES

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Sequence

    from honeywood.gateway.rollout.record import Rollout
    from honeywood.gateway.rollout.report import OutcomeCounts

# Fractions are of the duration that the order allows for the rollout.
MIN_TRIAL_FRACTION = 0.55  # minimum length of the trial stage: a version may begin to fail late
MAX_TRIAL_FRACTION = 0.7  # afterwards the full stage no longer waits for missing votes and outcomes
MIN_FULL_OUTCOMES = 25  # required, without a rejection, before the version gets all traffic without a bound
# Minimum length of the wide stage. Slow answers end last, so the first outcomes look better than the rest.
MIN_WIDE_S = 0.6
MAX_WIDE_FRACTION = 0.85  # afterwards few outcomes are due to few requests, not to a small allowance
MIN_DONE_OUTCOMES = MIN_OUTCOMES  # required before the established endpoints are given up
# Attempts sent in the full stage of which it is known whether they are slow, required for the same. If half
# of all are slow, at most a third of 40 are with a probability of 0.02, of 20 with 0.13.
MIN_DONE_FULL_STAGE_ATTEMPTS = 40
MIN_DONE_FRACTION = 0.9  # afterwards a rollout with fewer or doubtful outcomes is done as well
MIN_DRAINED_S = 0.4  # for which all proxies must have left the established endpoints


@dataclass(frozen=True, slots=True)
class RolloutChange:
    """A change of a rollout's state or stage; `reason` is for the log."""

    state: RolloutState | None = None
    stage: RolloutStage | None = None
    reason: str = ""


class RolloutEvaluator:
    """One controller's repeated evaluation of one revision of a rollout."""

    __slots__ = ("revision", "_rejection", "_drained", "_wide")

    def __init__(self, revision: int) -> None:
        """Create an evaluator that has not evaluated the revision yet."""
        self.revision = revision
        self._rejection = RejectionMonitor()
        self._drained = ConditionTimer()
        self._wide = ConditionTimer()

    def evaluate(
        self,
        now: float,
        elapsed_s: float,
        rollout: Rollout,
        outcome_counts: Sequence[OutcomeCounts],
        votes: Sequence[Vote | None],
        drained: bool,
    ) -> RolloutChange | None:
        """Return the change to make to an active rollout now, `elapsed_s` seconds after its order, or None.

        `votes` has an element for each proxy that serves traffic. `drained` says that none of these proxies
        has attempts in flight at the established endpoints or still needs these endpoints.
        """
        confirmed = self._rejection.update(now, rollout, outcome_counts)
        if confirmed or Vote.REVERT in votes:
            reason = self._rejection.reason if self._rejection.rejects else "a proxy's vote"
            return RolloutChange(state=RolloutState.REVERTED, reason=reason)
        if self._rejection.rejects:  # at most the trial stage until it is confirmed or no longer holds
            if rollout.stage is not RolloutStage.FULL:
                return None
            return RolloutChange(stage=RolloutStage.TRIAL, reason=self._rejection.reason)
        fraction = elapsed_s / rollout.duration_s
        ended = count_ended(outcome_counts, rollout.service, rollout.version)
        if rollout.stage is RolloutStage.TRIAL:
            return self._leave_trial(fraction, ended, votes)
        if rollout.stage is RolloutStage.WIDE:
            return self._leave_wide(now, fraction, ended)
        is_known = _full_stage_is_known(rollout, outcome_counts)
        return self._finish(now, fraction, ended, is_known, drained)

    @staticmethod
    def _leave_trial(fraction: float, ended: float, votes: Sequence[Vote | None]) -> RolloutChange | None:
        if fraction < MIN_TRIAL_FRACTION:
            return None
        if ended < MIN_FULL_OUTCOMES:
            return RolloutChange(stage=RolloutStage.WIDE)
        unanimous = bool(votes) and all(vote is Vote.PROMOTE for vote in votes)
        if unanimous or fraction >= MAX_TRIAL_FRACTION:
            return RolloutChange(stage=RolloutStage.FULL)
        return None

    def _leave_wide(self, now: float, fraction: float, ended: float) -> RolloutChange | None:
        is_stable = self._wide.check(now, True) >= MIN_WIDE_S
        if is_stable and ended >= MIN_FULL_OUTCOMES or fraction >= MAX_WIDE_FRACTION:
            return RolloutChange(stage=RolloutStage.FULL)
        return None

    def _finish(
        self, now: float, fraction: float, ended: float, is_known: bool, drained: bool
    ) -> RolloutChange | None:
        is_late = fraction >= MIN_DONE_FRACTION
        is_accepted = ended >= MIN_DONE_OUTCOMES and not self._rejection.is_doubtful
        may_finish = drained and (is_late or is_accepted)
        if self._drained.check(now, may_finish) >= MIN_DRAINED_S and (is_late or is_known):
            return RolloutChange(state=RolloutState.DONE)
        return None


def _full_stage_is_known(rollout: Rollout, outcome_counts: Sequence[OutcomeCounts]) -> bool:
    """Return whether enough is known of the full stage, or only proxies of earlier releases report."""
    known = known_in_full_stage(pool(outcome_counts, rollout.service, rollout.version))
    return known is None or known >= MIN_DONE_FULL_STAGE_ATTEMPTS
