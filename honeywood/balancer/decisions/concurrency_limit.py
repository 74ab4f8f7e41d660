"""How many RPCs may be open at once: against queues in which all become late.

Little's law (J. D. C. Little, "A proof for the queuing formula L = λW", Operations Research 9, 1961): so many
can be answered in time as the rate of answers times the time that they may take.
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

LATENCY_HEADROOM = 0.8  # an answer within this part of its target shows that there is room for more
HEADROOM_WEIGHT = 4  # the share of answers with headroom goes back over so many
HEADROOM_RPCS = 9  # RPCs more that may be open while all answers have headroom
RPCS_PER_SERVER = 3  # that all balancers together may have open at each server in any case
MAX_RESPONDING = 4  # times the bound, RPCs whose answers have begun do not count: these hold no core
LEAST_PRIORITY = 0.75  # the part of the bound that a method of no utility has


class ConcurrencyLimit:
    """The bound on open RPCs, lower for methods of less utility."""

    def __init__(self, settings: Settings, servers: ServerGroups) -> None:
        """No answer has come yet, and the last few count as ones with headroom."""
        self._servers, self._balancers = servers, max(1, settings.balancers)
        most = max(method.utility for method in settings.methods) or 1
        rest = 1 - LEAST_PRIORITY
        self._priorities = [LEAST_PRIORITY + rest * method.utility / most for method in settings.methods]
        self._answers: deque[Time] = deque()
        self._headroom = 1.0

    def on_result(self, now: Time, attempt: Attempt) -> None:
        """An attempt has ended."""
        if attempt.result in (AttemptResult.OK, AttemptResult.ERROR):
            self._answers.append(now)
        if attempt.result != AttemptResult.CANCELLED:
            target = attempt.rpc.method.latency_target
            quick = attempt.result == AttemptResult.OK and attempt.latency < LATENCY_HEADROOM * target
            self._headroom += quick / HEADROOM_WEIGHT - self._headroom / HEADROOM_WEIGHT

    def exceeded(self, now: Time, rpc: Rpc, open_rpcs: int, responding: int) -> bool:
        """Whether so many open RPCs, this one among them, are too many; `responding` have begun to answer."""
        bound = self._bound(now, rpc)
        counted = open_rpcs - min(responding, MAX_RESPONDING * bound)
        return counted > bound * self._priorities[rpc.method.index]

    def _bound(self, now: Time, rpc: Rpc) -> float:
        """By the rate of answers; small balancers have none to go by, but each has its last answers."""
        answers = len(trimmed(self._answers, now - RATE_WINDOW))
        in_time = answers * rpc.method.latency_target * OVERDUE_SHARE / RATE_WINDOW
        by_headroom = 1 + HEADROOM_RPCS * self._headroom
        by_servers = RPCS_PER_SERVER * len(self._servers.ready) / self._balancers
        return max(by_headroom, by_servers, in_time + 2 * sqrt(in_time))
