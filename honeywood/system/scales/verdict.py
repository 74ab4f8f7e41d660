"""What counts say of a version on trial: at a front of its own ones, at a bourse of all fronts' pooled ones;
and the next step of the rollout, from the pooled counts and the fronts' votes."""

from honeywood.judge.counts import Counts, summed
from honeywood.judge.cut import FAIL_MARGIN, LEAST, Q, sorted_cut, trails
from honeywood.system.scales.record import DONE, FULL, REVERTED, TRIAL

SLOW_MARGIN = 0.10  # points of slow share (the design's)
CONFIRM = 1.0  # seconds after which a rejection must still stand (the design's)
GAP = 2.0  # seconds without a look after which nothing is known to have stood: this process was frozen
LEAST_TRIAL = 5  # outcomes on trial before they are tested
SHORT = 3.0  # seconds after a stage's start at which short samples vote on as well (the design's)
WATCHED = 0.55  # part of the time given over which a version stays on trial: it may turn bad late
LATEST = 0.7  # part of it after which votes and outcomes that are still missing are waited for no more
LAST = 0.9  # part of it after which a version that few have met is done all the same
LEFT = 0.4  # seconds that all fronts must have left the earlier machines before they are stopped
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


class Suspicion:
    """A rejection by the sorted cut that must stand for CONFIRM seconds. `level` is that of the cut."""

    def __init__(self, level=Q):
        self.level, self.since, self.looked, self.why = level, None, None, ""

    def confirmed(self, now, rows, svc, to_ver):
        if self.looked is not None and now - self.looked > GAP:
            self.since = None
        self.looked = now
        found = tests(*pooled(rows, svc, to_ver))
        if not sorted_cut([p for p, *_ in found], self.level):
            self.since = None
            return False
        self.since, self.why = (
            now if self.since is None else self.since,
            "{1} of {2}, p {0:.2g}".format(*min(found)),
        )
        return now - self.since >= CONFIRM


class Voter:
    """One front's vote on one stage (`n` of the record), by its own counts. Fronts are many, so each tests at
    its part of the level: all together err no more often than one would."""

    def __init__(self, n, now, fronts):
        self.n, self.began, self.suspicion, self.back = n, now, Suspicion(Q / max(1, fronts)), False

    @property
    def doubts(self):
        """Whether a rejection stands or has stood for long enough."""
        return self.back or self.suspicion.since is not None

    def vote(self, now, record, rows):
        self.back = self.back or self.suspicion.confirmed(now, rows, record["svc"], record["to_ver"])
        if self.back:
            return BACK
        tried = ended(rows, record["svc"], record["to_ver"])
        return ON if self.suspicion.since is None and (tried >= LEAST or now - self.began >= SHORT) else None


class Verdict:
    """One bourse's look at one stage of a rollout."""

    def __init__(self, n):
        self.n, self.suspicion, self.all_left_at, self.why = n, Suspicion(), None, ""
        self.looked = None

    def look(self, now, elapsed, record, rows, votes, left):
        """The changes to make to an active record, or None. `elapsed` seconds since the order, `votes` of the
        fronts that share in the traffic, `left` whether all have left the earlier machines at this stage."""
        if self.looked is not None and now - self.looked > GAP:
            self.all_left_at = None
        self.looked = now
        if self.suspicion.confirmed(now, rows, record["svc"], record["to_ver"]) or BACK in votes:
            self.why = self.suspicion.why if self.suspicion.since is not None else "a front's vote"
            return {"state": REVERTED}
        if self.suspicion.since is not None:  # until it is confirmed or gone, no more than the trial's part
            return {"stage": TRIAL} if record["stage"] == FULL else None
        part, met = elapsed / record["over_s"], ended(rows, record["svc"], record["to_ver"])
        if record["stage"] == TRIAL:
            on = part >= WATCHED and votes and all(vote == ON for vote in votes) and met >= LEAST_TRIAL
            return {"stage": FULL} if on or part >= LATEST else None
        left = left and (part >= LAST or met >= LEAST)
        self.all_left_at = (now if self.all_left_at is None else self.all_left_at) if left else None
        if self.all_left_at is not None and now - self.all_left_at >= LEFT:
            return {"state": DONE}
        return None
