"""The one place that every send passes, where the rules hold; and the chain's links. Times as in decide."""

from collections import defaultdict, deque

from honeywood.balancer.interface import (
    NEVER_RAN,
    NON_IDEMPOTENT,
    OK,
    ON_TRIAL,
    READY,
    RELEASED,
    SECOND,
    TOKENED,
    Bar,
    Pick,
)

YOUNG = 3 * SECOND  # servers under this age are no evidence; also the wait with short samples
TIP_SAFE = 0.7  # used part of cold servers' budget


def trimmed(times, since):
    """A deque of times without those before `since`."""
    while times and times[0] < since:
        times.popleft()
    return times


class Stage:
    """A link of the chain: take() passes an RPC down and tells whether it went out; back() runs up."""

    def __init__(self, front, below):
        self.front, self.below = front, below


class Gate(Stage):
    """The one place that every send passes; here the five rules hold."""

    def __init__(self, front, given):
        super().__init__(front, None)
        self.tick, self.window, self.free = given.tick, given.exposure_window, given.free_picks
        self.max_picks, self.duplicate, self.one_way = given.max_picks, given.may_duplicate, given.one_way
        self.guarded, self.per_method, self.tip_time = given.guarded_steps, given.per_method, given.tip_time
        self.cold_share, self.cold_time = given.cold_share, given.cold_time
        self.tip = given.tip_multiple * TIP_SAFE
        self.taken, self.tried, self.oks = [deque() for _ in given.methods], {}, deque()
        self.out, self.fronts = 0, max(1, given.fronts)  # picks out
        self.luck, self.chilled, self.most = {}, defaultdict(deque), (0, 0, 0)  # of builds' cold servers
        self.keys = {}  # under a one-way rule: the latest build that answered a key

    def lane(self, method):
        return method.place * self.per_method

    def room(self, now, build, method):
        on_trial = self.front.judge.cap_of(build)
        if on_trial is None:
            return True
        cap, step = on_trial
        if step < self.guarded and method.kind in (NON_IDEMPOTENT, TOKENED):
            return False
        taken = trimmed(self.taken[self.lane(method)], now - self.window + self.tick + 1)
        tried = trimmed(self.tried.get((build, self.lane(method)), ()), now - self.window - self.tick)
        return cap > 0 and len(tried) + 1 <= self.free + cap * len(taken)

    def cold(self, now, server):
        return now - server.booted < self.cold_time + self.tip_time

    def cold_room(self, now, server):
        """A cold server gets its part of what this front's servers bear, so that all fronts together keep its
        budget; small fronts have less than a pick for all of a build, and chance rounds it."""
        if not self.cold(now, server):
            return True
        ready, random, since = self.front.ready, self.front.random.random, now - self.tip_time - self.tick
        part, share = self.tip * len(trimmed(self.oks, since)) / len(ready), self.warmth(now, server)
        if self.most[:2] != (now, server.build):  # once for all servers that an RPC looks at
            if now >= self.luck.get(server.build, (0, now))[1]:
                self.luck[server.build] = random(), now + int(self.tip_time * (0.5 + random()))
            shares = [self.warmth(now, s) for s in ready if s.build == server.build and self.cold(now, s)]
            most = max(part * sum(shares), len(shares) / self.fronts) + self.luck[server.build][0]
            self.most = now, server.build, most
        sent, cold = (len(trimmed(t, since)) + 1 for t in (server.sent, self.chilled[server.build]))
        return (
            cold <= self.most[2]
            and sent <= max(1, part * share)
            and server.open <= self.out / len(ready) + self.tip * (share - self.cold_share)
        )

    def warmth(self, now, server):
        """The part of its capacity that a server has at least, so long after its start."""
        age, cold = max(0, now - server.booted), self.cold_time
        return 1.0 if age >= cold else self.cold_share + (1 - self.cold_share) * age / cold

    def bar(self, now, rpc, server):
        """The rule that keeps the RPC from the server, Bar.NONE where it may be sent."""
        if rpc.done or server.status != READY:
            return Bar.DONE if rpc.done else Bar.NOT_READY
        if len(rpc.picks) >= self.max_picks or now >= rpc.deadline:
            return Bar.PICKS if now < rpc.deadline else Bar.DEADLINE
        risky = [p for p in rpc.picks if p.result not in NEVER_RAN]
        if (
            risky
            and rpc.method.kind == NON_IDEMPOTENT
            or not self.duplicate
            and any(p.result is None for p in risky)
        ):
            return Bar.MAY_HAVE_RUN
        if rpc.method.kind == TOKENED and not all(self.drops(now, p, server) for p in risky):
            return Bar.TOKEN
        judge = self.front.judge
        if (
            self.one_way
            and judge.standing in (ON_TRIAL, RELEASED)
            and (server.build < judge.build == self.keys.get(rpc.key))
        ):
            return Bar.ONE_WAY
        if not self.room(now, server.build, rpc.method):
            return Bar.EXPOSURE
        return Bar.NONE if self.cold_room(now, server) else Bar.COLD

    def drops(self, now, pick, server):
        group, method = pick.rpc.method.group, pick.rpc.method
        same = group == "all" or getattr(pick.server, group) == getattr(server, group)
        return same and now + self.tick < pick.sent + method.window

    def may_push_back(self, rpc):
        repeats = {NON_IDEMPOTENT: False, TOKENED: rpc.method.group == "all"}.get(rpc.method.kind, True)
        return repeats or all(p.result in NEVER_RAN for p in rpc.picks)

    def take(self, now, rpc, server):
        if self.bar(now, rpc, server):
            return False
        pick = Pick(
            rpc=rpc,
            server=server,
            number=len(rpc.picks),
            build=server.build,
            sent=now,
            young=now - server.booted < YOUNG,
            timed=False,
        )
        rpc.picks.append(pick)
        if not server.open:
            server.answered_at = now
        server.open += 1
        self.out += 1
        if self.cold(now, server):
            server.sent.append(now)
            self.chilled[server.build].append(now)
        tried = self.tried.setdefault((server.build, self.lane(rpc.method)), deque())
        trimmed(tried, now - self.window - self.tick).append(now)
        self.front.host.send(pick, rpc.deadline)
        return True

    def back(self, now, pick):
        pick.server.open -= 1
        self.out -= 1
        if pick.result == OK:
            trimmed(self.oks, now - self.tip_time).append(now)
            if self.one_way and pick.rpc.key:
                self.keys[pick.rpc.key] = max(pick.build, self.keys.get(pick.rpc.key, 0))
