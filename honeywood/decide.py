"""All decisions of a front: which server an RPC goes to, when it goes again or is given up, and what the
front votes on the build on trial.

The host calls a Front as interface.Decisions lists. An RPC runs down a chain: Intake, Trial, Routing, Gate;
what comes back runs up. Judge looks at that and votes. Times are tenths of a millisecond.
"""
from bisect import bisect_left
from collections import defaultdict, deque
from math import erfc, inf, isfinite, sqrt
from random import Random
from statistics import NormalDist

from honeywood.interface import (
    CANCELLED, CONNECT_FAILED, ERROR, FULL, GO_BACK, GO_ON, GOING_BACK, GONE, HOLD, LATE, MOOT,
    NEVER_RAN, NO_SERVER, NO_VOTE, NON_IDEMPOTENT, OK, ON_TRIAL, OUT_OF_TIME, READY, RELEASED, RESET, SECOND,
    SPENT, TIMEOUT, TOKENED, TOO_MANY_OPEN, WITHDRAWN, Bar, Pick)
from honeywood.judge.counts import EDGES, Counts, summed
from honeywood.judge.cut import FAIL_MARGIN, FEW, LEAST, Q, sorted_cut, trails

SLOW_MARGIN = 0.20             # the page starts at 0.10; see docs/design.md
YOUNG = 3 * SECOND             # servers under this age are no evidence; also the wait with short samples
CONFIRM = 1 * SECOND           # a rejection must still stand after this
LOOK = SECOND // 10            # how often the front looks around by itself
HALVE, MOST = SECOND, 512      # the earlier build's counts are halved so often, the trial's at so many
TIME_MARGIN = 1.0              # mean times that the platform tells may be longer by so much of the earlier's
ALONE_MARGIN = 0.10            # failure share allowed where there is no earlier build to compare with
WORSE, STAYS = (0.20, 0.30), 14 * SECOND  # RPCs fare so much worse than before: hold; and back, if so long
LISTED_LATE, COUNTED_LATE = 8 * SECOND, 5 * SECOND  # a step has started after this, listed or not
TIP_SAFE = 0.7                 # used part of cold servers' budget
SILENT = 9 * SECOND // 10      # a server that holds picks and answers none for so long is left alone
SHUN = 2 * SECOND              # a server that could not be reached, is full or timed out is left alone for
PROBE_WORTH = 0.02             # a probe an RPC is not worth more, in points of utility as prices are told
REPORT_AGE, RATE_OVER = SECOND, 2 * SECOND  # for so long reports of servers count, and answers to a rate
SOON = 0.4                     # RPCs may be open that the rate answers in this share of the soft deadline,
BORNE = 0.8                    # but a small front's last answers were quick within this one,
LAG = 0.25                     # and none is begun that waited for this front for this share of it;
HELD = 3                       # or so many a server by all fronts together, if that is more
TAIL = 3                       # mean times of answers after which one is overdue beyond chance (1 in 20)
COMING = 4                     # and so many times more whose answers have begun: these hold no core
FAILED_FADES, PACE_FADES = 7 * SECOND // 10, 7 * SECOND  # half is forgotten after this
REPEATS, DRAWN = 0.1, 6        # further picks earned by an RPC; servers drawn at most to find two fit ones
COMES_BACK, LEAST_KEPT = 5 * SECOND, 8  # a front keeps to as many servers as it meets again within this
GAPS = 16                      # gaps between RPCs that their mean goes back
VOTE_AGAIN, ASK_EVERY = SECOND // 2, 3 * SECOND


def trimmed(times, since):
    """A deque of times without those before `since`."""
    while times and times[0] < since:
        times.popleft()
    return times


def level_each(fronts, votes):
    """The level at which each of many fronts may test, so that with chance Q at most so many err together as
    their votes take a good build off: the fronts' hypotheses are some of one family's (Poisson's tail)."""
    mean = votes * (1 - 1 / (9 * votes) - NormalDist().inv_cdf(1 - Q) / (3 * sqrt(votes))) ** 3
    return max(Q, mean) / fronts


class Judge:
    """Counts outcomes per build and method, applies the sorted cut and votes."""

    def __init__(self, front, settings):
        self.front, self.rule, self.methods = front, settings.vote_rule, settings.methods
        self.waves, self.first_cap, self.period = settings.waves, settings.caps[0], settings.tally_period
        self.renew, self.give_up_on = settings.vote_life // 2, settings.vote_wait + 2 * LOOK
        fronts, votes = max(1, settings.fronts), max(1, settings.back_votes)
        self.dear = max(1.0, Q / level_each(fronts, votes))  # own p-values are multiplied by this
        # So many that hold stop a step; but a front whose vote alone sends back must be surer.
        self.hold_level = min(votes * Q, level_each(fronts, max(1, fronts - settings.go_votes + 1)))
        self.least = max(FEW, LEAST // votes)  # fronts whose votes are needed together share the sample
        self.build = self.step = self.standing = None
        self.cap, self.since, self.halved, self.places = 0.0, 0, 0, 0  # of the earlier build, at first
        self.before, self.mine = ([Counts() for _ in self.methods] for _ in range(2))  # earlier, new
        self.trial, self.told, self.tallies = {}, {}, {}
        self.recent, self.normal, self.recent_at, self.worse_since = [0.0, 0.0], [0.0, 0.0], 0, None
        self.suspect_since, self.bad, self.changed, self.found = None, [], True, []  # bad: here or by others
        self.vote, self.voted_at, self.asked, self.asked_at, self.spread = None, 0, None, -inf, 1.0

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
                if self.standing == RELEASED:  # what ailed the fleet before a build is not its doing
                    self.normal = list(max(self.normal, self.recent, key=lambda c: c[0] / (c[1] or 1)))
                self.suspect_since = self.worse_since = None
                self.places = sum(s.build < build for s in self.front.ready)
                if self.build is not None and self.build not in self.bad:
                    self.before = self.mine  # what was released is the earlier build from here on
                self.mine, self.trial, self.tallies = [Counts() for _ in self.methods], {}, {}
                self.bad = [b for b in self.bad if any(s.build == b for s in self.front.servers)]
            self.since, self.changed = now - age, True
        self.build, self.step, self.cap, self.standing = build, step, cap, standing
        if standing in (GOING_BACK, WITHDRAWN):
            self.found_bad("others sent it back")
        self.front.group()

    def back(self, pick):
        # What is overdue or was called back late tells of times: second tries do not hide a slow build.
        method, place, ended = pick.rpc.method, pick.rpc.method.place, pick.result in (OK, ERROR, TIMEOUT)
        timed = not pick.timed and pick.result != ERROR and (ended or pick.latency >= SOON * method.soft)
        pick.timed = pick.timed or timed
        if pick.young or pick.build in self.bad:
            return
        bin, failed = bisect_left(EDGES, pick.latency / method.soft), pick.result == ERROR
        if pick.build != self.build:
            return self.before[place].add(ended, failed, timed, bin)
        # What the earlier build did just now is what was to be expected here: troubles of both cancel out.
        self.changed, old = True, self.earlier(place)
        self.mine[place].add(ended, failed, timed, bin)
        rows = self.trial.setdefault(pick.server, [([0.0] * 3, [0.0] * 3) for _ in self.methods])
        if ended:
            rows[place][0][:] = summed((rows[place][0], (failed, 1, old.failed / (old.ended or 1))))
        if timed and len(self.front.mine) < len(self.front.ready):
            edge, share = old.slow_from()
            rows[place][1][:] = summed((rows[place][1], (bin >= edge, 1, share)))

    def earlier(self, place):  # a method too rare to be compared by itself counts with all of them
        return self.before[place] if self.before[place].total >= LEAST else Counts(self.before)

    def found_wrong(self, now, server, method):
        if server in self.trial:
            self.trial[server][method.place][0][0] += 1
            self.changed = True

    def tallied(self, now, build, method, failed, ended, mean, age):
        """The platform's sampled counts: late, but of all fronts' picks and the same for each."""
        lines = self.told.setdefault(method.place, {})
        lines[build] = now - age, failed, ended, mean
        same = [b for b in lines if abs(lines[b][0] - now + age) < self.period // 2 and lines[b][2]]
        earlier = max((b for b in same if b < self.build and b not in self.bad), default=None)
        fit = sum(s.booted + YOUNG <= now - age - self.period for s in self.front.mine)
        if (earlier and self.build in same and build in (earlier, self.build)
                and len(self.front.ready) > len(self.front.mine) <= 2 * fit):
            (_, k1, n1, t1), (_, k0, n0, t0) = lines[self.build], lines[earlier]
            row, self.changed = self.tallies.setdefault(method.place, [0.0] * 7), True
            row[:4] = summed((row[:4], (k1, n1, n1 * k0 / n0, n0)))
            # Where all of the earlier build's failed there is no time to compare with; its mean is told as 0.
            oks = (n1 - k1) * (n0 > k0 and t0 > 0)
            row[4:] = oks * t1, oks * t0, oks

    def fared(self, now, badly):
        """Counts RPCs that ended badly, of late and before this build (which rests while it may be why)."""
        new = self.standing == ON_TRIAL or (self.standing == RELEASED and now - self.since < 2 * STAYS)
        for counts in (self.recent,) if new and self.places else (self.recent, self.normal):
            counts[:] = summed((counts, (badly, 1)))

    def worse(self, now):
        """A build may slow old and new alike, which no comparison of builds shows: no 'on' while RPCs fare
        far worse than before it, and 'back' if that stays."""
        (k, n), (k0, n0) = self.recent, self.normal
        # Without its list, or with fewer servers than before, a front fares badly for another reason.
        blind = len(self.front.ready) < 0.9 * self.places or (self.front.must_ask and not self.front.watching)
        hold, back = (1.0 if blind or not n0 or n < FEW else trails(k, n, k0, n0, margin) for margin in WORSE)
        self.worse_since = None if hold > self.hold_level else self.worse_since or now
        if back * self.dear <= Q and now - (self.worse_since or now) >= STAYS:
            self.found_bad(f"{k:.0f} of {n:.0f} RPCs fare badly, {k0:.0f} of {n0:.0f} before it; it stays")

    def tests(self):
        """One test per method and kind of trouble: its p-value, and what it saw of how many and expected."""
        found, fail_margin = [], FAIL_MARGIN if sum(c.total for c in self.before) >= LEAST else ALONE_MARGIN
        kinds = (0, "failures", fail_margin), (1, "slow answers", SLOW_MARGIN)
        # One of many fronts whose vote alone sends back leaves it to the counts of all, where told.
        for kind, what, margin in () if self.told and self.dear > LEAST else kinds:
            rows = [[row[place][kind] for row in self.trial.values()] for place in range(len(self.methods))]
            # All methods together as one more hypothesis of each kind: it has its sample sooner.
            rows.append([summed(parts) for parts in zip(*rows)])
            for place, servers in enumerate(rows):
                k, n, e = summed(servers) or (0, 0, 0)
                old = self.earlier(place) if place < len(self.methods) else Counts(self.before)
                n0 = min(MOST, max(LEAST, old.total))
                # One slow server is not a slow build: it must stand whichever trial server is left out.
                left = [(k - a, n - b, e - c) for a, b, c in servers if kind] or [(k, n, e)]
                least = self.least if kind else 3 if place < len(self.methods) else 1
                if min(n for _, n, _ in left) >= least:
                    p = max(trails(k, n, e / n * n0, n0, margin) for k, n, e in left)
                    found.append((min(1.0, p * self.dear), f"{what} of method {place}", k, n, e))
        rows = [*self.tallies.values(), summed(self.tallies.values())] if self.tallies else ()
        for k, n, e, n0, took, would, oks in rows:
            found.append((trails(k, n, e / n * n0, n0, FAIL_MARGIN), "tallied failures", k, n, e))
            if oks >= LEAST:
                p = 0.5 * erfc((took / would / (1 + TIME_MARGIN) - 1) * sqrt(oks / 2))  # as if exponential
                found.append((p, "tallied times", took, oks, would))
        return found

    def started(self, now):  # whether the step's servers are all listed and none is young
        mine, told = self.front.mine, [lines.get(self.build, (-inf, 0, 0)) for lines in self.told.values()]
        # Where lists come late, what the platform counts since the step began shows that its servers run.
        counted = sum(ended for at, _, ended, *_ in told if at > self.since) >= LEAST
        late = COUNTED_LATE if counted else LISTED_LATE
        if len(mine) < 0.9 * self.waves[self.step] * self.places and now - self.since < late:
            return False
        return bool(mine) and now - max(mine[-1].booted, self.since) >= YOUNG

    def look(self, now):
        if now - self.halved >= HALVE:
            self.halved, self.changed = now, True
            for counts in self.before + self.mine:
                counts.halve()
            for failures, slow in (pair for rows in self.trial.values() for pair in rows):
                failures[:] = [n / 2 for n in failures] if failures[1] >= MOST else failures
                slow[:] = [n / 2 for n in slow] if slow[1] >= MOST / 8 else slow
        if self.recent[1] >= LEAST / 2 and now - self.recent_at >= SECOND:
            self.recent, self.recent_at = [n / 2 for n in self.recent], now
        if self.build is None or self.standing not in (ON_TRIAL, RELEASED):
            return
        self.worse(now)
        if self.changed:           # no p-value anew where no count has changed
            self.changed, self.found = False, self.tests()
        ps = [test[0] for test in self.found]
        self.suspect_since = (self.suspect_since or now) if sorted_cut(ps, Q) else None
        if self.suspect_since is not None and now - self.suspect_since >= CONFIRM:
            p, what, k, n, e = min(self.found)
            self.found_bad(f"{what}, {k:.0f} of {n:.0f} where the earlier build lets expect {e:.1f}, "
                           f"p {p:.4f} in {len(ps)} tests")
        self.cast(now, self.verdict(now, ps))

    def found_bad(self, why):
        if self.build not in self.bad:
            self.bad.append(self.build)
            self.front.group()
            self.front.log(f"build {self.build} found bad at step {self.step}: {why}")

    def verdict(self, now, ps):
        if self.build in self.bad:
            return GO_BACK
        if self.standing != ON_TRIAL:
            return None
        if self.rule == "clock":
            held = self.vote and self.vote[2] == HOLD
            return HOLD if min(ps, default=1) <= Q else NO_VOTE if held else None
        return GO_ON if self.suspect_since is self.worse_since is None and self.started(now) else None

    def cast(self, now, verdict):
        wanted = (self.build, self.step, verdict)
        if verdict is None or (self.vote == wanted and now - self.voted_at < self.renew * self.spread):
            return
        if now - self.asked_at < (self.give_up_on if self.asked else VOTE_AGAIN) * self.spread:
            return
        # Chance spreads the votes of many fronts: they share what the platform takes in a second.
        self.asked, self.asked_at, self.spread = wanted, now, 0.8 + 0.4 * self.front.random.random()
        if self.front.tap:
            self.front.tap.tested(now, self.found)
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
        self.out, self.fronts = 0, max(1, given.fronts)  # picks out
        self.luck, self.chilled, self.most = {}, defaultdict(deque), (0, 0, 0)  # of builds' cold servers
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
        return (cold <= self.most[2] and sent <= max(1, part * share)
                and server.open <= self.out / len(ready) + self.tip * (share - self.cold_share))

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
        if (risky and rpc.method.kind == NON_IDEMPOTENT
                or not self.duplicate and any(p.result is None for p in risky)):
            return Bar.MAY_HAVE_RUN
        if rpc.method.kind == TOKENED and not all(self.drops(now, p, server) for p in risky):
            return Bar.TOKEN
        judge = self.front.judge
        if self.one_way and judge.standing in (ON_TRIAL, RELEASED) and (
                server.build < judge.build == self.keys.get(rpc.key)):
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
        pick = Pick(rpc=rpc, server=server, number=len(rpc.picks), build=server.build, sent=now,
                    young=now - server.booted < YOUNG, timed=False)
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


class Routing(Stage):
    """Inside a build, the less busy of two random servers wins; sick ones are left out while others stand."""

    def __init__(self, front, below, settings):
        super().__init__(front, below)
        self.zone = settings.zone if settings.cross_price else None
        fields = settings.report_fields
        self.load_at = fields.index("active") if "active" in fields else None
        cheap = settings.may_probe and settings.probe_price <= PROBE_WORTH  # else all fronts pay for all
        self.probes, self.heard = cheap and self.load_at is not None, deque()
        self.turn = front.random.randrange(1 << 16)  # else all fronts probe the same server
        self.mean = [None] * len(settings.methods)
        inside = settings.me < settings.fronts
        self.start = settings.me / settings.fronts if inside else front.random.random()

    def held(self, now, server):
        past, server.faded_at = now - server.faded_at, now
        server.failed *= 0.5 ** (past / FAILED_FADES)
        server.pace += (1 - server.pace) * (1 - 0.5 ** (past / PACE_FADES))
        others = server.reported * (now - server.reported_at < REPORT_AGE)
        return server.open + others + server.failed + 1

    def kept(self, servers):
        """Those of them that a small front keeps to, as many as it meets again within COMES_BACK, since each
        pick would else need a new connection; where none is fit, the others follow. The parts of all fronts
        begin evenly spread over an order that is common to them, so that each server is in as many."""
        most = len(servers) / max(1, len(self.front.ready)) * COMES_BACK / max(1, self.front.intake.gap)
        most, start = max(LEAST_KEPT, int(most)), int(self.start * len(servers))
        return (servers[start:] + servers[:start])[:most] if most < len(servers) else ()

    def two(self, now, rpc, servers):
        """The less busy of two fit ones drawn, cold ones more seldom; all are asked where none is fit."""
        best, near, had = [], 0, [p.server for p in rpc.picks]
        draw, chance = self.front.random.sample, self.front.random.random
        few = servers and len(self.heard) < len(self.front.ready)
        fresh = dict.fromkeys(s for _, s in self.heard
                              if few and s.status == READY and s.trial == servers[0].trial)
        drawn = draw(list(fresh), min(2, len(fresh)))
        for group in self.kept(servers), servers:
            drawn += draw(group, min(DRAWN, len(group)))
        for server in dict.fromkeys(drawn):
            silent = server.open and now - server.answered_at >= SILENT
            bar = (Bar.WARMING if chance() >= self.below.warmth(now, server) else
                   Bar.LEFT_ALONE if now < server.shun_until else Bar.SILENT if silent else
                   Bar.TRIED if server in had else self.below.bar(now, rpc, server))
            if self.front.tap:
                self.front.tap.weighed(rpc, server, bar)
            if not bar:
                crossing = self.zone not in (None, server.zone)  # which costs: less busy by two then
                best.append((self.held(now, server) * server.pace + 2 * crossing, len(best), server))
                near += not crossing
            if near == 2:
                break
        if not best:
            bars = [self.below.bar(now, rpc, s) for s in servers]
            best = [(self.held(now, s), at, s) for at, (s, bar) in enumerate(zip(servers, bars)) if not bar]
            if self.front.tap:
                self.front.tap.asked_all(rpc, servers, bars)
        return min(best)[2] if best else None

    def take(self, now, rpc, first, second):
        """Sends to the first group, and to the second only if none of the first may be sent to."""
        while self.heard and self.heard[0][0] < now - REPORT_AGE:
            self.heard.popleft()
        # A probe an RPC at most: many small fronts that probe all would cost more than their RPCs.
        if self.probes and len(self.heard) < len(self.front.ready) and not rpc.picks:
            self.turn = (self.turn + 1) % len(self.front.ready)
            self.front.host.probe(self.front.ready[self.turn])
        one = self.two(now, rpc, first) or self.two(now, rpc, second)
        return one is not None and self.below.take(now, rpc, one)

    def probed(self, now, server, result, latency, load):
        if self.load_at is not None and len(load) > self.load_at and isfinite(load[self.load_at]):
            server.reported, server.reported_at = max(0.0, load[self.load_at] - server.open), now
            self.heard.append((now, server))

    def back(self, now, pick, load):
        self.below.back(now, pick)
        server, place = pick.server, pick.rpc.method.place
        self.probed(now, server, pick.result, pick.latency, load)
        # One alone says nothing of its server: the connection, the answer or the RPC may have been ill.
        ill = pick.result in (CONNECT_FAILED, RESET, TIMEOUT)
        if pick.result == FULL or (ill and server.ill):
            server.shun_until = now + SHUN
        if pick.result in (OK, ERROR):
            server.answered_at = now
        server.ill = ill or (server.ill and pick.result == CANCELLED)
        # A server that fails at once holds nothing and would draw all traffic: its failures count as held.
        server.failed += pick.result not in (OK, CANCELLED)
        if pick.result == OK:
            mean = self.mean[place] or max(1, pick.latency)
            self.mean[place] = mean + (pick.latency - mean) * 0.02
            server.pace += (min(10.0, pick.latency / mean) - server.pace) * 0.1


class Trial(Stage):
    """Trial picks fill the cap as far as its servers bear those of all fronts, by chance; the rest on."""

    def take(self, now, rpc):
        new, old, judge = self.front.new, self.front.old, self.front.judge
        if judge.build in judge.bad:
            return self.below.take(now, rpc, old, new)
        if not new and judge.standing == RELEASED and len(self.front.mine) >= 0.9 * judge.places:
            return self.below.take(now, rpc, self.front.first, old)  # the others drain before lists tell it
        if new and old:
            strong, rest = (sum(self.front.gate.warmth(now, s) for s in group) for group in (new, old))
            if self.front.random.random() * (strong + rest) >= strong:
                new, old = old, new
        return self.below.take(now, rpc, new, old)

    def back(self, now, pick, load):
        self.below.back(now, pick, load)
        self.front.judge.back(pick)


class Intake(Stage):
    """Takes RPCs, holds or pushes back what cannot be served, and gives each its one final answer."""

    def __init__(self, front, below, given):
        super().__init__(front, below)
        self.max_wait, self.cancels = given.max_wait, given.may_cancel
        most = max(m.utility for m in given.methods) or 1
        self.rank = [0.75 + 0.25 * m.utility / most for m in given.methods]
        self.open, self.coming = [], 0  # RPCs that wait for an answer or a server; whose answer trickles
        self.gap, self.taken_at = SECOND, -inf  # mean time between RPCs taken
        self.answers, self.spare, self.quick, self.fronts = deque(), 1.0, 1.0, max(1, given.fronts)

    def take(self, now, rpc):
        method, gate = rpc.method, self.front.gate
        self.gap += (min(COMES_BACK, now - self.taken_at) - self.gap) / GAPS
        self.taken_at = now
        rpc.soft = min(rpc.deadline, rpc.taken + method.soft + int(method.soft_stretch * rpc.work))
        trimmed(gate.taken[gate.lane(method)], now - gate.window).append(rpc.taken)
        self.spare = min(10.0, self.spare + REPEATS)
        self.open.append(rpc)
        if late := now - rpc.taken > LAG * method.soft:  # and so would be those that wait behind it
            self.front.closed_until = now + LOOK
        why = LATE if late else TOO_MANY_OPEN if self.full(now, rpc) else NO_SERVER
        if why != NO_SERVER or not self.below.take(now, rpc):
            self.give_up(now, rpc, why)

    def end(self, now, rpc, badly):
        if not rpc.late:
            self.front.judge.fared(now, badly or now > rpc.taken + rpc.method.soft // 2)
        rpc.done = True
        self.open = [other for other in self.open if other is not rpc]
        for pick in rpc.picks if self.cancels else ():
            if pick.result is None:
                self.front.host.cancel(pick)

    def give_up(self, now, rpc, why):  # a pushback while the client may still gain by it, else an abort
        rpc.why = why
        self.end(now, rpc, True)
        if self.front.gate.may_push_back(rpc) and now < rpc.soft:
            soon = rpc.method.soft // 4 if now >= self.front.closed_until else self.max_wait
            self.front.host.push_back(rpc, min(self.max_wait, soon))
        else:
            self.front.host.abort(rpc)

    def back(self, now, pick, load, ended):
        rpc = pick.rpc
        self.below.back(now, pick, load)
        if pick.result in (OK, ERROR):
            self.answers.append(now)
        # Small fronts have no rate to go by, but each has its last answers.
        if pick.result != CANCELLED:
            self.quick += (pick.result == OK and pick.latency < BORNE * rpc.method.soft) / 4 - self.quick / 4
        if rpc.done:
            return None
        if ended or pick.result == OK:
            return self.end(now, rpc, pick.result != OK)
        if not any(p.result is None for p in rpc.picks):
            free = pick.result in (CONNECT_FAILED, MOOT)  # but a full server's RPCs: a jam feeds itself
            why = OUT_OF_TIME if now >= rpc.soft else NO_SERVER if free or self.spare >= 1 else SPENT
            if why == NO_SERVER and self.below.take(now, rpc):
                self.spare -= not free
            else:
                self.give_up(now, rpc, why)

    def full(self, now, rpc):
        """Whether more is open than can be answered in time (Little's law): against queues that jam."""
        soon = len(trimmed(self.answers, now - RATE_OVER)) * rpc.method.soft * SOON / RATE_OVER
        least = max(1 + 9 * self.quick, HELD * len(self.front.ready) / self.fronts, soon + 2 * sqrt(soon))
        return len(self.open) - min(self.coming, COMING * least) > least * self.rank[rpc.method.place]

    def look(self, now):
        # Heads that come just before their bodies tell nothing: their server may still be at work.
        self.coming = sum(rpc.begun is not None and now - rpc.begun >= LOOK for rpc in self.open)
        for rpc in list(self.open):
            out = [p for p in rpc.picks if p.result is None]
            late = [p for p in out if now - p.sent >= SOON * rpc.method.soft]
            for pick in late if not rpc.late else ():
                pick.latency, rpc.late = now - pick.sent, True
                self.front.judge.fared(now, True)
                self.front.judge.back(pick)
            # Against servers that fall silent: one more try elsewhere while it can still be in time.
            # A small front has one pick at a server: its silence tells first that the work is long.
            tail = TAIL * (self.front.routing.mean[rpc.method.place] or 0)
            if (len(late) == len(out) == 1 and self.spare >= 1 and now < rpc.soft
                    and now - out[0].sent > tail and now - out[0].server.answered_at > SILENT // 2):
                self.spare -= self.below.take(now, rpc)


class Front:
    """One front's decisions: the list, the chain and the judge, as interface.Decisions."""

    def __init__(self, settings, host):
        self.host, self.random, self.tap = host, Random(settings.seed), host.tap
        self.log, self.servers, self.ready, self.new, self.old = host.log, [], [], [], []
        self.mine, self.first = [], []  # servers of the newest build told of, by their starts, and in order
        self.judge, self.gate = Judge(self, settings), Gate(self, settings)
        self.routing = Routing(self, self.gate, settings)
        self.intake = Intake(self, Trial(self, self.routing), settings)
        self.news, self.take, self.found_wrong = self.judge.news, self.intake.take, self.judge.found_wrong
        self.tallied, self.start, self.probed = self.judge.tallied, self.woken, self.routing.probed
        self.must_ask, self.asked, self.watching, self.closed_until = settings.must_ask, False, False, -inf
        self.ask_at = -inf
        self.ask_every = min(ASK_EVERY, settings.ask_within // 3 or ASK_EVERY)

    def listed(self, now, lines, whole):
        for server, build, zone, cell, scale, status, booted in lines:
            if server.status in (None, GONE):
                self.servers.append(server)
            if server.status in (None, GONE) or booted != server.booted or build != server.build:
                # New, or back under its old id: what was seen of the earlier process says nothing.
                server.pace, server.failed, server.faded_at, server.shun_until = 1.0, 0.0, now, now
                server.reported, server.reported_at, server.open = 0.0, -inf, server.open or 0
                server.sent, server.answered_at, server.ill = deque(), now, False
            server.build, server.zone, server.cell, server.scale = build, zone, cell, scale
            server.status, server.booted = status, booted
        if whole:
            named = {line[0] for line in lines}
            for server in self.servers:
                server.status = server.status if server in named else GONE
        self.servers = [s for s in self.servers if s.status != GONE]
        self.watching = self.asked
        self.group()

    def group(self):
        """Groups are made where the list or the step changes, not for each RPC: fleets are large."""
        self.ready = sorted((s for s in self.servers if s.status == READY), key=lambda s: s.mark or 0)
        builds = dict.fromkeys(s.build for s in self.ready)
        new = {b: b in self.judge.bad or self.judge.cap_of(b) is not None for b in builds}
        for server in self.ready:
            server.trial = new[server.build]
        self.new, self.old = [s for s in self.ready if s.trial], [s for s in self.ready if not s.trial]
        self.first = [s for s in self.ready if s.build == self.judge.build]
        self.mine = sorted(self.first, key=lambda s: s.booted)

    def list_failed(self, now):
        # Fronts that were refused together must not come together again: the same few would be taken.
        self.watching, self.ask_at = False, now + int(self.ask_every * self.random.random())

    def back(self, now, pick, result, latency, load, ended):
        pick.result, pick.latency = result, latency
        self.intake.back(now, pick, load, ended)

    def begun(self, now, pick):
        """The first of an answer has come, and not yet the last."""
        pick.rpc.begun = pick.rpc.begun or now

    def started(self, now, pick):
        pick.rpc.done = True  # a stream is its client's from here on: no answer is owed
        self.intake.open = [rpc for rpc in self.intake.open if rpc is not pick.rpc]

    def left(self, now, rpc):
        if not rpc.done:
            self.intake.end(now, rpc, True)

    def woken(self, now):
        self.host.wake(LOOK)
        # Asked again only while the watch is not known to stand, so that the list is not flooded.
        if self.must_ask and not self.watching and now >= self.ask_at:
            self.asked, self.ask_at = True, now + self.ask_every
            self.host.watch()
        self.intake.look(now)
        self.judge.look(now)
