"""Limits how many RPCs may be open at once, so that no queue builds up in which all of them become late.

By Little's law (J. D. C. Little, "A proof for the queuing formula L = λW", Operations Research 9, 1961), the
number of RPCs that can be answered in time is the rate of answers times the time that an RPC may take.
"""

from __future__ import annotations

from collections import deque
from math import sqrt

from honeywood.balancer.decisions.limits import OVERDUE_SHARE, RATE_WINDOW
from honeywood.balancer.decisions.time_window import trimmed
from honeywood.balancer.model import AttemptResult

TYPE_CHECKING = False
if TYPE_CHECKING:
    from honeywood.balancer.decisions.server_groups import ServerGroups
    from honeywood.balancer.model import Attempt, Rpc, Time
    from honeywood.balancer.settings import Settings

# An answer within this share of its latency target has headroom: the servers can take more RPCs.
LATENCY_HEADROOM = 0.8
HEADROOM_ANSWERS = 4  # the last answer has a weight of 1 / HEADROOM_ANSWERS in the share with headroom
HEADROOM_RPCS = 9  # further RPCs that may be open while all answers have headroom
RPCS_PER_SERVER = 3  # RPCs that all balancers together may always have open for each server
# RPCs whose answers have started do not count, up to this multiple of the bound: they occupy no core.
MAX_RESPONDING = 4
MIN_PRIORITY = 0.75  # share of the bound that is available to a method without utility


class ConcurrencyLimit:
    """The bound on open RPCs; it is lower for methods of lower utility."""

    def __init__(self, settings: Settings, servers: ServerGroups) -> None:
        """Starts without answers, as if all earlier ones had had headroom."""
        self._servers, self._balancers = servers, max(1, settings.balancers)
        max_utility = max(method.utility for method in settings.methods) or 1
        rest = 1 - MIN_PRIORITY
        self._priorities = [MIN_PRIORITY + rest * method.utility / max_utility for method in settings.methods]
        self._answers: deque[Time] = deque()
        self._headroom = 1.0

    def on_result(self, now: Time, attempt: Attempt) -> None:
        """Update the rate of answers and the share with headroom after an attempt has ended."""
        if attempt.result in (AttemptResult.OK, AttemptResult.ERROR):
            self._answers.append(now)
        if attempt.result != AttemptResult.CANCELLED:
            target = attempt.rpc.method.latency_target
            has_headroom = attempt.result == AttemptResult.OK and attempt.latency < LATENCY_HEADROOM * target
            self._headroom += has_headroom / HEADROOM_ANSWERS - self._headroom / HEADROOM_ANSWERS

    def exceeded(self, now: Time, rpc: Rpc, open_rpcs: int, responding: int) -> bool:
        """Whether `open_rpcs`, which includes this RPC, exceeds the limit for its method.

        `responding` is the number of open RPCs whose answers have started.
        """
        bound = self._bound(now, rpc)
        counted = open_rpcs - min(responding, MAX_RESPONDING * bound)
        return counted > bound * self._priorities[rpc.method.index]

    def _bound(self, now: Time, rpc: Rpc) -> float:
        """The largest of three bounds: by recent headroom, by number of servers and by rate of answers.

        A balancer with little traffic has no meaningful rate, but its last answers show whether there is
        headroom.
        """
        answers = len(trimmed(self._answers, now - RATE_WINDOW))
        in_time = answers * rpc.method.latency_target * OVERDUE_SHARE / RATE_WINDOW
        by_headroom = 1 + HEADROOM_RPCS * self._headroom
        by_servers = RPCS_PER_SERVER * len(self._servers.ready) / self._balancers
        return max(by_headroom, by_servers, in_time + 2 * sqrt(in_time))
