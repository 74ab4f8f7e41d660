"""Selects the server of a group that an RPC is sent to: the less busy of two drawn at random.

M. Mitzenmacher, "The power of two choices in randomized load balancing", IEEE Transactions on Parallel and
Distributed Systems 12 (2001). Servers that are slow, failing or in another zone count as busier. Servers that
are warming up are selected less often. Ejected and unresponsive servers are skipped while others are
available.
"""

from __future__ import annotations

from collections import deque
from math import isfinite

from honeywood.balancer.decisions.limits import RETURN_TIME, UNRESPONSIVE_AFTER
from honeywood.balancer.model import SECOND, AttemptResult, Exclusion, ServerStatus

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Sequence
    from random import Random

    from honeywood.balancer.decisions.arrivals import Arrivals
    from honeywood.balancer.decisions.send_policy import SendPolicy
    from honeywood.balancer.decisions.server_groups import ServerGroups
    from honeywood.balancer.decisions.warm_up import WarmUpBudget
    from honeywood.balancer.interface import Host
    from honeywood.balancer.model import Attempt, Rpc, Server, Time
    from honeywood.balancer.settings import Settings

EJECTION_TIME = 2 * SECOND  # for a server that is full, or that failed twice in a row to answer
MAX_PROBE_PRICE = 0.02  # in units of utility; one probe for each RPC is not worth more
REPORT_TTL = SECOND  # how long a load report is used
FAILURE_HALF_LIFE = 7 * SECOND // 10
LATENCY_HALF_LIFE = 7 * SECOND
LATENCY_WEIGHT = 0.1  # weight of the last answer in a server's latency factor
MEAN_WEIGHT = 0.02  # weight of the last answer in a method's mean latency
MAX_LATENCY_FACTOR = 10.0
MAX_DRAWN = 6  # servers drawn from a group to find two that may be chosen
MIN_SUBSET = 8  # smallest number of servers in a balancer's subset
# RPCs that are added to the load of a server in another zone, if cross-zone traffic has a price.
CROSS_ZONE_LOAD = 2


class ServerSelection:
    """Selects a server from a group and passes the RPC to the send policy."""

    def __init__(
        self,
        settings: Settings,
        host: Host,
        random: Random,
        servers: ServerGroups,
        arrivals: Arrivals,
        warm_up: WarmUpBudget,
        policy: SendPolicy,
    ) -> None:
        """Starts without answers and load reports."""
        self._host, self._observer, self._random = host, host.observer, random
        self._servers, self._arrivals = servers, arrivals
        self._warm_up, self._policy = warm_up, policy
        self._zone = settings.zone if settings.cross_zone_price else None
        fields = settings.load_report_fields
        self._load_field = fields.index("active") if "active" in fields else None
        # Expensive probes are not sent: every balancer would pay for probes of every server.
        is_cheap = settings.may_probe and settings.probe_price <= MAX_PROBE_PRICE
        self._probes = is_cheap and self._load_field is not None
        self._reports: deque[tuple[Time, Server]] = deque()
        # A random start, so that the balancers do not all probe the same server at the same time.
        self._next_probe = random.randrange(1 << 16)
        # Where this balancer's subset starts; the subsets of all balancers are spread evenly over the
        # servers.
        is_member = settings.balancer_index < settings.balancers
        self._subset_start = settings.balancer_index / settings.balancers if is_member else random.random()
        self.mean_latencies: list[float | None] = [None] * len(settings.methods)

    def send(self, now: Time, rpc: Rpc, first: Sequence[Server], second: Sequence[Server]) -> bool:
        """Send to a server of the first group, or of the second if none of the first may be chosen.

        Returns whether an attempt was sent.
        """
        while self._reports and self._reports[0][0] < now - REPORT_TTL:
            self._reports.popleft()
        # At most one probe for each RPC: probes of all servers by many balancers would cost more than the
        # RPCs.
        if self._probes and len(self._reports) < len(self._servers.ready) and not rpc.attempts:
            self._next_probe = (self._next_probe + 1) % len(self._servers.ready)
            self._host.probe(self._servers.ready[self._next_probe])
        server = self._choose(now, rpc, first) or self._choose(now, rpc, second)
        return server is not None and self._policy.send(now, rpc, server)

    def on_load_report(self, now: Time, server: Server, load: Sequence[float]) -> None:
        """Record the load that a server reported with an answer or in reply to a probe."""
        index = self._load_field
        if index is not None and len(load) > index and isfinite(load[index]):
            server.reported_load, server.reported_at = max(0.0, load[index] - server.in_flight), now
            self._reports.append((now, server))

    def on_result(self, now: Time, attempt: Attempt, load: Sequence[float]) -> None:
        """Update load, health and latency of the server after an attempt has ended."""
        self._policy.on_result(now, attempt)
        self.on_load_report(now, attempt.server, load)
        self._update_health(now, attempt)
        if attempt.result == AttemptResult.OK:
            self._update_latency(attempt)

    def _choose(self, now: Time, rpc: Rpc, group: Sequence[Server]) -> Server | None:
        """The less busy of two drawn servers that may be chosen; if there are none, of the whole group."""
        candidates: list[tuple[float, int, Server]] = []
        attempted, in_zone = [attempt.server for attempt in rpc.attempts], 0
        for server in self._draw(group):
            exclusion = self._exclusion(now, rpc, server, attempted)
            if self._observer:
                self._observer.considered(rpc, server, exclusion)
            if not exclusion:
                crosses_zone = self._zone not in (None, server.zone)
                load = self._load(now, server) * server.latency_factor + CROSS_ZONE_LOAD * crosses_zone
                candidates.append((load, len(candidates), server))
                in_zone += not crosses_zone
            if in_zone == 2:
                break
        if not candidates:
            candidates = self._consider_all(now, rpc, group)
        return min(candidates)[2] if candidates else None

    def _draw(self, group: Sequence[Server]) -> dict[Server, None]:
        """Random servers in the order to consider them: recently reported ones, the subset, the group."""
        sample = self._random.sample
        reported = list(self._recently_reported(group))
        drawn = sample(reported, min(2, len(reported)))
        for servers in (self._subset(group), group):
            drawn += sample(servers, min(MAX_DRAWN, len(servers)))
        return dict.fromkeys(drawn)

    def _recently_reported(self, group: Sequence[Server]) -> dict[Server, None]:
        """The servers of the group with a recent load report; empty if all servers have one."""
        if not group or len(self._reports) >= len(self._servers.ready):
            return {}
        on_trial = group[0].on_trial
        return dict.fromkeys(
            server
            for _, server in self._reports
            if server.status == ServerStatus.READY and server.on_trial == on_trial
        )

    def _subset(self, group: Sequence[Server]) -> Sequence[Server]:
        """The servers of a group that a balancer with little traffic uses; empty if it uses all of them.

        It uses only as many servers as it sends to again within RETURN_TIME; with more servers, each attempt
        would need a new connection. If none of them may be chosen, the others are considered.
        """
        share = len(group) / max(1, len(self._servers.ready))
        size = max(MIN_SUBSET, int(share * RETURN_TIME / max(1, self._arrivals.mean_gap)))
        if size >= len(group):
            return ()
        start = int(self._subset_start * len(group))
        return [*group[start:], *group[:start]][:size]

    def _exclusion(self, now: Time, rpc: Rpc, server: Server, attempted: Sequence[Server]) -> int:
        """Why a drawn server may not be chosen for the RPC, Exclusion.NONE if it may."""
        if self._random.random() >= self._warm_up.capacity_share(now, server):
            return Exclusion.WARMING_UP
        if now < server.ejected_until:
            return Exclusion.EJECTED
        if server.in_flight and now - server.answered_at >= UNRESPONSIVE_AFTER:
            return Exclusion.UNRESPONSIVE
        return (
            Exclusion.ALREADY_ATTEMPTED if server in attempted else self._policy.exclusion(now, rpc, server)
        )

    def _consider_all(self, now: Time, rpc: Rpc, group: Sequence[Server]) -> list[tuple[float, int, Server]]:
        """The servers of the group that the send policy allows, regardless of their health."""
        exclusions = [self._policy.exclusion(now, rpc, server) for server in group]
        candidates = [
            (self._load(now, server), position, server)
            for position, (server, exclusion) in enumerate(zip(group, exclusions))
            if not exclusion
        ]
        if self._observer:
            self._observer.considered_all(rpc, group, exclusions)
        return candidates

    def _load(self, now: Time, server: Server) -> float:
        """The number of RPCs at a server, including this one; recent failures count as RPCs."""
        elapsed, server.decayed_at = now - server.decayed_at, now
        server.recent_failures *= 0.5 ** (elapsed / FAILURE_HALF_LIFE)
        server.latency_factor += (1 - server.latency_factor) * (1 - 0.5 ** (elapsed / LATENCY_HALF_LIFE))
        others = server.reported_load * (now - server.reported_at < REPORT_TTL)
        return server.in_flight + others + server.recent_failures + 1

    @staticmethod
    def _update_health(now: Time, attempt: Attempt) -> None:
        server, result = attempt.server, attempt.result
        unanswered = result in (AttemptResult.CONNECT_FAILED, AttemptResult.RESET, AttemptResult.TIMEOUT)
        # A single failure does not eject a server: the connection, the answer or the RPC may be the cause.
        if result == AttemptResult.FULL or (unanswered and server.suspect):
            server.ejected_until = now + EJECTION_TIME
        if result in (AttemptResult.OK, AttemptResult.ERROR):
            server.answered_at = now
        server.suspect = unanswered or (server.suspect and result == AttemptResult.CANCELLED)
        # A server that fails immediately has nothing in flight and would attract all RPCs, so failures count
        # as load.
        server.recent_failures += result not in (AttemptResult.OK, AttemptResult.CANCELLED)

    def _update_latency(self, attempt: Attempt) -> None:
        server, index = attempt.server, attempt.rpc.method.index
        mean = self.mean_latencies[index] or max(1, attempt.latency)
        self.mean_latencies[index] = mean + (attempt.latency - mean) * MEAN_WEIGHT
        factor = min(MAX_LATENCY_FACTOR, attempt.latency / mean)
        server.latency_factor += (factor - server.latency_factor) * LATENCY_WEIGHT
