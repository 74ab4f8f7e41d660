"""What is played in a day, and what came of it."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

from honeywood.lab.emulator.faults.fault import Fault
from honeywood.lab.emulator.rules.rule import Rule, Violation


@dataclass(frozen=True, slots=True)
class Day:
    """What is played: requests over proxies in zones, with faults.

    `machines` are those of each service. `tolerated_failures` disks may be lost at once. `bounds` are those
    that differ from boot.BOUNDS. With `omniscient_routing` a router that sees the true state of all machines
    takes the place of ours. `configuration_changes` come one after the other, besides those that faults make.
    `max_faults` come in each eight seconds of traffic. A proxy's link takes `link_bytes_per_s`; 0: any rate.
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
    """Requests that began in one second, and the worth that they earned."""

    requests: int = 0
    worth: float = 0.0


@dataclass(slots=True)
class Outcome:
    """What came of a day: the worth of its requests, their results by name, and violated rules.

    `retries` are arrivals of a request at machines beyond the first, `resets` connections that machines
    reset.
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
        """The worth of a request, from 0 to 1."""
        return self.worth / max(1, self.requests)

    def record(self, second: int, worth: float, result: str) -> None:
        """Record the end of a request that began in a second."""
        self.worth += worth
        of_second = self.seconds.setdefault(second, SecondOfTraffic())
        of_second.requests += 1
        of_second.worth += worth
        self.results[result] += 1

    def violates(self, rule: Rule) -> bool:
        """Return whether a rule was violated."""
        return any(violation.rule == rule for violation in self.violations)
