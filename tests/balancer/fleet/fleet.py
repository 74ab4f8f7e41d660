"""Simulates the decisions of many balancers on one clock, with servers that all of them share."""

from heapq import heappop, heappush
from random import Random

from decision_player import MS, DecisionPlayer

from honeywood.balancer.model import SECOND, AttemptResult, Idempotency, Method

WORK, CORES = 330 * MS, 3  # of a server; latency grows in proportion if more than CORES RPCs are in flight


class Member(DecisionPlayer):
    """One balancer of a fleet; it shares the clock and the servers of the fleet."""

    def __init__(self, fleet, number):
        self.fleet, self.number = fleet, number
        super().__init__()
        self.settings_values.update(
            {"seed": number, "balancers": fleet.size, "balancer_index": number, **fleet.settings_values}
        )
        self.methods = fleet.methods

    now = property(lambda self: self.fleet.now, lambda self, value: None)

    def schedule(self, delay, call, *arguments):
        self.fleet.schedule(delay, call, *arguments)

    def send(self, attempt, until):
        self.sends.append(attempt)
        in_flight = self.fleet.in_flight
        name = attempt.host = self.name_of(attempt.server)
        in_flight[name] = in_flight.get(name, 0) + 1
        slowdown = max(1.0, in_flight[name] / CORES)
        latency = int(WORK * slowdown * (0.5 + self.fleet.random.random()))
        times_out = self.now + latency > until
        self.schedule(
            min(latency, until - self.now),
            self.finish,
            attempt,
            AttemptResult.TIMEOUT if times_out else AttemptResult.OK,
        )

    def finish(self, attempt, result):
        if attempt.result is None:
            self.fleet.in_flight[attempt.host] -= 1
            self.end_attempt(attempt, result, self.now - attempt.sent_at)

    def cancel(self, attempt):
        self.schedule(1, self.finish, attempt, AttemptResult.CANCELLED)


class Fleet:
    """`size` balancers that get `rate` RPCs per second in total; some get several times the mean."""

    def __init__(self, size, servers, rate, seed=1, **settings_values):
        self.size, self.settings_values, self.random = size, settings_values, Random(seed)
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
        self.queue, self.order, self.now, self.in_flight, self.rpc_count = [], 0, 0, {}, 0
        self.members = [Member(self, n) for n in range(size)]
        for member in self.members:
            member.start()
            member.do_list(*servers)
            member.do_release("1", "2", "1.0", "2")
        weights = [self.random.choice((1, 1, 1, 4)) for _ in self.members]
        self.rates = [rate * w / sum(weights) for w in weights]

    def schedule(self, delay, call, *arguments):
        self.order += 1
        heappush(self.queue, (self.now + int(delay), self.order, call, arguments))

    def load(self, until):
        """Schedule RPCs at random times until `until`, in ms."""
        for member, rate in zip(self.members, self.rates):
            due = self.now
            while (due := due + int(self.random.expovariate(rate) * SECOND) + 1) < until * MS:
                self.rpc_count += 1
                self.schedule(due - self.now, member.do_rpc, f"r{self.rpc_count}", "read")

    def run_until(self, until):
        while self.queue and self.queue[0][0] <= until * MS:
            self.now, _, call, arguments = heappop(self.queue)
            call(*arguments)
        self.now = until * MS

    def total(self, count_of):
        return sum(count_of(member) for member in self.members)

    def sent(self, name, since, until):
        return self.total(
            lambda m: sum(a.host == name and since * MS <= a.sent_at < until * MS for a in m.sends)
        )
