"""What outcomes say of the build on trial, and what the front votes. Times as in decide.py."""

from bisect import bisect_left
from math import erfc, inf, sqrt
from statistics import NormalDist

from honeywood.balancer.interface import (
    ERROR,
    GO_BACK,
    GO_ON,
    GOING_BACK,
    HOLD,
    NO_VOTE,
    OK,
    ON_TRIAL,
    RELEASED,
    SECOND,
    TIMEOUT,
    WITHDRAWN,
)
from honeywood.release_analysis.outcome_statistics import LATENCY_BIN_EDGES, OutcomeStatistics, column_sums
from honeywood.release_analysis.multiple_testing import (
    FAILURE_MARGIN,
    MIN_EXPECTED_FAILURES,
    MIN_OUTCOMES,
    FALSE_DISCOVERY_RATE,
    benjamini_hochberg,
    inferiority_p_value,
)
from honeywood.balancer.decisions.send_policy import YOUNG

SLOW_MARGIN = 0.20  # the page starts at 0.10; see docs/design.md
CONFIRM = 1 * SECOND  # a rejection must still stand after this
LOOK = SECOND // 10  # how often the front looks around by itself
HALVE, MOST = SECOND, 512  # the earlier build's counts are halved so often, the trial's at so many
TIME_MARGIN = 1.0  # mean times that the platform tells may be longer by so much of the earlier's
ALONE_MARGIN = 0.10  # failure share allowed where there is no earlier build to compare with
WORSE, STAYS = (0.20, 0.30), 14 * SECOND  # RPCs fare so much worse than before: hold; and back, if so long
LISTED_LATE, COUNTED_LATE = 8 * SECOND, 5 * SECOND  # a step has started after this, listed or not
SOON = 0.4  # of the soft deadline: a pick that is out for so long is late
VOTE_AGAIN = SECOND // 2


def level_each(fronts, votes):
    """The level at which each of many fronts may test, so that at that rate at most so many err together as
    their votes take a good build off: the fronts' hypotheses are some of one family's (Poisson's tail)."""
    mean = (
        votes
        * (1 - 1 / (9 * votes) - NormalDist().inv_cdf(1 - FALSE_DISCOVERY_RATE) / (3 * sqrt(votes))) ** 3
    )
    return max(FALSE_DISCOVERY_RATE, mean) / fronts


class Judge:
    """Counts outcomes per build and method, applies the sorted cut and votes."""

    def __init__(self, front, settings):
        self.front, self.rule, self.methods = front, settings.vote_rule, settings.methods
        self.waves, self.first_cap, self.period = settings.waves, settings.caps[0], settings.tally_period
        self.renew, self.give_up_on = settings.vote_life // 2, settings.vote_wait + 2 * LOOK
        fronts, votes = max(1, settings.fronts), max(1, settings.back_votes)
        self.dear = max(
            1.0, FALSE_DISCOVERY_RATE / level_each(fronts, votes)
        )  # own p-values are multiplied by this
        # So many that hold stop a step; but a front whose vote alone sends back must be surer.
        self.hold_level = min(
            votes * FALSE_DISCOVERY_RATE, level_each(fronts, max(1, fronts - settings.go_votes + 1))
        )
        self.least = max(
            MIN_EXPECTED_FAILURES, MIN_OUTCOMES // votes
        )  # fronts whose votes are needed together share the sample
        self.build = self.step = self.standing = None
        self.cap, self.since, self.halved, self.places = 0.0, 0, 0, 0  # of the earlier build, at first
        self.before, self.mine = (
            [OutcomeStatistics() for _ in self.methods] for _ in range(2)
        )  # earlier, new
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
                self.mine, self.trial, self.tallies = [OutcomeStatistics() for _ in self.methods], {}, {}
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
        bin, failed = bisect_left(LATENCY_BIN_EDGES, pick.latency / method.soft), pick.result == ERROR
        if pick.build != self.build:
            return self.before[place].add(ended, failed, timed, bin)
        # What the earlier build did just now is what was to be expected here: troubles of both cancel out.
        self.changed, old = True, self.earlier(place)
        self.mine[place].add(ended, failed, timed, bin)
        rows = self.trial.setdefault(pick.server, [([0.0] * 3, [0.0] * 3) for _ in self.methods])
        if ended:
            rows[place][0][:] = column_sums((rows[place][0], (failed, 1, old.failed / (old.ended or 1))))
        if timed and len(self.front.mine) < len(self.front.ready):
            edge, share = old.slow_from()
            rows[place][1][:] = column_sums((rows[place][1], (bin >= edge, 1, share)))

    def earlier(self, place):  # a method too rare to be compared by itself counts with all of them
        return (
            self.before[place] if self.before[place].total >= MIN_OUTCOMES else OutcomeStatistics(self.before)
        )

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
        if (
            earlier
            and self.build in same
            and build in (earlier, self.build)
            and len(self.front.ready) > len(self.front.mine) <= 2 * fit
        ):
            (_, k1, n1, t1), (_, k0, n0, t0) = lines[self.build], lines[earlier]
            row, self.changed = self.tallies.setdefault(method.place, [0.0] * 7), True
            row[:4] = column_sums((row[:4], (k1, n1, n1 * k0 / n0, n0)))
            # Where all of the earlier build's failed there is no time to compare with; its mean is told as 0.
            oks = (n1 - k1) * (n0 > k0 and t0 > 0)
            row[4:] = oks * t1, oks * t0, oks

    def fared(self, now, badly):
        """Counts RPCs that ended badly, of late and before this build (which rests while it may be why)."""
        new = self.standing == ON_TRIAL or (self.standing == RELEASED and now - self.since < 2 * STAYS)
        for counts in (self.recent,) if new and self.places else (self.recent, self.normal):
            counts[:] = column_sums((counts, (badly, 1)))

    def worse(self, now):
        """A build may slow old and new alike, which no comparison of builds shows: no 'on' while RPCs fare
        far worse than before it, and 'back' if that stays."""
        (k, n), (k0, n0) = self.recent, self.normal
        # Without its list, or with fewer servers than before, a front fares badly for another reason.
        blind = len(self.front.ready) < 0.9 * self.places or (self.front.must_ask and not self.front.watching)
        hold, back = (
            1.0 if blind or not n0 or n < MIN_EXPECTED_FAILURES else inferiority_p_value(k, n, k0, n0, margin)
            for margin in WORSE
        )
        self.worse_since = None if hold > self.hold_level else self.worse_since or now
        if back * self.dear <= FALSE_DISCOVERY_RATE and now - (self.worse_since or now) >= STAYS:
            self.found_bad(f"{k:.0f} of {n:.0f} RPCs fare badly, {k0:.0f} of {n0:.0f} before it; it stays")

    def tests(self):
        """One test per method and kind of trouble: its p-value, and what it saw of how many and expected."""
        found, fail_margin = (
            [],
            FAILURE_MARGIN if sum(c.total for c in self.before) >= MIN_OUTCOMES else ALONE_MARGIN,
        )
        kinds = (0, "failures", fail_margin), (1, "slow answers", SLOW_MARGIN)
        # One of many fronts whose vote alone sends back leaves it to the counts of all, where told.
        for kind, what, margin in () if self.told and self.dear > MIN_OUTCOMES else kinds:
            rows = [[row[place][kind] for row in self.trial.values()] for place in range(len(self.methods))]
            # All methods together as one more hypothesis of each kind: it has its sample sooner.
            rows.append([column_sums(parts) for parts in zip(*rows)])
            for place, servers in enumerate(rows):
                k, n, e = column_sums(servers) or (0, 0, 0)
                old = self.earlier(place) if place < len(self.methods) else OutcomeStatistics(self.before)
                n0 = min(MOST, max(MIN_OUTCOMES, old.total))
                # One slow server is not a slow build: it must stand whichever trial server is left out.
                left = [(k - a, n - b, e - c) for a, b, c in servers if kind] or [(k, n, e)]
                least = self.least if kind else 3 if place < len(self.methods) else 1
                if min(n for _, n, _ in left) >= least:
                    p = max(inferiority_p_value(k, n, e / n * n0, n0, margin) for k, n, e in left)
                    found.append((min(1.0, p * self.dear), f"{what} of method {place}", k, n, e))
        rows = [*self.tallies.values(), column_sums(self.tallies.values())] if self.tallies else ()
        for k, n, e, n0, took, would, oks in rows:
            found.append(
                (inferiority_p_value(k, n, e / n * n0, n0, FAILURE_MARGIN), "tallied failures", k, n, e)
            )
            if oks >= MIN_OUTCOMES:
                p = 0.5 * erfc((took / would / (1 + TIME_MARGIN) - 1) * sqrt(oks / 2))  # as if exponential
                found.append((p, "tallied times", took, oks, would))
        return found

    def started(self, now):  # whether the step's servers are all listed and none is young
        mine, told = self.front.mine, [lines.get(self.build, (-inf, 0, 0)) for lines in self.told.values()]
        # Where lists come late, what the platform counts since the step began shows that its servers run.
        counted = sum(ended for at, _, ended, *_ in told if at > self.since) >= MIN_OUTCOMES
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
        if self.recent[1] >= MIN_OUTCOMES / 2 and now - self.recent_at >= SECOND:
            self.recent, self.recent_at = [n / 2 for n in self.recent], now
        if self.build is None or self.standing not in (ON_TRIAL, RELEASED):
            return
        self.worse(now)
        if self.changed:  # no p-value anew where no count has changed
            self.changed, self.found = False, self.tests()
        ps = [test[0] for test in self.found]
        self.suspect_since = (
            (self.suspect_since or now) if benjamini_hochberg(ps, FALSE_DISCOVERY_RATE) else None
        )
        if self.suspect_since is not None and now - self.suspect_since >= CONFIRM:
            p, what, k, n, e = min(self.found)
            self.found_bad(
                f"{what}, {k:.0f} of {n:.0f} where the earlier build lets expect {e:.1f}, "
                f"p {p:.4f} in {len(ps)} tests"
            )
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
            return HOLD if min(ps, default=1) <= FALSE_DISCOVERY_RATE else NO_VOTE if held else None
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
