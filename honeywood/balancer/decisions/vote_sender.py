"""Sends a balancer's votes, and again where they may not count or would lapse."""

from __future__ import annotations

from math import inf
from typing import NamedTuple

from honeywood.balancer.decisions.limits import TIMER_PERIOD
from honeywood.balancer.model import SECOND

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Sequence
    from random import Random

    from honeywood.balancer.interface import Host
    from honeywood.balancer.model import ReleaseTestResult, Time, Vote
    from honeywood.balancer.settings import Settings

MIN_INTERVAL = SECOND // 2


class Ballot(NamedTuple):
    """A vote on a step of a release."""

    build: int
    step: int
    vote: Vote


class VoteSender:
    """One vote is asked for at a time; the platform answers each."""

    def __init__(self, settings: Settings, host: Host, random: Random) -> None:
        """No vote counts yet."""
        self._host, self._random = host, random
        self._renew_after = settings.vote_ttl // 2
        self._answer_timeout = settings.vote_timeout + 2 * TIMER_PERIOD
        self.counted: Ballot | None = None  # the last vote that the platform counts
        self._counted_at: Time = 0
        self._asked: Ballot | None = None
        self._asked_at = -inf
        self._spread = 1.0

    def on_answer(self, now: Time, counts: bool) -> None:
        """The platform answered the last vote."""
        if self._asked:
            if counts:
                self.counted, self._counted_at = self._asked, now
            self._asked = None

    def cast(self, now: Time, ballot: Ballot, reasons: Sequence[ReleaseTestResult]) -> None:
        """Vote, unless the same vote counts and does not lapse soon, or the last one has no answer yet."""
        if self.counted == ballot and now - self._counted_at < self._renew_after * self._spread:
            return
        wait = self._answer_timeout if self._asked else MIN_INTERVAL
        if now - self._asked_at < wait * self._spread:
            return
        self._asked, self._asked_at = ballot, now
        # Chance spreads the votes of many balancers: they share what the platform takes in a second.
        self._spread = 0.8 + 0.4 * self._random.random()
        if self._host.observer:
            self._host.observer.tested(now, reasons)
        self._host.vote(*ballot)
