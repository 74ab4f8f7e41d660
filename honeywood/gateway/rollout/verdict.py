"""What counts say of a version on trial: at a proxy of its own ones, at a controller of all proxies' pooled
ones; and the next step of the rollout, from the pooled counts and the proxies' votes."""

from dataclasses import dataclass

from honeywood.gateway.rollout.record import DONE, FULL, REVERTED, TRIAL, WIDE
from honeywood.release_analysis.outcome_statistics import OutcomeStatistics, column_sums
from honeywood.release_analysis.multiple_testing import (
    FAILURE_MARGIN,
    MIN_OUTCOMES,
    FALSE_DISCOVERY_RATE,
    benjamini_hochberg,
    inferiority_p_value,
)

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
LEFT = 0.4  # seconds that all proxies must have left the earlier machines before they are stopped
GAP = 1.5  # seconds between two looks above which nothing is known of the time between them
ON, BACK = "on", "back"


@dataclass(frozen=True, slots=True)
class Change:
    """What is to change of a rollout: its state or its stage; `why` is for the log."""

    state: str | None = None
    stage: str | None = None
    why: str = ""


def pooled(tallies, service, version):
    """Counts by class of the version on trial and of the others, out of any number of proxies' tallies."""
    trial, established = {}, {}
    for tally in tallies:
        if tally.service == service:
            counts = (trial if tally.version == version else established).setdefault(
                tally.route, OutcomeStatistics()
            )
            counts.add(tally.ended, tally.failed, 0, 0)
            counts.bins = column_sums((counts.bins, tally.bins))
    return trial, established


def ended(tallies, service, version):
    """How many requests at a version have ended."""
    return sum(one.ended for one in tallies if one.service == service and one.version == version)


@dataclass(frozen=True, slots=True, order=True)
class Test:
    """One test of a class: the p-value of 'the version on trial does not trail the established ones'."""

    p: float
    kind: str
    route: str


def tests(trial, established):
    """A Test of failures and one of slow answers for each class that has enough outcomes."""
    found = []
    for route, counts in trial.items():
        earlier = established.get(route)
        if counts.ended < LEAST_TRIAL or earlier is None or earlier.ended < MIN_OUTCOMES:
            continue
        failures = inferiority_p_value(
            counts.failed, counts.ended, earlier.failed, earlier.ended, FAILURE_MARGIN
        )
        found.append(Test(failures, "failures", route))
        edge, share = earlier.slow_from()
        slow, timed, earlier_timed = sum(counts.bins[edge:]), sum(counts.bins), sum(earlier.bins)
        slowness = inferiority_p_value(slow, timed, share * earlier_timed, earlier_timed, SLOW_MARGIN)
        found.append(Test(slowness, "slow answers", route))
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
    """A rejection by Benjamini and Hochberg that must stand for CONFIRM seconds, at `level`."""

    def __init__(self, level=FALSE_DISCOVERY_RATE):
        self.level, self.standing, self.why = level, Standing(), ""

    @property
    def stands(self):
        """Whether the last look rejected."""
        return self.standing.since is not None

    def confirmed(self, now, rollout, tallies):
        """Whether the version is rejected and has been for CONFIRM seconds."""
        found = tests(*pooled(tallies, rollout.service, rollout.version))
        rejected = benjamini_hochberg([test.p for test in found], self.level)
        if rejected:
            first = min(found)
            self.why = f"{first.kind} of {first.route}, p {first.p:.2g}"
        return self.standing.look(now, bool(rejected)) >= CONFIRM


class Voter:
    """One proxy's vote on one revision of a rollout, by its own counts. Proxies are many, so each tests at
    its part of the level: all together err no more often than one would."""

    def __init__(self, revision, now, proxies):
        """`proxies` share in the traffic."""
        self.revision, self.began, self.back = revision, now, False
        self.suspicion = Suspicion(FALSE_DISCOVERY_RATE / max(1, proxies))

    @property
    def doubts(self):
        """Whether a rejection stands or has stood for long enough."""
        return self.back or self.suspicion.stands

    def vote(self, now, rollout, tallies):
        """ON, BACK, or None while there is too little to say."""
        self.back = self.back or self.suspicion.confirmed(now, rollout, tallies)
        if self.back:
            return BACK
        enough = ended(tallies, rollout.service, rollout.version) >= MIN_OUTCOMES or now - self.began >= SHORT
        return ON if enough and not self.suspicion.stands else None


class Verdict:
    """One controller's look at one revision of a rollout."""

    def __init__(self, revision):
        self.revision, self.suspicion = revision, Suspicion()
        self.all_left, self.watched = Standing(), Standing()

    def look(self, now, elapsed_s, rollout, tallies, votes, left):
        """The Change to make to an active rollout, or None. `elapsed_s` since the order, `votes` of the
        proxies that share in the traffic, `left` whether all have left the earlier machines."""
        confirmed = self.suspicion.confirmed(now, rollout, tallies)
        if confirmed or BACK in votes:
            why = self.suspicion.why if self.suspicion.stands else "a proxy's vote"
            return Change(state=REVERTED, why=why)
        if self.suspicion.stands:  # until it is confirmed or gone, no more than the trial's part
            return Change(stage=TRIAL, why=self.suspicion.why) if rollout.stage == FULL else None
        part, met = elapsed_s / rollout.over_s, ended(tallies, rollout.service, rollout.version)
        if rollout.stage == TRIAL:
            return self._on_trial(part, met, votes)
        if rollout.stage == WIDE:
            return self._wide(now, part, met)
        left = left and (part >= LAST or met >= MIN_OUTCOMES)
        return Change(state=DONE) if self.all_left.look(now, left) >= LEFT else None

    @staticmethod
    def _on_trial(part, met, votes):
        if part < WATCHED:
            return None
        if met < CLEAR:
            return Change(stage=WIDE)
        agreed = votes and all(vote == ON for vote in votes)
        return Change(stage=FULL) if agreed or part >= LATEST else None

    def _wide(self, now, part, met):
        settled = self.watched.look(now, True) >= SETTLED
        return Change(stage=FULL) if settled and met >= CLEAR or part >= WIDEST else None
