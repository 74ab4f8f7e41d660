"""Tests the outcomes of the newest release and decides how the balancer votes on it."""

from __future__ import annotations

from math import inf
from typing import NamedTuple

from honeywood.balancer.decisions.limits import MIN_SERVER_AGE
from honeywood.balancer.decisions.release_samples import ReleaseSamples
from honeywood.balancer.decisions.release_tests import release_tests
from honeywood.balancer.decisions.service_trend import CONFIRMATION as TREND_CONFIRMATION
from honeywood.balancer.decisions.service_trend import ServiceTrend
from honeywood.balancer.decisions.vote_levels import VoteLevels
from honeywood.balancer.decisions.vote_sender import Ballot, VoteSender
from honeywood.balancer.model import SECOND, ReleaseState, Vote
from honeywood.balancer.settings import VoteRule
from honeywood.release_analysis.multiple_testing import (
    FALSE_DISCOVERY_RATE,
    MIN_OUTCOMES,
    benjamini_hochberg,
)

TYPE_CHECKING = False
if TYPE_CHECKING:
    from random import Random

    from honeywood.balancer.decisions.list_watch import ListWatch
    from honeywood.balancer.decisions.server_groups import ServerGroups
    from honeywood.balancer.interface import Host
    from honeywood.balancer.model import (
        Attempt,
        Method,
        PlatformCounts,
        ReleaseTestResult,
        ReleaseUpdate,
        Server,
        Time,
    )
    from honeywood.balancer.settings import Settings

CONFIRMATION = 1 * SECOND  # how long tests must reject a release before the balancer does
# A step counts as started after START_TIMEOUT even if its servers are not listed, and after
# COUNTED_START_TIMEOUT if the platform's counts show that they receive RPCs.
START_TIMEOUT = 8 * SECOND
COUNTED_START_TIMEOUT = 5 * SECOND
STARTED_SHARE = 0.9  # share of a step's servers that must be listed
# Share of the servers before a release; with fewer ready ones, RPCs are degraded for lack of servers.
SERVERS_LEFT_SHARE = 0.9


class Trial(NamedTuple):
    """The limits of a build on trial: the share of RPCs it may receive, and the step of its release."""

    cap: float
    step: int


class ReleaseVerdict:
    """Counts outcomes by build and method, tests them and votes.

    `build`, `step` and `state` are the last ones that the platform reported; `build` and `state` are None
    before its first report.
    """

    def __init__(
        self, settings: Settings, host: Host, random: Random, servers: ServerGroups, list_watch: ListWatch
    ) -> None:
        """Starts without a known release."""
        self._host, self._servers, self._list_watch = host, servers, list_watch
        self._vote_rule, self._waves, self._first_cap = settings.vote_rule, settings.waves, settings.caps[0]
        self.build: int | None = None
        self.step = 0
        self.state: ReleaseState | None = None
        self.rejected_builds: list[int] = []  # rejected by this balancer or by others
        self.servers_before = 0  # ready servers of earlier builds when the release began
        self.suspect_since: Time | None = None  # time since which the tests reject the release
        self._cap = 0.0
        self._step_began_at: Time = 0
        self._results: list[ReleaseTestResult] = []
        self._levels = VoteLevels(settings)
        self._samples = ReleaseSamples(settings, servers)
        self._trend = ServiceTrend(self._levels)
        self._votes = VoteSender(settings, host, random)

    @property
    def accepted_vote(self) -> Ballot | None:
        """The last vote that the platform accepted."""
        return self._votes.accepted

    def trial_of(self, build: int) -> Trial | None:
        """The cap and step of a build on trial, None for any other build.

        A build later than the newest known release is on trial at the first step. Before the platform has
        reported a release, the newest of several listed builds is on trial at the first step.
        """
        if self.build is None:
            builds = [build] + [server.build for server in self._servers.listed]
            return Trial(self._first_cap, 0) if build == max(builds) > min(builds) else None
        if build < self.build or (build == self.build and self.state == ReleaseState.RELEASED):
            return None
        return Trial(self._cap, self.step) if build == self.build else Trial(self._first_cap, 0)

    def on_update(self, now: Time, update: ReleaseUpdate) -> None:
        """Apply the state of the newest release as the platform reported it."""
        build, step, cap, state, age = update
        if (build, step, state) != (self.build, self.step, self.state):
            if build != self.build:
                self._begin_release(build)
            self._step_began_at, self._samples.changed = now - age, True
        self.build, self.step, self._cap, self.state = build, step, cap, state
        if state in (ReleaseState.ROLLING_BACK, ReleaseState.WITHDRAWN):
            self._reject("others sent it back")
        self._servers.regroup(self)

    def on_vote_answered(self, now: Time, update: ReleaseUpdate | None) -> None:
        """Apply the answer to the last vote: the release's state, or None if the vote was not accepted."""
        self._votes.on_answer(now, accepted=update is not None)
        if update is not None:
            self.on_update(now, update)

    def on_result(self, attempt: Attempt) -> None:
        """Count an attempt that has ended or is overdue."""
        self._samples.add(attempt, self.build, self.rejected_builds)

    def on_incorrect_answer(self, server: Server, method: Method) -> None:
        """Count an answer that the platform reported as incorrect."""
        self._samples.add_incorrect_answer(server, method)

    def on_platform_counts(self, now: Time, counts: PlatformCounts) -> None:
        """Add the platform's counts."""
        self._samples.add_platform_counts(now, counts, self.build, self.rejected_builds)

    def on_rpc_outcome(self, now: Time, degraded: bool) -> None:
        """Record that an RPC has ended or is overdue.

        Outcomes that may have been caused by the newest release do not enter the baseline.
        """
        just_released = (
            self.state == ReleaseState.RELEASED and now - self._step_began_at < 2 * TREND_CONFIRMATION
        )
        may_be_cause = (self.state == ReleaseState.ON_TRIAL or just_released) and self.servers_before > 0
        self._trend.record(degraded, is_baseline=not may_be_cause)

    def on_timer(self, now: Time) -> None:
        """Test the release and vote on it."""
        self._samples.on_timer(now)
        self._trend.decay(now)
        if self.build is None or self.state not in (ReleaseState.ON_TRIAL, ReleaseState.RELEASED):
            return
        if reason := self._trend.check(now, self._trend_is_comparable()):
            self._reject(reason)
        self._test(now)
        vote = self._vote(now)
        if vote is not None:
            self._votes.cast(now, Ballot(self.build, self.step, vote), self._results)

    def _begin_release(self, build: int) -> None:
        self._trend.begin_release(previous_released=self.state == ReleaseState.RELEASED)
        self.suspect_since = None
        self.servers_before = sum(server.build < build for server in self._servers.ready)
        was_good = self.build is not None and self.build not in self.rejected_builds
        self._samples.begin_release(earlier_was_good=was_good)
        listed = {server.build for server in self._servers.listed}
        self.rejected_builds = [rejected for rejected in self.rejected_builds if rejected in listed]

    def _trend_is_comparable(self) -> bool:
        """Whether the trend may be attributed to the release.

        RPCs may also be degraded because the server list is stale or there are fewer servers than before.
        """
        enough = len(self._servers.ready) >= SERVERS_LEFT_SHARE * self.servers_before
        return enough and not self._list_watch.is_stale

    def _test(self, now: Time) -> None:
        """Reject the release if the tests have rejected it for at least CONFIRMATION."""
        if self._samples.changed:  # p-values are only computed again if a count has changed
            self._samples.changed = False
            self._results = release_tests(self._samples, self._levels)
        p_values = [result.p_value for result in self._results]
        rejects = benjamini_hochberg(p_values, FALSE_DISCOVERY_RATE)
        self.suspect_since = (self.suspect_since or now) if rejects else None
        if self.suspect_since is not None and now - self.suspect_since >= CONFIRMATION:
            worst = min(self._results)
            self._reject(
                f"{worst.name}, {worst.observed:.0f} of {worst.outcomes:.0f} where the earlier build lets "
                f"expect {worst.expected:.1f}, p {worst.p_value:.4f} in {len(self._results)} tests"
            )

    def _reject(self, reason: str) -> None:
        if self.build is not None and self.build not in self.rejected_builds:
            self.rejected_builds.append(self.build)
            self._servers.regroup(self)
            self._host.log(f"build {self.build} found bad at step {self.step}: {reason}")

    def _vote(self, now: Time) -> Vote | None:
        """The vote on the current step, None if there is none to cast."""
        if self.build in self.rejected_builds:
            return Vote.ROLL_BACK
        if self.state != ReleaseState.ON_TRIAL:
            return None
        if self._vote_rule == VoteRule.CLOCK:
            return self._vote_under_clock_rule()
        if self.suspect_since is None and self._trend.worse_since is None and self._step_started(now):
            return Vote.PROCEED
        return None

    def _vote_under_clock_rule(self) -> Vote | None:
        """The vote if steps proceed by themselves: it can only hold a step, or withdraw such a vote."""
        if min((result.p_value for result in self._results), default=1) <= FALSE_DISCOVERY_RATE:
            return Vote.HOLD
        has_held = self.accepted_vote is not None and self.accepted_vote.vote == Vote.HOLD
        return Vote.NONE if has_held else None

    def _step_started(self, now: Time) -> bool:
        """Whether the step's servers are listed, and the step and the servers have reached MIN_SERVER_AGE."""
        newest = self._servers.newest_by_start
        expected = STARTED_SHARE * self._waves[self.step] * self.servers_before
        if len(newest) < expected and now - self._step_began_at < self._start_timeout():
            return False
        if not newest:
            return False
        return now - max(newest[-1].started_at, self._step_began_at) >= MIN_SERVER_AGE

    def _start_timeout(self) -> float:
        """How long to wait for servers to be listed; shorter if the platform's counts show that they run."""
        none = (-inf, 0, 0, 0)
        rows = [rows.get(self.build or 0, none) for rows in self._samples.reported.values()]
        ended = sum(row[2] for row in rows if row[0] > self._step_began_at)
        return COUNTED_START_TIMEOUT if ended >= MIN_OUTCOMES else START_TIMEOUT
