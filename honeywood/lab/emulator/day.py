"""The parameters of a day, which is one simulation run, and its outcome."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

from honeywood.lab.emulator.faults.fault import Fault
from honeywood.lab.emulator.rules.rule import Rule, Violation


@dataclass(frozen=True, slots=True)
class Day:
    """The parameters of one simulation run.

    `machines` is the number of machines of each service. `tolerated_failures` is the number of disks that may
    be lost at once. `bounds` are the bounds that differ from boot.BOUNDS. With `omniscient_routing`, a router
    that sees the true state of all machines replaces the real one. `configuration_changes` is the number of
    consecutive configuration changes, in addition to those that faults cause. At most `max_faults` faults are
    drawn for each eight seconds of traffic. `link_bytes_per_s` is the bandwidth of a proxy's link; 0 means
    unlimited.
    """

    seed: int
    faults: tuple[Fault, ...] = ()
    traffic_s: float = 8.0
    proxies: int = 4
    zones: int = 2
    requests_per_s: float = 40.0
    machines: int = 6
    tolerated_failures: int = 1
    bounds: tuple[tuple[str, float], ...] = ()
    omniscient_routing: bool = False
    configuration_changes: int = 0
    max_faults: int = 6
    link_bytes_per_s: float = 0.0


@dataclass(slots=True)
class SecondOfTraffic:
    """The number of requests that began in one second, and the sum of their worth."""

    requests: int = 0
    worth: float = 0.0


@dataclass(slots=True)
class Outcome:
    """The outcome of a day: the worth of its requests, counts of results by name, and violations of rules.

    The worth of a request is its score from 0 to 1: 1 for a success within the latency target, less for a
    later one, 0 for a failure. `retries` counts the arrivals of a request at machines after its first
    arrival, `resets` counts the connections that machines reset, and `attempts` counts attempts of clients.
    """

    violations: list[Violation] = field(default_factory=list)
    worth: float = 0.0
    requests: int = 0
    results: Counter[str] = field(default_factory=Counter)
    seconds: dict[int, SecondOfTraffic] = field(default_factory=dict)
    resets: int = 0
    retries: int = 0
    attempts: int = 0

    @property
    def mean_worth(self) -> float:
        """The mean worth of a request, from 0 to 1."""
        return self.worth / max(1, self.requests)

    def record(self, second: int, worth: float, result: str) -> None:
        """Record the worth and result of a request that began in the given second."""
        self.worth += worth
        of_second = self.seconds.setdefault(second, SecondOfTraffic())
        of_second.requests += 1
        of_second.worth += worth
        self.results[result] += 1

    def violates(self, rule: Rule) -> bool:
        """Return whether a rule was violated."""
        return any(violation.rule == rule for violation in self.violations)
