"""Counters of how one proxy's attempts ended while rollouts are active."""

from __future__ import annotations

from bisect import bisect_left
from dataclasses import dataclass, field
from typing import TypeVar

from honeywood.gateway.rollout.record import RolloutStage
from honeywood.gateway.rollout.report import FullStageCounts, OutcomeCounts
from honeywood.gateway.routing.outcomes import AttemptOutcome
from honeywood.release_analysis.outcome_statistics import LATENCY_BIN_EDGES, OutcomeStatistics

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from honeywood.gateway.rollout.record import Rollout
    from honeywood.gateway.routing.endpoint import Endpoint
    from honeywood.gateway.routing.pending_request import PendingRequest

# Latency of a service's slowest machines as a multiple of the typical latency, regardless of their version.
MACHINE_LATENCY_SPREAD = 1.5
LATENCY_BINS = len(LATENCY_BIN_EDGES) + 1

CounterKey = tuple[str, str, str]  # service, route and version
_AnyCounter = TypeVar("_AnyCounter")


@dataclass(frozen=True, slots=True)
class OpenAttempt:
    """An attempt in flight that was sent at `sent_at` (seconds on the proxy's clock)."""

    request: PendingRequest
    endpoint: Endpoint
    sent_at: float


@dataclass(slots=True)
class _Counter:
    """Outcomes of attempts that ended, and by bin the waiting times of those without an answer."""

    outcomes: OutcomeStatistics = field(default_factory=OutcomeStatistics)
    unanswered: list[float] = field(default_factory=lambda: [0.0] * LATENCY_BINS)

    def copy(self) -> _Counter:
        """Return a counter with the same counts whose unanswered attempts can be changed."""
        return _Counter(self.outcomes, [*self.unanswered])


@dataclass(slots=True)
class _FullStageCounter:
    """Attempts sent in the full stage, by the bins of their latencies or waiting times."""

    answered: list[float] = field(default_factory=lambda: [0.0] * LATENCY_BINS)
    unanswered: list[float] = field(default_factory=lambda: [0.0] * LATENCY_BINS)

    def copy(self) -> _FullStageCounter:
        """Return a counter with the same counts whose unanswered attempts can be changed."""
        return _FullStageCounter(self.answered, [*self.unanswered])


class OutcomeCounters:
    """Outcome counters by service, route and version.

    Attempts at a new version that were sent since it last got all traffic are also counted by themselves:
    added to the outcomes of its trial, they would make a version that turns slow then look good for too long.
    """

    __slots__ = ("_counters", "_full_stage_counters", "_full_stage_since")

    def __init__(self) -> None:
        """Create empty counters."""
        self._counters: dict[CounterKey, _Counter] = {}
        self._full_stage_counters: dict[CounterKey, _FullStageCounter] = {}
        self._full_stage_since: dict[str, float] = {}  # by service; seconds on the proxy's clock

    def begin_full_stage(self, now: float, rollout: Rollout) -> None:
        """Count by themselves the attempts at the new version that are sent from now on.

        Routes that were on trial begin with zeros, which say that nothing is known of the full stage yet.
        """
        self._full_stage_since[rollout.service] = now
        self._full_stage_counters = _without(self._full_stage_counters, rollout.service)
        for service, route, version in self._counters:
            if (service, version) == (rollout.service, rollout.version):
                self._full_stage_counters[service, route, version] = _FullStageCounter()

    def record(
        self,
        now: float,
        rollout: Rollout,
        request: PendingRequest,
        endpoint: Endpoint,
        outcome: AttemptOutcome,
        latency_s: float,
    ) -> bool:
        """Count an attempt at the service of an active rollout that has ended after `latency_s` seconds.

        An abandoned attempt has no outcome, but its latency is known to be higher. Return whether the attempt
        is counted: not if it was not run, or if the endpoint is warming up.
        """
        if outcome is AttemptOutcome.NOT_RUN or not _is_warm(now, endpoint):
            return False
        key = _key(request, endpoint)
        counter = self._counters.setdefault(key, _Counter())
        latency_bin = _latency_bin(rollout, request, endpoint, latency_s)
        if outcome is AttemptOutcome.ABANDONED:
            counter.unanswered[latency_bin] += 1
        else:
            counter.outcomes.add(1, outcome is not AttemptOutcome.SUCCESS, 1, latency_bin)
        if self._was_sent_in_full_stage(rollout, endpoint, now - latency_s):
            full_stage = self._full_stage_counters.setdefault(key, _FullStageCounter())
            bins = full_stage.unanswered if outcome is AttemptOutcome.ABANDONED else full_stage.answered
            bins[_reduced_latency_bin(request, latency_s)] += 1
        return True

    def _was_sent_in_full_stage(self, rollout: Rollout, endpoint: Endpoint, sent_at: float) -> bool:
        """Return whether an attempt was sent at the new version since that last got all traffic."""
        since = self._full_stage_since.get(rollout.service)
        return since is not None and endpoint.version == rollout.version and sent_at >= since

    def reset(self, service: str) -> None:
        """Drop the counters of a service; outcomes from before an order must not count for it."""
        self._counters = _without(self._counters, service)
        self._full_stage_counters = _without(self._full_stage_counters, service)
        self._full_stage_since.pop(service, None)

    def snapshot(
        self, now: float, rollouts: Mapping[str, Rollout], open_attempts: Iterable[OpenAttempt]
    ) -> tuple[OutcomeCounts, ...]:
        """Return all counts in the form that is reported.

        They include the attempts in flight at the services of active rollouts. `rollouts` is by service.
        """
        counters = {key: counter.copy() for key, counter in self._counters.items()}
        full_stage = {key: counter.copy() for key, counter in self._full_stage_counters.items()}
        for attempt in open_attempts:
            request, endpoint = attempt.request, attempt.endpoint
            rollout = rollouts.get(request.service)
            if rollout is None or not rollout.active or not _is_warm(now, endpoint):
                continue
            key, waited_s = _key(request, endpoint), now - attempt.sent_at
            counter = counters.setdefault(key, _Counter())
            counter.unanswered[_latency_bin(rollout, request, endpoint, waited_s)] += 1
            if self._was_sent_in_full_stage(rollout, endpoint, attempt.sent_at):
                full_stage_counter = full_stage.setdefault(key, _FullStageCounter())
                full_stage_counter.unanswered[_reduced_latency_bin(request, waited_s)] += 1
        return tuple(_reported(key, counter, full_stage.get(key)) for key, counter in counters.items())


def _is_warm(now: float, endpoint: Endpoint) -> bool:
    return now >= endpoint.warm_at


def _key(request: PendingRequest, endpoint: Endpoint) -> CounterKey:
    return request.service, request.route.name, endpoint.version


def _latency_bin(rollout: Rollout, request: PendingRequest, endpoint: Endpoint, latency_s: float) -> int:
    """Return the latency bin of an attempt.

    The few endpoints on trial may be the service's slowest machines, so their latency is reduced. In later
    stages all endpoints get requests.
    """
    if endpoint.version == rollout.version and rollout.stage is RolloutStage.TRIAL:
        return _reduced_latency_bin(request, latency_s)
    return bisect_left(LATENCY_BIN_EDGES, latency_s / request.route.timeout_s)


def _reduced_latency_bin(request: PendingRequest, latency_s: float) -> int:
    """Return the latency bin of an attempt at one of a few endpoints, which may be the slowest machines.

    The attempts of the first moments of the full stage may also be at few endpoints.
    """
    return bisect_left(LATENCY_BIN_EDGES, latency_s / MACHINE_LATENCY_SPREAD / request.route.timeout_s)


def _without(counters: dict[CounterKey, _AnyCounter], service: str) -> dict[CounterKey, _AnyCounter]:
    return {key: counter for key, counter in counters.items() if key[0] != service}


def _reported(key: CounterKey, counter: _Counter, full_stage: _FullStageCounter | None) -> OutcomeCounts:
    outcomes = counter.outcomes
    return OutcomeCounts(
        *key,
        outcomes.failed,
        outcomes.ended,
        tuple(outcomes.bins),
        _nonzero_bins(counter.unanswered),
        None if full_stage is None else _reported_full_stage(full_stage),
    )


def _reported_full_stage(counter: _FullStageCounter) -> FullStageCounts:
    return FullStageCounts(_nonzero_bins(counter.answered), _nonzero_bins(counter.unanswered))


def _nonzero_bins(bins: list[float]) -> tuple[float, ...]:
    """Return the reported form of bins, which is empty if all of them are zero."""
    return tuple(bins) if any(bins) else ()
