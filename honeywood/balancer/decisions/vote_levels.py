"""The levels at which each of many balancers tests: together they err no more often than one would."""

from __future__ import annotations

from math import sqrt
from statistics import NormalDist

from honeywood.release_analysis.multiple_testing import (
    FALSE_DISCOVERY_RATE,
    MIN_EXPECTED_FAILURES,
    MIN_OUTCOMES,
)

TYPE_CHECKING = False
if TYPE_CHECKING:
    from honeywood.balancer.settings import Settings


def level_per_balancer(balancers: int, votes: int) -> float:
    """The level of each, so that `votes` of them err together no more often than FALSE_DISCOVERY_RATE.

    The balancers' hypotheses are some of one family's; the count of errors is Poisson's, whose quantile
    Wilson and Hilferty's cube root approximates ("The distribution of chi-square", PNAS 17, 1931).
    """
    quantile = NormalDist().inv_cdf(1 - FALSE_DISCOVERY_RATE)
    mean = votes * (1 - 1 / (9 * votes) - quantile / (3 * sqrt(votes))) ** 3
    return max(FALSE_DISCOVERY_RATE, mean) / balancers


class VoteLevels:
    """What the settings' counts of balancers and votes make of the level and of samples."""

    def __init__(self, settings: Settings) -> None:
        """Counts of 0 are taken for 1."""
        balancers, rollback_votes = max(1, settings.balancers), max(1, settings.rollback_votes)
        level = level_per_balancer(balancers, rollback_votes)
        self.p_value_factor = max(1.0, FALSE_DISCOVERY_RATE / level)  # each own p-value is multiplied by it
        # So many that hold stop a step; but a balancer whose vote alone rolls back must be surer.
        holding_votes = max(1, balancers - settings.proceed_votes + 1)
        self.hold_level = min(
            rollback_votes * FALSE_DISCOVERY_RATE, level_per_balancer(balancers, holding_votes)
        )
        # Balancers whose votes are needed together share the sample.
        self.min_slow_outcomes = max(MIN_EXPECTED_FAILURES, MIN_OUTCOMES // rollback_votes)

    @property
    def single_vote_decides(self) -> bool:
        """Whether one of very many balancers rolls a release back by its vote alone."""
        return self.p_value_factor > MIN_OUTCOMES
