"""What counts say of a version on trial: at a front of its own ones, at a controller of all fronts' pooled
ones; and the next step of the rollout, from the pooled counts and the fronts' votes."""

from honeywood.gateway.rollout.record import DONE, FULL, REVERTED, TRIAL, WIDE
from honeywood.judge.counts import Counts, summed
from honeywood.judge.cut import FAIL_MARGIN, LEAST, Q, sorted_cut, trails

SLOW_MARGIN = 0.10  # points of slow share (the design's)
CONFIRM = 1.0  # seconds after which a rejection must still stand (the design's)
LEAST_TRIAL = 5  # outcomes on trial before they are tested
SHORT = 3.0  # seconds after a stage's start at which short samples vote on as well (the design's)
WATCHED = 0.55  # part of the time given over which a version stays on trial: it may turn bad late
LATEST = 0.7  # part of it after which votes and outcomes that are still missing are waited for no more
CLEAR = 25  # outcomes on the version, none of them rejected, before all traffic goes to it without a bound
SETTLED = 0.6  # seconds of the wide stage before that: slow answers end last, so the first outcomes flatter
WIDEST = 0.85  # part of it after which few outcomes are taken for few requests, not for a want of allowance
LAST = 0.9  # part of it after which a version that few have met is done all the same
LEFT = 0.4  # seconds that all fronts must have left the earlier machines before they are stopped
GAP = 1.5  # seconds between two looks above which nothing is known of the time between them
ON, BACK = "on", "back"


def pooled(rows, svc, to_ver):
    """Counts by class of the version on trial and of the others, out of rows of any number of fronts."""
    new, old = {}, {}
    for service, name, ver, failed, ended, bins in rows:
        if service == svc:
            counts = (new if ver == to_ver else old).setdefault(name, Counts())
            counts.add(ended, failed, 0, 0)
            counts.bins = summed((counts.bins, bins))
    return new, old


def ended(rows, svc, ver):
    """How many requests at a version have ended."""
    return sum(row[4] for row in rows if row[0] == svc and row[2] == ver)


def tests(new, old):
    """[(p, kind, class)]: one of failures and one of slow answers a class."""
    found = []
    for name, counts in new.items():
        earlier = old.get(name)
        if counts.ended < LEAST_TRIAL or earlier is None or earlier.ended < LEAST:
            continue
        found.append(
            (
                trails(counts.failed, counts.ended, earlier.failed, earlier.ended, FAIL_MARGIN),
                "failures",
                name,
            )
        )
        edge, share = earlier.slow_from()
        timed = sum(counts.bins)
        found.append(
            (
                trails(
                    sum(counts.bins[edge:]), timed, share * sum(earlier.bins), sum(earlier.bins), SLOW_MARGIN
                ),
                "slow answers",
                name,
            )
        )
    return found


class Standing:
    """For how long something has been so at every look. A process that stood still or was cut off saw nothing
    of the time between: after a gap it begins anew."""

    def __init__(self):
        self.since = self.looked = None

    def look(self, now, so):
        """The seconds that it has been so, or -1 where it isn't."""
        if not so:
            self.since = None
        elif self.since is None or now - self.looked > GAP:
            self.since = now
        self.looked = now
        return -1.0 if self.since is None else now - self.since


class Suspicion:
    """A rejection by the sorted cut that must stand for CONFIRM seconds. `level` is that of the cut."""

    def __init__(self, level=Q):
        self.level, self.standing, self.why = level, Standing(), ""

    @property
    def stands(self):
        """Whether the last look rejected."""
        return self.standing.since is not None

    def confirmed(self, now, rows, svc, to_ver):
        found = tests(*pooled(rows, svc, to_ver))
        rejected = sorted_cut([p for p, *_ in found], self.level)
        if rejected:
            self.why = "{1} of {2}, p {0:.2g}".format(*min(found))
        return self.standing.look(now, bool(rejected)) >= CONFIRM


class Voter:
    """One front's vote on one stage (`n` of the record), by its own counts. Fronts are many, so each tests at
    its part of the level: all together err no more often than one would."""

    def __init__(self, n, now, fronts):
        self.n, self.began, self.suspicion, self.back = n, now, Suspicion(Q / max(1, fronts)), False

    @property
    def doubts(self):
        """Whether a rejection stands or has stood for long enough."""
        return self.back or self.suspicion.stands

    def vote(self, now, record, rows):
        self.back = self.back or self.suspicion.confirmed(now, rows, record["svc"], record["to_ver"])
        if self.back:
            return BACK
        tried = ended(rows, record["svc"], record["to_ver"])
        return ON if not self.suspicion.stands and (tried >= LEAST or now - self.began >= SHORT) else None


class Verdict:
    """One controller's look at one stage of a rollout."""

    def __init__(self, n):
        self.n, self.suspicion, self.all_left, self.why = n, Suspicion(), Standing(), ""
        self.watched = Standing()

    def look(self, now, elapsed, record, rows, votes, left):
        """The changes to make to an active record, or None. `elapsed` seconds since the order, `votes` of the
        fronts that share in the traffic, `left` whether all have left the earlier machines at this stage."""
        if self.suspicion.confirmed(now, rows, record["svc"], record["to_ver"]) or BACK in votes:
            self.why = self.suspicion.why if self.suspicion.stands else "a front's vote"
            return {"state": REVERTED}
        if self.suspicion.stands:  # until it is confirmed or gone, no more than the trial's part
            return {"stage": TRIAL} if record["stage"] == FULL else None
        part, met = elapsed / record["over_s"], ended(rows, record["svc"], record["to_ver"])
        if record["stage"] == TRIAL:
            if part < WATCHED:
                return None
            if met < CLEAR:
                return {"stage": WIDE}
            on = votes and all(vote == ON for vote in votes)
            return {"stage": FULL} if on or part >= LATEST else None
        if record["stage"] == WIDE:
            settled = self.watched.look(now, True) >= SETTLED
            return {"stage": FULL} if settled and met >= CLEAR or part >= WIDEST else None
        left = left and (part >= LAST or met >= LEAST)
        return {"state": DONE} if self.all_left.look(now, left) >= LEFT else None
