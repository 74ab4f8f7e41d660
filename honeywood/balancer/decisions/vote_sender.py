"""Sends a balancer's votes, and repeats those that were not accepted or are about to expire."""

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

MIN_INTERVAL = SECOND // 2  # between two votes


class Ballot(NamedTuple):
    """A vote on a step of a release."""

    build: int
    step: int
    vote: Vote


class VoteSender:
    """Sends one vote at a time; the platform answers each."""

    def __init__(self, settings: Settings, host: Host, random: Random) -> None:
        """Starts without an accepted vote."""
        self._host, self._random = host, random
        self._renew_after = settings.vote_ttl // 2
        self._answer_timeout = settings.vote_timeout + 2 * TIMER_PERIOD
        self.accepted: Ballot | None = None  # the last vote that the platform accepted
        self._accepted_at: Time = 0
        self._pending: Ballot | None = None  # the vote without an answer
        self._sent_at = -inf
        self._jitter = 1.0

    def on_answer(self, now: Time, accepted: bool) -> None:
        """Record the platform's answer to the pending vote."""
        if self._pending:
            if accepted:
                self.accepted, self._accepted_at = self._pending, now
            self._pending = None

    def cast(self, now: Time, ballot: Ballot, reasons: Sequence[ReleaseTestResult]) -> None:
        """Send a vote, unless it is accepted and does not expire soon, or an earlier vote is still pending.

        A pending vote is given up after the answer timeout. `reasons` are handed to the observer.
        """
        if self.accepted == ballot and now - self._accepted_at < self._renew_after * self._jitter:
            return
        wait = self._answer_timeout if self._pending else MIN_INTERVAL
        if now - self._sent_at < wait * self._jitter:
            return
        self._pending, self._sent_at = ballot, now
        # Jitter spreads the votes of many balancers over time: the platform's rate limit is shared by all.
        self._jitter = 0.8 + 0.4 * self._random.random()
        if self._host.observer:
            self._host.observer.tested(now, reasons)
        self._host.vote(*ballot)
