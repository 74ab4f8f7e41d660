"""The rule of exposure: how many requests may reach a bad version during its rollout."""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from math import inf
from typing import TYPE_CHECKING

from honeywood.lab.emulator.rules.context import RuleContext
from honeywood.lab.emulator.rules.rule import Rule

if TYPE_CHECKING:
    from honeywood.lab.emulator.machine import Machine

BAD_RESPONSES = 50
"""The number of bad responses after which a version must be stopped within rollback_s."""


@dataclass(slots=True)
class Trial:
    """A bad version, the requests that reached it since its order, and the deadline for stopping it."""

    version: str
    ordered_at: float
    requests: int = 0
    bad_responses: int = 0
    stop_deadline: float = inf


class TrialRules:
    """Observes the requests that reach bad versions."""

    def __init__(self, context: RuleContext) -> None:
        """Observe the rollouts of a day; `context` provides which proxies are in contact."""
        self._context = context
        self._trials: dict[str, Trial | None] = {}  # by service

    def on_ordered(self, now: float, service: str, version: str, is_bad: bool) -> None:
        """Record a rollout that is about to be ordered; a rollout of a good version is not observed."""
        self._trials[service] = Trial(version, now) if is_bad else None

    def on_execution(self, now: float, machine: Machine, proxy: str, sent_at: float, fails: bool) -> None:
        """Check a request that was sent at `sent_at` and that a machine executes now."""
        trial = self._trials.get(machine.service)
        if trial is None or machine.version != trial.version:
            return
        if not self._context.is_in_contact(now, proxy):
            return
        is_bad = fails or machine.slow_share > 0
        trial.requests += 1
        trial.bad_responses += is_bad
        rollback_s = self._context.bounds["rollback_s"]
        if trial.bad_responses == BAD_RESPONSES and is_bad:
            trial.stop_deadline = now + rollback_s
        was_undisturbed = self._context.core_disturbed_at < trial.stop_deadline - rollback_s
        if sent_at > trial.stop_deadline and was_undisturbed:
            details = f"{sent_at - trial.stop_deadline:.2f} s after the deadline for stopping the version"
            self._context.report(Rule.EXPOSURE, now, details)

    def close(self, now: float, sent_times: Mapping[str, Sequence[float]]) -> None:
        """Check the share of each service's requests that reached its bad version."""
        share, slack = self._context.bounds["canary_share"], self._context.bounds["canary_slack"]
        for service, trial in self._trials.items():
            if trial is None:
                continue
            times = sent_times[service]
            requests = len(times) - bisect_left(times, trial.ordered_at)
            if trial.requests > share * requests + slack:
                self._context.report(
                    Rule.EXPOSURE, now, f"{service}: {trial.requests} requests of {requests}"
                )
