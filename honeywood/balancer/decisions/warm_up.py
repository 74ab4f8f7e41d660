"""Limits the attempts at servers that are warming up: a server that is overloaded meanwhile fails."""

from __future__ import annotations

from collections import defaultdict, deque
from typing import NamedTuple

from honeywood.balancer.decisions.time_window import trimmed
from honeywood.balancer.model import AttemptResult

TYPE_CHECKING = False
if TYPE_CHECKING:
    from random import Random

    from honeywood.balancer.decisions.server_groups import ServerGroups
    from honeywood.balancer.model import Attempt, Duration, Server, Time
    from honeywood.balancer.settings import Settings

SAFE_SHARE = 0.7  # share of the overload threshold that is used


class Rounding(NamedTuple):
    """The fraction of an attempt that is added to a build's allowance until a time, to round it at random."""

    fraction: float
    until: Time


class Allowance(NamedTuple):
    """The attempts that a build's warming-up servers may get in the overload window, computed at `now`."""

    now: Time
    build: int
    attempts: float


class WarmUpBudget:
    """Limits each server that is warming up to its share of what this balancer's servers handle on average.

    If every balancer does so, all of them together stay below the server's overload threshold. A balancer
    with little traffic has less than one attempt for all warming-up servers of a build; this allowance is
    rounded up or down at random.
    """

    def __init__(self, settings: Settings, servers: ServerGroups, random: Random) -> None:
        """Starts without attempts."""
        self._servers, self._random = servers, random
        self._balancers = max(1, settings.balancers)
        self._initial_share, self._warm_up_time = settings.initial_capacity_share, settings.warm_up_time
        self._window, self._resolution = settings.overload_window, settings.clock_resolution
        self._multiple = settings.overload_multiple * SAFE_SHARE
        self._successes: deque[Time] = deque()
        self._in_flight = 0  # attempts at all servers
        self._sends: defaultdict[int, deque[Time]] = defaultdict(deque)  # to warming-up servers, by build
        self._rounding: dict[int, Rounding] = {}  # by build
        self._allowance = Allowance(0, 0, 0.0)

    def capacity_share(self, now: Time, server: Server) -> float:
        """The least share of its capacity that a server has, by the time since its start."""
        age, warm_up_time = max(0, now - server.started_at), self._warm_up_time
        if age >= warm_up_time:
            return 1.0
        return self._initial_share + (1 - self._initial_share) * age / warm_up_time

    def may_send(self, now: Time, server: Server) -> bool:
        """Whether one more attempt may be sent to a server; always True if it is not warming up."""
        if not self._is_warming_up(now, server):
            return True
        since: Duration = now - self._window - self._resolution
        ready = len(self._servers.ready)
        per_server = self._multiple * len(trimmed(self._successes, since)) / ready
        share = self.capacity_share(now, server)
        if self._allowance[:2] != (now, server.build):  # computed once for all servers an RPC considers
            attempts = self._build_allowance(now, server.build, per_server)
            self._allowance = Allowance(now, server.build, attempts)
        to_server = len(trimmed(server.warm_up_sends, since)) + 1
        to_build = len(trimmed(self._sends[server.build], since)) + 1
        in_flight = self._in_flight / ready + self._multiple * (share - self._initial_share)
        return (
            to_build <= self._allowance.attempts
            and to_server <= max(1, per_server * share)
            and server.in_flight <= in_flight
        )

    def on_send(self, now: Time, server: Server) -> None:
        """Count an attempt that is sent to a server."""
        self._in_flight += 1
        if self._is_warming_up(now, server):
            server.warm_up_sends.append(now)
            self._sends[server.build].append(now)

    def on_result(self, now: Time, attempt: Attempt) -> None:
        """Count an attempt that has ended."""
        self._in_flight -= 1
        if attempt.result == AttemptResult.OK:
            trimmed(self._successes, now - self._window).append(now)

    def _is_warming_up(self, now: Time, server: Server) -> bool:
        return now - server.started_at < self._warm_up_time + self._window

    def _build_allowance(self, now: Time, build: int, per_server: float) -> float:
        """The number of attempts that all warming-up servers of a build together may get."""
        random = self._random.random
        if build not in self._rounding or now >= self._rounding[build].until:
            fraction = random()
            self._rounding[build] = Rounding(fraction, now + int(self._window * (0.5 + random())))
        shares = [
            self.capacity_share(now, server)
            for server in self._servers.ready
            if server.build == build and self._is_warming_up(now, server)
        ]
        return max(per_server * sum(shares), len(shares) / self._balancers) + self._rounding[build].fraction
