"""Significance levels for each of many balancers, which limit how often they err together."""

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
    """The level of each balancer at which `votes` of them err together at most at FALSE_DISCOVERY_RATE.

    The balancers' hypotheses belong to one family. The number of errors has a Poisson distribution, whose
    quantile is approximated by the cube root of Wilson and Hilferty ("The distribution of chi-square", PNAS
    17, 1931).
    """
    quantile = NormalDist().inv_cdf(1 - FALSE_DISCOVERY_RATE)
    mean = votes * (1 - 1 / (9 * votes) - quantile / (3 * sqrt(votes))) ** 3
    return max(FALSE_DISCOVERY_RATE, mean) / balancers


class VoteLevels:
    """Levels and sample sizes that follow from the numbers of balancers and votes in the settings."""

    def __init__(self, settings: Settings) -> None:
        """Derives them from the settings; numbers of 0 count as 1."""
        balancers, rollback_votes = max(1, settings.balancers), max(1, settings.rollback_votes)
        level = level_per_balancer(balancers, rollback_votes)
        # Factor for the p-values of this balancer's own tests.
        self.p_value_factor = max(1.0, FALSE_DISCOVERY_RATE / level)
        # This many holding balancers stop a step. A balancer whose vote alone rolls a release back needs
        # stronger evidence to hold, so the level is also limited by the number of votes that roll back.
        holding_votes = max(1, balancers - settings.proceed_votes + 1)
        self.hold_level = min(
            rollback_votes * FALSE_DISCOVERY_RATE, level_per_balancer(balancers, holding_votes)
        )
        # Balancers whose votes are only effective together may each have a smaller sample.
        self.min_slow_outcomes = max(MIN_EXPECTED_FAILURES, MIN_OUTCOMES // rollback_votes)

    @property
    def single_vote_decides(self) -> bool:
        """Whether the vote of one of very many balancers is enough to roll a release back."""
        return self.p_value_factor > MIN_OUTCOMES
