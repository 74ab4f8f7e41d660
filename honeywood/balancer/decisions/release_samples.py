"""What was seen of the newest release and of the one before it: the samples that are tested."""

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
MAX_SAMPLE = 512  # outcomes of a sample from which on it is halved; the earlier release's counts as so many
MAX_SLOW_SAMPLE = MAX_SAMPLE / 8
OUTCOMES = (AttemptResult.OK, AttemptResult.ERROR, AttemptResult.TIMEOUT)


class Sample(NamedTuple):
    """What was observed of how many outcomes, and how many the earlier release lets expect."""

    observed: float
    outcomes: float
    expected: float

    def plus(self, observed: float, expected: float) -> Sample:
        """With one more outcome."""
        return Sample(self.observed + observed, self.outcomes + 1, self.expected + expected)

    def minus(self, other: Sample) -> Sample:
        """Without a part of it."""
        return Sample(
            self.observed - other.observed, self.outcomes - other.outcomes, self.expected - other.expected
        )

    def halved(self) -> Sample:
        """Half of it."""
        return Sample(self.observed / 2, self.outcomes / 2, self.expected / 2)


NO_SAMPLE = Sample(0.0, 0.0, 0.0)


def total(samples: Sequence[Sample]) -> Sample:
    """The sum of samples."""
    return Sample(*column_sums(samples)) if samples else Sample(0, 0, 0)


class ServerSamples:
    """Failures and slow answers of one server on trial, by method."""

    __slots__ = ("failures", "slow")

    def __init__(self, methods: int) -> None:
        """Nothing was seen yet."""
        self.failures = [NO_SAMPLE] * methods
        self.slow = [NO_SAMPLE] * methods

    def halve(self) -> None:
        """Halve samples that have grown large: old outcomes count less than late ones."""
        self.failures = [
            sample.halved() if sample.outcomes >= MAX_SAMPLE else sample for sample in self.failures
        ]
        self.slow = [
            sample.halved() if sample.outcomes >= MAX_SLOW_SAMPLE else sample for sample in self.slow
        ]


class PlatformSample(NamedTuple):
    """Sums of what the platform counted of the newest release, against the release before it."""

    failed: float
    ended: float
    expected_failures: float
    earlier_ended: float
    time: float  # sum of latencies of answers
    expected_time: float
    answers: float


class ReportedCounts(NamedTuple):
    """What the platform told last of a build and method."""

    counted_at: float
    failed: int
    ended: int
    mean_latency: Duration


class ReleaseSamples:
    """The samples of the newest release, `build`; `changed` says whether one did since tests ran."""

    def __init__(self, settings: Settings, servers: ServerGroups) -> None:
        """Nothing was seen yet."""
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
        """A new release has come; what was seen of the one before it is what it is compared with, if good."""
        if earlier_was_good:
            self.earlier = self._current
        self._current = [OutcomeStatistics() for _ in range(self._methods)]
        self.by_server, self.platform = {}, {}

    def earlier_of(self, method: int) -> OutcomeStatistics:
        """The earlier release's statistics; of all methods for one too rare to be compared by itself."""
        statistics = self.earlier[method]
        return statistics if statistics.total >= MIN_OUTCOMES else OutcomeStatistics(self.earlier)

    def add(self, attempt: Attempt, build: int | None, rejected_builds: Collection[int]) -> None:
        """Count an attempt that has ended or is overdue.

        What is overdue, or was called back late, tells of latencies: hedging does not hide a slow build.
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
        # What the earlier release did just now is what was to be expected here: faults of both cancel out.
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
        """An answer that was counted as a good one was wrong."""
        if server in self.by_server:
            failures = self.by_server[server].failures
            sample = failures[method.index]
            failures[method.index] = sample._replace(observed=sample.observed + 1)
            self.changed = True

    def add_platform_counts(
        self, now: Time, counts: PlatformCounts, build: int | None, rejected_builds: Collection[int]
    ) -> None:
        """Count what the platform told: late and sampled, but of all balancers and the same for each."""
        counted_at, index = now - counts.age, counts.method.index
        reported = self.reported.setdefault(index, {})
        reported[counts.build] = ReportedCounts(counted_at, counts.failed, counts.ended, counts.mean_latency)
        if build is None:
            return
        same_period = [
            other
            for other, line in reported.items()
            if abs(line.counted_at - counted_at) < self._counts_period // 2 and line.ended
        ]
        earlier = max(
            (other for other in same_period if other < build and other not in rejected_builds), default=None
        )
        if not earlier or build not in same_period or counts.build not in (earlier, build):
            return
        if not self._half_is_mature(counted_at - self._counts_period):
            return
        self.changed = True
        self.platform[index] = self._compared(self.platform.get(index), reported[build], reported[earlier])

    def _half_is_mature(self, since: float) -> bool:
        """Whether half of the release's servers were no longer young then, and others stand beside them."""
        newest = self._servers.newest
        mature = sum(server.started_at + MIN_SERVER_AGE <= since for server in newest)
        return len(self._servers.ready) > len(newest) <= 2 * mature

    @staticmethod
    def _compared(
        sample: PlatformSample | None, new: ReportedCounts, earlier: ReportedCounts
    ) -> PlatformSample:
        """The sample with one more period."""
        sample = sample or PlatformSample(0.0, 0.0, 0.0, 0.0, 0.0, 0.0, 0.0)
        # Where all of the earlier release's failed there is no latency to compare with; their mean is 0.
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
        """Halve what is old."""
        if now - self._halved_at < HALVING_INTERVAL:
            return
        self._halved_at, self.changed = now, True
        for statistics in self.earlier + self._current:
            statistics.halve()
        for samples in self.by_server.values():
            samples.halve()
