"""Many fronts' decisions on one clock, before servers that all of them share: what is asked are sums."""

from heapq import heappop, heappush
from random import Random

from decision_player import MS, DecisionPlayer

from honeywood.balancer.model import SECOND, AttemptResult, Idempotency, Method

WORK, CORES = 330 * MS, 3  # of a server; an RPC takes longer in proportion where more than CORES are held


class Member(DecisionPlayer):
    """One front of a fleet: its clock and the servers behind the names are the fleet's."""

    def __init__(self, fleet, number):
        self.fleet, self.number = fleet, number
        super().__init__()
        self.given.update({"seed": number, "balancers": fleet.size, "balancer_index": number, **fleet.given})
        self.methods = fleet.methods

    now = property(lambda self: self.fleet.now, lambda self, value: None)

    def at(self, after, call, *values):
        self.fleet.at(after, call, *values)

    def send(self, attempt, until):
        self.sends.append(attempt)
        held = self.fleet.held
        name = attempt.host = self.name(attempt.server)
        held[name] = held.get(name, 0) + 1
        slower = max(1.0, held[name] / CORES)
        took = int(WORK * slower * (0.5 + self.fleet.random.random()))
        over = self.now + took > until
        self.at(
            min(took, until - self.now),
            self.over,
            attempt,
            AttemptResult.TIMEOUT if over else AttemptResult.OK,
        )

    def over(self, attempt, result):
        if attempt.result is None:
            self.fleet.held[attempt.host] -= 1
            self.end(attempt, result, self.now - attempt.sent_at)

    def cancel(self, attempt):
        self.at(1, self.over, attempt, AttemptResult.CANCELLED)


class Fleet:
    """`size` fronts that take `rate` RPCs a second together, some of them several times the mean."""

    def __init__(self, size, servers, rate, seed=1, **given):
        self.size, self.given, self.random = size, given, Random(seed)
        self.methods = {
            "read": Method(
                idempotency=Idempotency.IDEMPOTENT,
                latency_target=900 * MS,
                timeout=3600 * MS,
                index=0,
                utility=2.0,
                overdue_utility=0,
                dedup_scope="all",
                dedup_window=80000,
            )
        }
        self.queue, self.order, self.now, self.held, self.taken = [], 0, 0, {}, 0
        self.members = [Member(self, n) for n in range(size)]
        for member in self.members:
            member.start()
            member.do_list(*servers)
            member.do_news("1", "2", "1.0", "2")
        weights = [self.random.choice((1, 1, 1, 4)) for _ in self.members]
        self.shares = [rate * w / sum(weights) for w in weights]

    def at(self, after, call, *values):
        self.order += 1
        heappush(self.queue, (self.now + int(after), self.order, call, values))

    def flow(self, until):
        """RPCs come by chance until then (ms)."""
        for member, rate in zip(self.members, self.shares):
            due = self.now
            while (due := due + int(self.random.expovariate(rate) * SECOND) + 1) < until * MS:
                self.taken += 1
                self.at(due - self.now, member.do_rpc, f"r{self.taken}", "read")

    def run(self, until):
        while self.queue and self.queue[0][0] <= until * MS:
            self.now, _, call, values = heappop(self.queue)
            call(*values)
        self.now = until * MS

    def sum(self, what):
        return sum(what(member) for member in self.members)

    def sent(self, name, since, until):
        return self.sum(
            lambda m: sum(p.host == name and since * MS <= p.sent_at < until * MS for p in m.sends)
        )
