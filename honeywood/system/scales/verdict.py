"""What the pooled counts of all fronts say of a version on trial, and the next step of its rollout."""
from honeywood.judge.counts import Counts, summed
from honeywood.judge.cut import FAIL_MARGIN, LEAST, Q, sorted_cut, trails
from honeywood.system.scales.record import DONE, FULL, REVERTED, TRIAL

SLOW_MARGIN = 0.10   # points of slow share (the design's)
CONFIRM = 1.0        # seconds after which a rejection must still stand (the design's)
LEAST_TRIAL = 5      # outcomes on trial before they are tested
WATCHED = 0.55       # part of the time given over which a version stays on trial: it may turn bad late
LEFT = 0.4           # seconds that all fronts must have left the earlier machines before they are stopped


def pooled(rows, svc, to_ver):
    """Counts by class of the version on trial and of the others, out of all fronts' rows."""
    new, old = {}, {}
    for service, name, ver, failed, ended, bins in rows:
        if service == svc:
            counts = (new if ver == to_ver else old).setdefault(name, Counts())
            counts.failed, counts.ended, counts.total = counts.failed + failed, counts.ended + ended, counts.total + ended
            counts.bins = summed((counts.bins, bins))
    return new, old


def tests(new, old):
    """[(p, kind, class)]: one of failures and one of slow answers a class."""
    found = []
    for name, counts in new.items():
        earlier = old.get(name)
        if counts.ended < LEAST_TRIAL or earlier is None or earlier.ended < LEAST:
            continue
        found.append((trails(counts.failed, counts.ended, earlier.failed, earlier.ended, FAIL_MARGIN),
                      "failures", name))
        edge, share = earlier.slow_from()
        timed = sum(counts.bins)
        found.append((trails(sum(counts.bins[edge:]), timed, share * sum(earlier.bins), sum(earlier.bins),
                             SLOW_MARGIN), "slow answers", name))
    return found


class Verdict:
    """One bourse's look at one rollout; `suspect_since` is when the cut first rejected."""

    def __init__(self, n):
        self.n, self.suspect_since, self.all_left_at, self.why = n, None, None, ""

    def look(self, now, elapsed, record, rows, left):
        """The changes to make to an active record, or None. `elapsed` seconds since the order, `left` whether
        every front in touch has left the earlier machines at this stage."""
        new, old = pooled(rows, record["svc"], record["to_ver"])
        found = tests(new, old)
        if sorted_cut([p for p, *_ in found], Q):
            self.suspect_since = now if self.suspect_since is None else self.suspect_since
            if now - self.suspect_since >= CONFIRM:
                self.why = "{1} of class {2}, p {0:.2g}".format(*min(found))
                return {"state": REVERTED}
        else:
            self.suspect_since = None
        if self.suspect_since is not None:
            return None
        if record["stage"] == TRIAL:
            return {"stage": FULL} if elapsed >= WATCHED * record["over_s"] else None
        self.all_left_at = (now if self.all_left_at is None else self.all_left_at) if left else None
        if self.all_left_at is not None and now - self.all_left_at >= LEFT:
            return {"state": DONE}
        return None
