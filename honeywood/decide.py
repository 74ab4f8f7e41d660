"""All decisions of a front: which server an RPC goes to, when it goes again or is given up, and what the
front votes on the build on trial.

The host (interface.Host) makes one Front an instance and calls it as interface.Decisions lists. An RPC runs
down a chain of stages, Intake - Trial - Routing - Gate; a stage passes it on, keeps it or ends it, and what
comes back runs up the chain. Judge looks at what came back and votes. Times are tenths of a millisecond.
"""
from collections import deque
from math import comb, erfc, inf, isfinite, sqrt
from random import Random

from honeywood.interface import (
    CANCELLED, CONNECT_FAILED, ERROR, FULL, GO_BACK, GO_ON, GOING_BACK, GONE, HOLD, NEVER_RAN, NO_VOTE,
    NON_IDEMPOTENT, OK, ON_TRIAL, READY, RELEASED, RESET, SECOND, TIMEOUT, TOKENED, WITHDRAWN, Pick)

# The design page's figures.
Q = 0.05                       # level of the sorted cut
FAIL_MARGIN, SLOW_MARGIN = 0.02, 0.20  # the page starts at 0.02, 0.10; see docs/design.md on 0.20
LEAST = 20                     # outcomes a method needs before it is tested
YOUNG = 3 * SECOND             # servers under this age are no evidence; also the wait with short samples
CONFIRM = 1 * SECOND           # a rejection must still stand after this
# Ours.
FEW = 5                        # with fewer failures allowed than this, the exact tail is taken
LOOK = SECOND // 20            # how often the front looks around by itself
SLOW_SHARE = 0.25              # the earlier build's share that counts as slow
EDGES = [n / 16 for n in (1, 2, 3, 4, 6, 8, 12, 16)]  # bins of answer times, in soft deadlines
HALVE = 12 * SECOND            # how often answer times are halved
MOST = 512                     # failures are halved at so many outcomes
RECENT = 1 * SECOND            # how often the counts of just now are halved
ALONE_MARGIN = 0.10            # failure share allowed where there is no earlier build to compare with
WITHHOLD = 8 * SECOND          # against builds that slow old and new alike: trial picks stop for so long,
RELIEFS, ALIKE_MARGIN = 2, 0.30  # where RPCs outside it fare so much worse; so many reliefs must follow.
GONE_MARGIN = 0.50             # As much worse it must be where there is nothing to withhold, for as long,
CARRY = 0.7                    # that is, where less than this part of the earlier servers is there
LISTED_LATE = 8 * SECOND       # a step counts as fully started after this
TIP_SAFE = 0.7                 # how much of a cold server's budget is used
SILENT = 9 * SECOND // 10      # a server that holds picks and answers none for so long is left alone
SHUN, SHUN_MOST = SECOND // 2, 4 * SECOND
REPORT_AGE, PROBE_EVERY = SECOND, SECOND // 2
WAIT_SHARE = 0.2               # share of its soft deadline an RPC may wait for a server
RATE_OVER = 2 * SECOND         # answers are counted over this,
SOON = 0.4                     # RPCs may be open that such a rate answers in this share of the soft deadline,
HELD = 3                       # or so many a server by all fronts together, if that is more
OVER_SHARE = 1.2               # a customer is beyond its share with so many times that part of the RPCs
REPEATS = 0.1                  # further picks earned by an RPC
VOTE_AGAIN, ASK_EVERY = SECOND // 2, 3 * SECOND


def sorted_cut(ps, q):
    """Procedure (1): the indexes of the rejected p-values."""
    order = sorted(range(len(ps)), key=lambda i: ps[i])
    k = max((i for i, at in enumerate(order, 1) if ps[at] <= i / len(ps) * q), default=0)
    return sorted(order[:k])


def trails(k1, n1, k0, n0, margin):
    """The p-value of 'k1/n1 leads k0/n0 by no more than margin': a one-sided two-proportion z-test, or where
    fewer than FEW are allowed, and the normal curve is poor, the exact tail of the binomial at that share.

    >>> round(trails(2, 3, 0, 1000, 0.02), 5)
    0.00118
    """
    a, b = k1 / n1, k0 / n0
    if n1 * (b + margin) < FEW:
        n, k, share = round(n1), round(k1), min(1.0, b + margin)
        return sum(comb(n, i) * share ** i * (1 - share) ** (n - i) for i in range(k, n + 1))
    spread, ahead = sqrt(a * (1 - a) / n1 + b * (1 - b) / n0), a - b - margin
    return 0.5 * erfc(ahead / spread / sqrt(2)) if spread else float(ahead <= 0)


def trimmed(times, since):
    """A deque of times without those before `since`."""
    while times and times[0] < since:
        times.popleft()
    return times


class Counts:
    """Failures, which tell at any time, and answer times, which tell only beside those of the same time."""
    __slots__ = ("failed", "ended", "bins")

    def __init__(self):
        self.failed, self.ended, self.bins = 0.0, 0.0, [0.0] * (len(EDGES) + 1)

    def add(self, method, result, latency):
        self.ended += 1
        self.failed += result == ERROR
        if result != ERROR:
            self.bins[sum(latency > edge * method.soft for edge in EDGES)] += 1
        if self.ended >= MOST:
            self.ended, self.failed = self.ended / 2, self.failed / 2

    def halve_times(self):
        self.bins = [n / 2 for n in self.bins]

    def slow_from(self):
        """The bin from which answers count as slow beside these (SLOW_SHARE at most do), and their share."""
        shares = [sum(self.bins[at:]) / sum(self.bins) for at in range(len(self.bins))]
        edge = next((at for at, share in enumerate(shares) if share <= SLOW_SHARE), len(EDGES))
        return edge, shares[edge]


def merged(counts):
    total = Counts()
    total.failed, total.ended = sum(c.failed for c in counts), sum(c.ended for c in counts)
    total.bins = [sum(column) for column in zip(*(c.bins for c in counts))]
    return total


class Judge:
    """Counts outcomes per build and method, applies the sorted cut and votes."""

    def __init__(self, front, settings):
        self.front, self.rule = front, settings.vote_rule
        self.methods, self.waves, self.first_cap = settings.methods, settings.waves, settings.caps[0]
        self.renew, self.give_up_on = settings.vote_life // 2, settings.vote_wait + 2 * LOOK
        self.build = self.step = self.standing = None
        self.cap, self.since, self.counts, self.halved, self.recent_at = 0.0, 0, {}, 0, 0
        self.recent, self.normal = ([Counts() for _ in self.methods] for _ in range(2))
        self.places, self.settled = 0, True  # servers of the earlier build when the trial was first seen
        self.suspect_since = self.alike_since = self.withheld = None
        self.reliefs, self.outside_until, self.bad = 0, -inf, []  # bad: found so here or sent back by others
        self.vote, self.voted_at, self.asked, self.asked_at = None, 0, None, -inf

    def cap_of(self, build):
        """The cap and step of a build on trial, or None for one that is not."""
        if self.build is None:
            builds = [build] + [s.build for s in self.front.servers]
            return (self.first_cap, 0) if build == max(builds) > min(builds) else None
        if build < self.build or (build == self.build and self.standing == RELEASED):
            return None
        return (self.cap, self.step) if build == self.build else (self.first_cap, 0)

    def news(self, now, result, reply, build, step, cap, standing, age):
        if reply and self.asked:
            if result == OK:
                self.vote, self.voted_at = self.asked, now
            self.asked = None
        if result != OK:
            return
        if (build, step, standing) != (self.build, self.step, self.standing):
            if build != self.build:
                self.suspect_since = self.alike_since = self.withheld = None
                self.reliefs, self.outside_until = 0, -inf
                self.places = sum(s.build < build for s in self.front.ready)
                # Only the build that this one follows is of use from here on.
                last = max((b for b in self.counts if b < build and b not in self.bad), default=None)
                self.counts = {b: counts for b, counts in self.counts.items() if b >= build or b == last}
                self.bad = [b for b in self.bad if any(s.build == b for s in self.front.servers)]
            self.since = now - age
        self.build, self.step, self.cap, self.standing = build, step, cap, standing
        if standing in (GOING_BACK, WITHDRAWN):
            self.found_bad("others sent it back")

    def back(self, pick):
        if pick.young or pick.result not in (OK, ERROR, TIMEOUT):
            return
        servers, method = self.counts.setdefault(pick.build, {}), pick.rpc.method
        counts = servers.setdefault(pick.server, [Counts() for _ in self.methods])
        counts[method.place].add(method, pick.result, pick.latency)
        if self.cap_of(pick.build) is None:
            self.remember(method, pick.result, pick.latency)

    def found_wrong(self, now, server, method):
        if server in self.counts.get(server.build, {}):
            self.counts[server.build][server][method.place].failed += 1

    def remember(self, method, result, latency):
        """Adds to how RPCs fare outside the trial, those pushed back for want of room among the slowest."""
        self.recent[method.place].add(method, result, latency)
        if self.settled:
            self.normal[method.place].add(method, result, latency)

    def tests(self):
        """One test per method and kind of trouble, each its p-value and what it compares."""
        trial = list(self.counts.get(self.build, {}).values())
        earlier = max((b for b in self.counts if b < self.build and b not in self.bad), default=None)
        before = [merged(counts) for counts in zip(*self.counts.get(earlier, {}).values())]
        failed, ended, margin = sum(c.failed for c in before), sum(c.ended for c in before), FAIL_MARGIN
        if ended < LEAST and not any(s.build != self.build for s in self.front.ready):
            # A front that starts after the earlier build has gone has nothing to compare with.
            before = before or [Counts() for _ in self.methods]
            failed, ended, margin = 0, LEAST, ALONE_MARGIN
        found, slow, everywhere = [], [], [0.0, 0.0]
        for place, old in enumerate(before if trial else ()):
            new = merged([counts[place] for counts in trial])
            # A method too rare in the earlier build to be tested by itself is held against all of them.
            k0, n0 = (old.failed, old.ended) if old.ended >= LEAST else (failed, ended)
            found.append((f"failures of method {place}", new.failed, new.ended, k0, n0))
            n0, pairs = sum(old.bins), [(sum(c[place].bins), c[place]) for c in trial]
            # Answer times tell only beside those of the same time.
            if n0 >= LEAST and any(s.build == earlier for s in self.front.ready):
                edge, share = old.slow_from()
                pairs = [(sum(c.bins[edge:]), n) for n, c in pairs]
                slow.append((f"slow answers of method {place}", pairs, share, n0))
                everywhere = [everywhere[0] + share * sum(n for _, n in pairs), everywhere[1] + n0]
        # All methods together as one more hypothesis of each kind: it has its sample sooner.
        found.append(("failures", sum(t[1] for t in found), sum(t[2] for t in found), failed, ended))
        found = [(trails(*test[1:], margin), *test) for test in found if test[2] and test[4] >= LEAST]
        pairs = [tuple(map(sum, zip(*row))) for row in zip(*(test[1] for test in slow))]
        if sum(n for _, n in pairs):
            slow.append(("slow answers", pairs, everywhere[0] / sum(n for _, n in pairs), everywhere[1]))
        for what, pairs, share, n0 in slow:
            # One slow server is not a slow build: a rejection must stand whichever trial server is left out.
            k1, n1 = sum(k for k, _ in pairs), sum(n for _, n in pairs)
            if all(n1 - n >= LEAST for _, n in pairs):
                p = max(trails(k1 - k, n1 - n, share * n0, n0, SLOW_MARGIN) for k, n in pairs)
                found.append((p, what, k1, n1, share * n0, n0))
        return found

    def alike(self, margin):
        """The p-value of 'outside the trial RPCs fare no worse than before', and slow ones of how many."""
        k1 = n1 = k0 = n0 = 0.0
        for new, old in zip(self.recent, self.normal):
            n, m = sum(new.bins), sum(old.bins)
            if m < LEAST:
                continue
            edge, share = old.slow_from()
            k1, n1, k0, n0 = k1 + sum(new.bins[edge:]), n1 + n, k0 + n * share, n0 + m
        return (trails(k1, n1, k0 / n1 * n0, n0, margin), k1, n1) if n1 >= LEAST // 2 else None

    def look_alike(self, now):
        """Slowness of old and new alike is the trial's if it comes and goes with its traffic: the front
        withholds its trial picks and looks. Where too few earlier servers are left, it only waits as long."""
        earlier = sum(self.cap_of(s.build) is None for s in self.front.ready)
        can = self.standing == ON_TRIAL and earlier >= CARRY * self.places
        self.withheld = self.withheld if can else None
        seen = self.alike(ALIKE_MARGIN if can else GONE_MARGIN)
        if self.front.must_ask and not self.front.watching:
            # Without its list the front sends to servers long gone and misses new ones: its own trouble.
            self.alike_since, self.outside_until = None, now + WITHHOLD
        if seen is None or now < self.outside_until:
            return
        p, slow, ended = seen
        if self.withheld is not None:
            start, slow_then, ended_then = self.withheld
            over = now - start >= WITHHOLD
            if p > Q or (over and trails(slow_then, ended_then, slow, ended, SLOW_MARGIN / 2) <= Q):
                self.reliefs += 1
                self.alike_since = self.withheld = None
                if self.reliefs >= RELIEFS:
                    self.found_bad("slows the others too")
            elif over:
                # From outside, it seems: no 'on' while it lasts all the same, and withheld again later.
                self.outside_until, self.alike_since, self.withheld = now + WITHHOLD // 2, now, None
        elif p > Q or self.settled:
            self.alike_since = None
        elif self.alike_since is None:
            self.alike_since = now
        elif can and now - self.alike_since >= CONFIRM:
            self.withheld = now, slow, ended
            self.front.log(f"build {self.build}: the others are slower than before it, p {p:.4f}; withheld")
        elif not can and now - self.alike_since >= WITHHOLD:
            self.found_bad("all slower than before it, too late to withhold it")

    def started(self, now):  # whether the step's servers are all listed and none is young
        mine = [s for s in self.front.ready if s.build == self.build]
        if len(mine) < 0.9 * self.waves[self.step] * self.places and now - self.since < LISTED_LATE:
            return False
        return bool(mine) and now - max(max(s.booted for s in mine), self.since) >= YOUNG

    def look(self, now):
        fresh = self.standing == ON_TRIAL or (self.standing == RELEASED and now - self.since < 2 * WITHHOLD)
        self.settled = not (fresh and self.places)  # no build so new that it could be why RPCs fare so
        if now - self.halved >= HALVE:
            self.halved = now
            rows = [row for build in self.counts.values() for row in build.values()]
            for counts in (c for row in rows + [self.normal] * self.settled for c in row):
                counts.halve_times()
        for counts in self.recent if now - self.recent_at >= RECENT else ():
            counts.halve_times()
            self.recent_at = now
        if self.build is None or self.standing not in (ON_TRIAL, RELEASED):
            return
        self.look_alike(now)
        tests = self.tests()
        ps = [test[0] for test in tests]
        self.suspect_since = (self.suspect_since or now) if sorted_cut(ps, Q) else None
        if self.suspect_since is not None and now - self.suspect_since >= CONFIRM:
            p, what, k1, n1, k0, n0 = min(tests)
            self.found_bad(f"{what}, {k1:.0f} of {n1:.0f} against {k0:.0f} of {n0:.0f} before, "
                           f"p {p:.4f} in {len(ps)} tests")
        self.cast(now, self.verdict(now, ps))

    def found_bad(self, why):
        if self.build not in self.bad:
            self.bad.append(self.build)
            self.front.log(f"build {self.build} found bad at step {self.step}: {why}")

    def verdict(self, now, ps):
        if self.build in self.bad:
            return GO_BACK
        if self.standing != ON_TRIAL:
            return None
        if self.rule == "clock":
            held = self.vote and self.vote[2] == HOLD
            return HOLD if min(ps, default=1) <= Q else NO_VOTE if held else None
        clean = self.suspect_since is None and self.alike_since is None
        return GO_ON if clean and self.started(now) else None

    def cast(self, now, verdict):
        wanted = (self.build, self.step, verdict)
        if verdict is None or (self.vote == wanted and now - self.voted_at < self.renew):
            return
        if now - self.asked_at < (self.give_up_on if self.asked else VOTE_AGAIN):
            return
        self.asked, self.asked_at = wanted, now
        self.front.host.vote(*wanted)


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
        self.keys = {}             # under a one-way rule: the latest build that answered a key

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

    def cold_room(self, now, server):
        """A cold server gets no more than its part of what this front's warm servers bear, so that all fronts
        together keep to its budget; what it holds is bounded too, against builds that need more work."""
        age = now - server.booted
        if age >= self.cold_time + self.tip_time:
            return True
        warm = [s.open for s in self.front.ready if now - s.booted >= self.cold_time]
        since = now - self.tip_time
        oks, sent = trimmed(self.oks, since), trimmed(server.sent, since - self.tick)
        share = min(1.0, self.cold_share + (1 - self.cold_share) * max(0, age) / self.cold_time)
        most = self.tip * share * len(oks) / max(1, len(self.front.ready))
        held = 1 + sum(warm) / max(1, len(warm)) + self.tip * (share - self.cold_share)
        return len(sent) + 1 <= max(1, most) and server.open + 1 <= held

    def may(self, now, rpc, server):
        if rpc.done or server.status != READY or len(rpc.picks) >= self.max_picks or now >= rpc.deadline:
            return False
        risky = [p for p in rpc.picks if p.result not in NEVER_RAN]
        if risky and rpc.method.kind == NON_IDEMPOTENT:
            return False
        if not self.duplicate and any(p.result is None for p in risky):
            return False
        if rpc.method.kind == TOKENED and not all(self.drops(now, p, server) for p in risky):
            return False
        judge = self.front.judge
        if self.one_way and judge.standing in (ON_TRIAL, RELEASED) and (
                server.build < judge.build == self.keys.get(rpc.key)):
            return False
        return self.room(now, server.build, rpc.method) and self.cold_room(now, server)

    def drops(self, now, pick, server):
        group, method = pick.rpc.method.group, pick.rpc.method
        same = group == "all" or getattr(pick.server, group) == getattr(server, group)
        return same and now + self.tick < pick.sent + method.window

    def may_push_back(self, rpc):
        repeats = {NON_IDEMPOTENT: False, TOKENED: rpc.method.group == "all"}.get(rpc.method.kind, True)
        return repeats or all(p.result in NEVER_RAN for p in rpc.picks)

    def take(self, now, rpc, server):
        if not self.may(now, rpc, server):
            return False
        pick = Pick(rpc=rpc, server=server, number=len(rpc.picks), build=server.build, sent=now,
                    young=now - server.booted < YOUNG)
        rpc.picks.append(pick)
        if not server.open:
            server.answered_at = now
        server.open += 1
        trimmed(server.sent, now - self.tip_time - self.tick).append(now)
        tried = self.tried.setdefault((server.build, self.lane(rpc.method)), deque())
        trimmed(tried, now - self.window - self.tick).append(now)
        self.front.host.send(pick, rpc.deadline)
        return True

    def back(self, now, pick):
        pick.server.open -= 1
        if pick.result == OK:
            trimmed(self.oks, now - self.tip_time).append(now)
            if self.one_way and pick.rpc.key:
                self.keys[pick.rpc.key] = max(pick.build, self.keys.get(pick.rpc.key, 0))


class Routing(Stage):
    """Inside a build, the less busy of two random servers wins; sick ones are left out while others stand."""

    def __init__(self, front, below, settings):
        super().__init__(front, below)
        self.zone = settings.zone if settings.cross_price else None
        fields = settings.report_fields
        self.load_at = fields.index("active") if "active" in fields else None
        self.probes = settings.may_probe and self.load_at is not None and not settings.answers_report
        self.mean = [None] * len(settings.methods)

    def busy(self, now, server):
        others = server.reported * (now - server.reported_at < REPORT_AGE)
        return (server.open + others + server.failed + 1) * server.pace

    def two(self, now, rpc, servers):
        able = [s for s in servers if self.below.may(now, rpc, s)]
        able = [s for s in able if s not in [p.server for p in rpc.picks]] or able
        able = [s for s in able if now >= s.shun_until
                and (not s.open or now - s.answered_at < SILENT)] or able
        best = []
        for here in ([s for s in able if s.zone == self.zone], [s for s in able if s.zone != self.zone]):
            for server in self.front.random.sample(here, min(2, len(here))):
                # Another zone's server must be less busy by two, since crossing costs.
                best.append((self.busy(now, server) + 2 * (server.zone != self.zone), len(best), server))
        return min(best)[2] if best else None

    def take(self, now, rpc, first, second):
        """Sends to the first group, unless its server is far busier than the second group's."""
        one, other = self.two(now, rpc, first), self.two(now, rpc, second)
        if one is None or (other is not None and self.busy(now, one) > self.busy(now, other) + 1):
            one, other = other, one
        return one is not None and self.below.take(now, rpc, one)

    def report(self, now, server, load):
        if self.load_at is not None and len(load) > self.load_at and isfinite(load[self.load_at]):
            server.reported, server.reported_at = max(0.0, load[self.load_at] - server.open), now

    def back(self, now, pick, load):
        self.below.back(now, pick)
        server, place = pick.server, pick.rpc.method.place
        self.report(now, server, load)
        if pick.result in (CONNECT_FAILED, RESET, TIMEOUT, FULL):
            server.bad_row += 1
            server.shun_until = now + min(SHUN_MOST, SHUN << min(8, server.bad_row - 1))
        elif pick.result in (OK, ERROR):
            server.bad_row, server.answered_at = 0, now
        # A server that fails at once holds nothing and would draw all traffic: its failures count as held.
        server.failed += pick.result not in (OK, CANCELLED)
        if pick.result == OK:
            mean = self.mean[place] or max(1, pick.latency)
            self.mean[place] = mean + (pick.latency - mean) * 0.02
            server.pace += (min(10.0, pick.latency / mean) - server.pace) * 0.1

    def look(self, now):
        for server in self.front.ready:
            server.pace += (1 - server.pace) * 0.005
            server.failed *= 0.95
            if self.probes and now - server.probed_at >= PROBE_EVERY * len(self.front.ready) / 10:
                server.probed_at = now
                self.front.host.probe(server)


class Trial(Stage):
    """Trial picks fill the cap; the rest goes to the builds before."""

    def take(self, now, rpc):
        judge, ready = self.front.judge, self.front.ready
        new = [s for s in ready if s.build in judge.bad or judge.cap_of(s.build) is not None]
        old = [s for s in ready if s not in new]
        if judge.build in judge.bad or judge.withheld is not None:
            if len(old) >= CARRY * judge.places:  # then nothing spills over to the trial's servers
                return self.below.take(now, rpc, old, []) or self.below.take(now, rpc, new, [])
            new, old = old, new
        return self.below.take(now, rpc, new, old)

    def back(self, now, pick, load):
        self.below.back(now, pick, load)
        self.front.judge.back(pick)


class Intake(Stage):
    """Takes RPCs, holds or pushes back what cannot be served, and gives each its one final answer."""

    def __init__(self, front, below, given):
        super().__init__(front, below)
        self.max_wait, self.cancels, self.duplicate = given.max_wait, given.may_cancel, given.may_duplicate
        most = max(m.utility for m in given.methods) or 1
        self.rank = [0.75 + 0.25 * m.utility / most for m in given.methods]
        self.shares, self.asked = [c[0] * OVER_SHARE for c in given.customers], [0.0] * len(given.customers)
        self.open = []             # RPCs that wait for an answer, or for a server to go to
        self.answers, self.began, self.spare, self.fronts = deque(), inf, 1.0, given.fronts

    def take(self, now, rpc):
        method = rpc.method
        rpc.soft = min(rpc.deadline, now + method.soft + int(method.soft_stretch * rpc.work))
        self.began = min(self.began, now)
        gate = self.front.gate
        trimmed(gate.taken[gate.lane(method)], now - gate.window).append(now)
        self.spare = min(10.0, self.spare + REPEATS)
        if self.shares:
            self.asked[rpc.customer] += 1
            self.asked = [n / 2 for n in self.asked] if sum(self.asked) > MOST / 2 else self.asked
        self.open.append(rpc)
        if self.full(now, rpc):
            self.front.judge.remember(method, TIMEOUT, inf)
            self.give_up(now, rpc)
        elif not self.below.take(now, rpc):
            self.hold(now, rpc)

    def hold(self, now, rpc):  # but the next look would come too late for a client about to leave
        if now + 2 * LOOK >= rpc.soft or now >= rpc.taken + WAIT_SHARE * rpc.method.soft:
            self.give_up(now, rpc)

    def end(self, rpc):
        rpc.done = True
        self.open = [other for other in self.open if other is not rpc]
        for pick in rpc.picks if self.cancels else ():
            if pick.result is None:
                self.front.host.cancel(pick)

    def give_up(self, now, rpc):  # a pushback while the client may still gain by it, else an abort
        self.end(rpc)
        if self.front.gate.may_push_back(rpc) and now < rpc.soft:
            self.front.host.push_back(rpc, min(self.max_wait, rpc.method.soft // 4))
        else:
            self.front.host.abort(rpc)

    def back(self, now, pick, load, ended):
        rpc = pick.rpc
        self.below.back(now, pick, load)
        if pick.result in (OK, ERROR):
            self.answers.append(now)
        if rpc.done:
            return None
        if ended or pick.result == OK:
            return self.end(rpc)
        if not any(p.result is None for p in rpc.picks):
            never_ran = pick.result in NEVER_RAN
            if now < rpc.soft and (never_ran or self.spare >= 1):
                self.spare -= not never_ran
                if self.below.take(now, rpc):
                    return None
            return self.hold(now, rpc) if never_ran and now < rpc.soft else self.give_up(now, rpc)

    def full(self, now, rpc):
        """Whether this front holds more than can be answered well within the soft deadline (Little's law on
        the answers of late). Against queues that jam: then all is late, and repeats keep it so."""
        over = min(RATE_OVER, now - self.began)
        soon = len(trimmed(self.answers, now - RATE_OVER)) * rpc.method.soft * SOON / max(1, over)
        soon += 2 * sqrt(soon)  # small fronts: so much comes by chance
        least = max(4, HELD * len(self.front.ready) / self.fronts)
        rank = self.rank[rpc.method.place]
        if self.shares and self.asked[rpc.customer] > self.shares[rpc.customer] * sum(self.asked):
            rank *= 0.75  # beyond a customer's share RPCs are of little utility
        return over == RATE_OVER and len(self.open) > max(least, soon) * rank

    def look(self, now):
        for rpc in list(self.open):
            out = [p for p in rpc.picks if p.result is None]
            if not out and not self.below.take(now, rpc):
                self.hold(now, rpc)
            # Against servers that fall silent: one more try elsewhere while it can still be in time.
            if (len(out) == 1 and rpc.method.kind != NON_IDEMPOTENT and self.spare >= 1 and now < rpc.soft
                    and now - out[0].sent > 0.4 * rpc.method.soft and out[0].server.open
                    and now - out[0].server.answered_at > SILENT // 2):
                if self.duplicate:
                    self.spare -= self.below.take(now, rpc)
                elif self.cancels:
                    self.front.host.cancel(out[0])


class Front:
    """One front's decisions: the list, the chain and the judge, as interface.Decisions."""

    def __init__(self, settings, host):
        self.host, self.random = host, Random(settings.seed)
        self.log, self.servers, self.ready = host.log, [], []
        self.judge, self.gate = Judge(self, settings), Gate(self, settings)
        self.routing = Routing(self, self.gate, settings)
        self.intake = Intake(self, Trial(self, self.routing), settings)
        self.news, self.take, self.found_wrong = self.judge.news, self.intake.take, self.judge.found_wrong
        self.must_ask, self.asked_at, self.watching = settings.must_ask, -inf, False
        self.ask_every = min(ASK_EVERY, settings.ask_within // 3 or ASK_EVERY)

    def start(self, now):
        self.woken(now)

    def ask(self, now):
        # Asked again only while the watch is not known to stand, so that the list is not flooded.
        if self.must_ask and not self.watching and now - self.asked_at >= self.ask_every:
            self.asked_at = now
            self.host.watch()

    def listed(self, now, lines, whole):
        for server, build, zone, cell, scale, status, booted in lines:
            if server.status in (None, GONE) or booted != server.booted or build != server.build:
                # New, or back under its old id: what was seen of the earlier process says nothing.
                server.pace, server.failed, server.bad_row, server.shun_until = 1.0, 0.0, 0, 0
                server.reported, server.reported_at, server.probed_at = 0.0, -inf, -inf
                server.sent, server.answered_at = deque(), now
                server.open = server.open or 0
            server.build, server.zone, server.cell, server.scale = build, zone, cell, scale
            server.status, server.booted = status, booted
        named = [line[0] for line in lines]
        for server in self.servers if whole else ():
            if server not in named:
                server.status = GONE
        self.servers += [s for s in named if s not in self.servers]
        self.servers = [s for s in self.servers if s.status != GONE]
        self.ready = [s for s in self.servers if s.status == READY]
        self.watching = self.asked_at > -inf

    def list_failed(self, now):
        self.watching = False

    def back(self, now, pick, result, latency, load, ended):
        pick.result, pick.latency = result, latency
        self.intake.back(now, pick, load, ended)

    def started(self, now, pick):
        pick.rpc.done = True  # a stream is its client's from here on: no answer is owed
        self.intake.open = [rpc for rpc in self.intake.open if rpc is not pick.rpc]

    def left(self, now, rpc):
        if not rpc.done:
            self.intake.end(rpc)

    def probed(self, now, server, result, latency, load):
        self.routing.report(now, server, load)

    def woken(self, now):
        self.host.wake(LOOK)
        self.ask(now)
        self.routing.look(now)
        self.intake.look(now)
        self.judge.look(now)
