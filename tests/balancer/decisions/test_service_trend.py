"""Whether RPCs fare worse than before a release."""

from decision_builders import settings

from honeywood.balancer.decisions.service_trend import CONFIRMATION, ServiceTrend
from honeywood.balancer.decisions.vote_levels import VoteLevels


def trend(normal, recent):
    made = ServiceTrend(VoteLevels(settings(rollback_votes=1, proceed_votes=1)))
    for poorly in normal:
        made.record(poorly, is_normal=True)
    for poorly in recent:
        made.record(poorly, is_normal=False)
    return made


def test_a_worse_trend_holds_at_once_and_rolls_back_once_it_stays():
    made = trend([False] * 100, [True] * 100)
    assert made.check(10, comparable=True) is None and made.worse_since == 10
    assert made.check(10 + CONFIRMATION - 1, comparable=True) is None
    assert "fare badly" in made.check(10 + CONFIRMATION, comparable=True)


def test_what_is_not_comparable_or_as_before_says_nothing():
    made = trend([False] * 100, [True] * 100)
    assert made.check(10, comparable=False) is None and made.worse_since is None
    made = trend([True] * 100, [True] * 100)
    assert made.check(10, comparable=True) is None and made.worse_since is None


def test_what_ailed_the_service_before_a_release_is_not_its_doing():
    made = trend([False] * 100, [True] * 100)
    made.begin_release(after_released=True)
    assert made.check(10, comparable=True) is None and made.worse_since is None
