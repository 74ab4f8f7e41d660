"""Which server of a group an RPC goes to: the less busy of two drawn by chance.

M. Mitzenmacher, "The power of two choices in randomized load balancing", IEEE Transactions on Parallel and
Distributed Systems 12 (2001). Servers that are slow, failing or far count as busier; cold ones are drawn more
seldom; ejected and silent ones are left out while others may be chosen.
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

EJECTION_TIME = 2 * SECOND  # of a server that is full, or twice in a row gave no answer
MAX_PROBE_PRICE = 0.02  # utility; a probe for each RPC is not worth more
REPORT_TTL = SECOND  # load reports count for so long
FAILURE_HALF_LIFE = 7 * SECOND // 10
LATENCY_HALF_LIFE = 7 * SECOND
LATENCY_WEIGHT = 0.1  # of the last answer in a server's latency factor
MEAN_WEIGHT = 0.02  # of the last answer in a method's mean latency
MAX_LATENCY_FACTOR = 10.0
MAX_DRAWN = 6  # servers drawn of a group to find two that may be chosen
MIN_SUBSET = 8  # servers that a balancer keeps to at least
CROSS_ZONE_LOAD = 2  # RPCs by which a server in another zone counts as busier, where crossing costs


class ServerSelection:
    """Chooses a server of a group and hands the RPC to the send policy."""

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
        """No answer was seen yet."""
        self._host, self._observer, self._random = host, host.observer, random
        self._servers, self._arrivals = servers, arrivals
        self._warm_up, self._policy = warm_up, policy
        self._zone = settings.zone if settings.cross_zone_price else None
        fields = settings.load_report_fields
        self._load_field = fields.index("active") if "active" in fields else None
        # Dear probes are left to nobody: else all balancers pay for all servers.
        cheap = settings.may_probe and settings.probe_price <= MAX_PROBE_PRICE
        self._probes = cheap and self._load_field is not None
        self._reports: deque[tuple[Time, Server]] = deque()
        self._next_probe = random.randrange(1 << 16)  # by chance: else all balancers probe the same server
        # Where this balancer's subset begins: those of all balancers are spread evenly.
        is_member = settings.balancer_index < settings.balancers
        self._subset_start = settings.balancer_index / settings.balancers if is_member else random.random()
        self.mean_latencies: list[float | None] = [None] * len(settings.methods)

    def send(self, now: Time, rpc: Rpc, first: Sequence[Server], second: Sequence[Server]) -> bool:
        """Send to the first group, or where none of it may be chosen to the second; whether it was sent."""
        while self._reports and self._reports[0][0] < now - REPORT_TTL:
            self._reports.popleft()
        # A probe for each RPC at most: many small balancers that probe all would cost more than their RPCs.
        if self._probes and len(self._reports) < len(self._servers.ready) and not rpc.attempts:
            self._next_probe = (self._next_probe + 1) % len(self._servers.ready)
            self._host.probe(self._servers.ready[self._next_probe])
        server = self._choose(now, rpc, first) or self._choose(now, rpc, second)
        return server is not None and self._policy.send(now, rpc, server)

    def on_load_report(self, now: Time, server: Server, load: Sequence[float]) -> None:
        """A server reported its load, with an answer or when it was probed."""
        index = self._load_field
        if index is not None and len(load) > index and isfinite(load[index]):
            server.reported_load, server.reported_at = max(0.0, load[index] - server.in_flight), now
            self._reports.append((now, server))

    def on_result(self, now: Time, attempt: Attempt, load: Sequence[float]) -> None:
        """An attempt has ended."""
        self._policy.on_result(now, attempt)
        self.on_load_report(now, attempt.server, load)
        self._update_health(now, attempt)
        if attempt.result == AttemptResult.OK:
            self._update_latency(attempt)

    def _choose(self, now: Time, rpc: Rpc, group: Sequence[Server]) -> Server | None:
        """The least busy of two drawn that may be chosen; of the whole group where there is none."""
        candidates: list[tuple[float, int, Server]] = []
        attempted, in_zone = [attempt.server for attempt in rpc.attempts], 0
        for server in self._draw(group):
            exclusion = self._exclusion(now, rpc, server, attempted)
            if self._observer:
                self._observer.considered(rpc, server, exclusion)
            if not exclusion:
                crosses = self._zone not in (None, server.zone)
                load = self._load(now, server) * server.latency_factor + CROSS_ZONE_LOAD * crosses
                candidates.append((load, len(candidates), server))
                in_zone += not crosses
            if in_zone == 2:
                break
        if not candidates:
            candidates = self._consider_all(now, rpc, group)
        return min(candidates)[2] if candidates else None

    def _draw(self, group: Sequence[Server]) -> dict[Server, None]:
        """Servers in the order in which they are looked at: lately reported ones, the subset, the group."""
        sample = self._random.sample
        reported = list(self._lately_reported(group))
        drawn = sample(reported, min(2, len(reported)))
        for servers in (self._subset(group), group):
            drawn += sample(servers, min(MAX_DRAWN, len(servers)))
        return dict.fromkeys(drawn)

    def _lately_reported(self, group: Sequence[Server]) -> dict[Server, None]:
        """Those of the group whose load is known, where it is not known of all."""
        if not group or len(self._reports) >= len(self._servers.ready):
            return {}
        on_trial = group[0].on_trial
        return dict.fromkeys(
            server
            for _, server in self._reports
            if server.status == ServerStatus.READY and server.on_trial == on_trial
        )

    def _subset(self, group: Sequence[Server]) -> Sequence[Server]:
        """Those of a group that a small balancer keeps to; empty where it keeps to all.

        They are as many as it meets again within RETURN_TIME, since each attempt would else need a new
        connection. Where none of them may be chosen, the others follow.
        """
        share = len(group) / max(1, len(self._servers.ready))
        most = max(MIN_SUBSET, int(share * RETURN_TIME / max(1, self._arrivals.mean_gap)))
        if most >= len(group):
            return ()
        start = int(self._subset_start * len(group))
        return [*group[start:], *group[:start]][:most]

    def _exclusion(self, now: Time, rpc: Rpc, server: Server, attempted: Sequence[Server]) -> int:
        """What keeps the RPC from a server that was drawn."""
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
        """All of the group that the policy lets through, whatever their health."""
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
        """RPCs at a server, this one among them; recent failures count as such."""
        elapsed, server.decayed_at = now - server.decayed_at, now
        server.recent_failures *= 0.5 ** (elapsed / FAILURE_HALF_LIFE)
        server.latency_factor += (1 - server.latency_factor) * (1 - 0.5 ** (elapsed / LATENCY_HALF_LIFE))
        others = server.reported_load * (now - server.reported_at < REPORT_TTL)
        return server.in_flight + others + server.recent_failures + 1

    @staticmethod
    def _update_health(now: Time, attempt: Attempt) -> None:
        server, result = attempt.server, attempt.result
        unanswered = result in (AttemptResult.CONNECT_FAILED, AttemptResult.RESET, AttemptResult.TIMEOUT)
        # One alone says nothing of its server: the connection, the answer or the RPC may be at fault.
        if result == AttemptResult.FULL or (unanswered and server.suspect):
            server.ejected_until = now + EJECTION_TIME
        if result in (AttemptResult.OK, AttemptResult.ERROR):
            server.answered_at = now
        server.suspect = unanswered or (server.suspect and result == AttemptResult.CANCELLED)
        # A server that fails at once has nothing in flight and would draw all RPCs: failures count as load.
        server.recent_failures += result not in (AttemptResult.OK, AttemptResult.CANCELLED)

    def _update_latency(self, attempt: Attempt) -> None:
        server, index = attempt.server, attempt.rpc.method.index
        mean = self.mean_latencies[index] or max(1, attempt.latency)
        self.mean_latencies[index] = mean + (attempt.latency - mean) * MEAN_WEIGHT
        factor = min(MAX_LATENCY_FACTOR, attempt.latency / mean)
        server.latency_factor += (factor - server.latency_factor) * LATENCY_WEIGHT
