"""Collects the outcomes of the newest release and of the one before it, as samples for statistical tests."""

from __future__ import annotations

from bisect import bisect_left
from typing import NamedTuple

from honeywood.balancer.decisions.limits import MIN_SERVER_AGE, OVERDUE_SHARE
from honeywood.balancer.model import SECOND, AttemptResult
from honeywood.release_analysis.multiple_testing import MIN_OUTCOMES
from honeywood.release_analysis.outcome_statistics import LATENCY_BIN_EDGES, OutcomeStatistics, column_sums

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Collection, Sequence

    from honeywood.balancer.decisions.server_groups import ServerGroups
    from honeywood.balancer.model import Attempt, Duration, Method, PlatformCounts, Server, Time
    from honeywood.balancer.settings import Settings

HALVING_INTERVAL = SECOND
# Number of outcomes from which on a sample is halved. Also the largest weight of the earlier release's
# outcomes in a test.
MAX_SAMPLE = 512
MAX_SLOW_SAMPLE = MAX_SAMPLE / 8
OUTCOMES = (AttemptResult.OK, AttemptResult.ERROR, AttemptResult.TIMEOUT)  # results that count as outcomes


class Sample(NamedTuple):
    """How many of some outcomes were failures, or slow, and how many to expect from the earlier release."""

    observed: float
    outcomes: float
    expected: float

    def plus(self, observed: float, expected: float) -> Sample:
        """This sample with one more outcome."""
        return Sample(self.observed + observed, self.outcomes + 1, self.expected + expected)

    def minus(self, other: Sample) -> Sample:
        """This sample without `other`, which is a part of it."""
        return Sample(
            self.observed - other.observed, self.outcomes - other.outcomes, self.expected - other.expected
        )

    def halved(self) -> Sample:
        """This sample with half the weight."""
        return Sample(self.observed / 2, self.outcomes / 2, self.expected / 2)


EMPTY_SAMPLE = Sample(0.0, 0.0, 0.0)


def total(samples: Sequence[Sample]) -> Sample:
    """The sum of samples."""
    return Sample(*column_sums(samples)) if samples else Sample(0, 0, 0)


class ServerSamples:
    """Failures and slow answers of one server on trial, by method."""

    __slots__ = ("failures", "slow")

    def __init__(self, methods: int) -> None:
        """Starts with empty samples for this number of methods."""
        self.failures = [EMPTY_SAMPLE] * methods
        self.slow = [EMPTY_SAMPLE] * methods

    def halve(self) -> None:
        """Halve large samples, so that recent outcomes weigh more than old ones."""
        self.failures = [
            sample.halved() if sample.outcomes >= MAX_SAMPLE else sample for sample in self.failures
        ]
        self.slow = [
            sample.halved() if sample.outcomes >= MAX_SLOW_SAMPLE else sample for sample in self.slow
        ]


class PlatformSample(NamedTuple):
    """Sums of the platform's counts for the newest release, and for the release before it."""

    failed: float
    ended: float
    expected_failures: float
    earlier_ended: float
    time: float  # sum of latencies of answers, in tenths of a millisecond
    expected_time: float  # the same sum at the mean latency of the earlier release
    answers: float


class ReportedCounts(NamedTuple):
    """The last counts that the platform reported for a build and method."""

    counted_at: float
    failed: int
    ended: int
    mean_latency: Duration


class ReleaseSamples:
    """The samples of the newest release and of the one before it.

    `changed` is True if a sample has changed since the tests last ran; the caller resets it.
    """

    def __init__(self, settings: Settings, servers: ServerGroups) -> None:
        """Starts with empty samples."""
        self._servers, self._methods = servers, len(settings.methods)
        self._counts_period = settings.platform_counts_period
        self.earlier = [OutcomeStatistics() for _ in settings.methods]
        self._current = [OutcomeStatistics() for _ in settings.methods]
        self.by_server: dict[Server, ServerSamples] = {}
        self.reported: dict[int, dict[int, ReportedCounts]] = {}  # by method and build
        self.platform: dict[int, PlatformSample] = {}  # by method
        self.changed = True
        self._halved_at: Time = 0

    def begin_release(self, earlier_was_good: bool) -> None:
        """Start new samples. The previous release becomes the one to compare with, unless it was rejected."""
        if earlier_was_good:
            self.earlier = self._current
        self._current = [OutcomeStatistics() for _ in range(self._methods)]
        self.by_server, self.platform = {}, {}

    def earlier_of(self, method: int) -> OutcomeStatistics:
        """The earlier release's statistics of a method, or of all methods if it has too few outcomes."""
        statistics = self.earlier[method]
        return statistics if statistics.total >= MIN_OUTCOMES else OutcomeStatistics(self.earlier)

    def add(self, attempt: Attempt, build: int | None, rejected_builds: Collection[int]) -> None:
        """Count an attempt that has ended or is overdue.

        Overdue attempts contribute their latency even if they are cancelled later, so that hedging does not
        hide a slow build.
        """
        method, index = attempt.rpc.method, attempt.rpc.method.index
        failed, ended = attempt.result == AttemptResult.ERROR, attempt.result in OUTCOMES
        overdue = attempt.latency >= OVERDUE_SHARE * method.latency_target
        timed = not attempt.latency_counted and not failed and (ended or overdue)
        attempt.latency_counted = attempt.latency_counted or timed
        if attempt.on_young_server or attempt.build in rejected_builds:
            return
        latency_bin = bisect_left(LATENCY_BIN_EDGES, attempt.latency / method.latency_target)
        if attempt.build != build:
            self.earlier[index].add(ended, failed, timed, latency_bin)
            return
        self.changed = True
        # The recent outcomes of the earlier release are the expectation: faults of both builds cancel out.
        earlier = self.earlier_of(index)
        self._current[index].add(ended, failed, timed, latency_bin)
        samples = self.by_server.setdefault(attempt.server, ServerSamples(self._methods))
        if ended:
            expected = earlier.failed / (earlier.ended or 1)
            samples.failures[index] = samples.failures[index].plus(failed, expected)
        if timed and len(self._servers.newest) < len(self._servers.ready):
            slow_bin, share = earlier.slow_threshold()
            samples.slow[index] = samples.slow[index].plus(latency_bin >= slow_bin, share)

    def add_incorrect_answer(self, server: Server, method: Method) -> None:
        """Count an answer as a failure that was counted as a success before."""
        if server in self.by_server:
            failures = self.by_server[server].failures
            sample = failures[method.index]
            failures[method.index] = sample._replace(observed=sample.observed + 1)
            self.changed = True

    def add_platform_counts(
        self, now: Time, counts: PlatformCounts, build: int | None, rejected_builds: Collection[int]
    ) -> None:
        """Add counts of the platform.

        They are delayed and sampled, but they cover all balancers, and each balancer receives the same
        counts.
        """
        counted_at, index = now - counts.age, counts.method.index
        reported = self.reported.setdefault(index, {})
        reported[counts.build] = ReportedCounts(counted_at, counts.failed, counts.ended, counts.mean_latency)
        if build is None:
            return
        same_period = [
            other
            for other, other_counts in reported.items()
            if abs(other_counts.counted_at - counted_at) < self._counts_period // 2 and other_counts.ended
        ]
        earlier = max(
            (other for other in same_period if other < build and other not in rejected_builds), default=None
        )
        if not earlier or build not in same_period or counts.build not in (earlier, build):
            return
        if not self._half_is_mature(counted_at - self._counts_period):
            return
        self.changed = True
        self.platform[index] = self._add_period(self.platform.get(index), reported[build], reported[earlier])

    def _half_is_mature(self, since: float) -> bool:
        """Whether half of the release's servers were mature at `since` and other builds have servers."""
        newest = self._servers.newest
        mature = sum(server.started_at + MIN_SERVER_AGE <= since for server in newest)
        return len(self._servers.ready) > len(newest) <= 2 * mature

    @staticmethod
    def _add_period(
        sample: PlatformSample | None, new: ReportedCounts, earlier: ReportedCounts
    ) -> PlatformSample:
        """The sample with one more period: counts are summed up, latencies are those of this period only."""
        sample = sample or PlatformSample(0.0, 0.0, 0.0, 0.0, 0.0, 0.0, 0.0)
        # If all RPCs of the earlier release failed, its mean latency is 0 and there is nothing to compare
        # with.
        comparable = earlier.ended > earlier.failed and earlier.mean_latency > 0
        answers = (new.ended - new.failed) * comparable
        return PlatformSample(
            sample.failed + new.failed,
            sample.ended + new.ended,
            sample.expected_failures + new.ended * earlier.failed / earlier.ended,
            sample.earlier_ended + earlier.ended,
            answers * new.mean_latency,
            answers * earlier.mean_latency,
            answers,
        )

    def on_timer(self, now: Time) -> None:
        """Halve the statistics and large samples once per HALVING_INTERVAL."""
        if now - self._halved_at < HALVING_INTERVAL:
            return
        self._halved_at, self.changed = now, True
        for statistics in self.earlier + self._current:
            statistics.halve()
        for samples in self.by_server.values():
            samples.halve()
