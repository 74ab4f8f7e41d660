"""What each version of a service may get at one front."""

from bisect import bisect_left
from collections import Counter
from math import ceil

from honeywood.gateway.dissemination.rendezvous import order
from honeywood.gateway.rollout.record import ACTIVE, DONE, FULL, REVERTED, TRIAL, WIDE
from honeywood.gateway.rollout.verdict import Voter
from honeywood.gateway.routing.outcomes import AttemptOutcome
from honeywood.judge.counts import EDGES, Counts

SAFETY = (
    0.8  # of the share that is told: requests end up elsewhere than they began; the slack is kept for that
)
BANKED = 1.5  # attempts that a class may have earned and not used
YOUNG = 3.0  # seconds: machines that started since say nothing of their version (the design's)
KNOWN = 3.0  # seconds after which a proxy that has just started, and guesses high, knows how many there are
LEASE = 3.0  # seconds a stage holds at a front that hears no controller; then the earlier version alone
UNLIKE = 1.5  # times that a slow machine of a service takes beside the usual one, whatever its version
ESTABLISHED, ON_TRIAL, CLOSED = "established", "trial", "closed"


class Allowance:
    """What one proxy may send to the version of one order: its share of the requests that it has taken since,
    and its part of the slack. So all proxies together stay within the share of all requests and the slack."""

    __slots__ = ("share", "slack", "ordered_at", "fronts", "fixed", "requests", "attempts")

    def __init__(self, share, slack, ordered_at):
        self.share, self.slack, self.ordered_at = share, slack, ordered_at
        self.fronts, self.fixed, self.requests, self.attempts = 1, False, 0, 0

    def taking(self, now, fronts):
        """A request is taken, while `fronts` proxies are known. Their number at the order counts, and is
        known KNOWN seconds later: one that dies afterwards has had its part."""
        self.requests += 1
        if not self.fixed:
            self.fronts, self.fixed = fronts, now - self.ordered_at >= KNOWN

    @property
    def room(self):
        """Whether one more attempt fits."""
        return self.attempts + 1 <= self.share * self.requests + self.slack / self.fronts


class Stage:
    """One front's view of all services' versions."""

    def __init__(self, endpoints, share, slack, fronts):
        self.endpoints, self.share, self.fronts = endpoints, share * SAFETY, fronts
        self.slack, self.allowances = slack * SAFETY, {}
        self.records, self.earned, self.counts = {}, Counter(), {}
        self.heard_at, self.voters, self.chosen = 0.0, {}, {}

    def hear(self, now, record):
        svc = record["svc"]
        held = self.records.get(svc)
        if held is not None and record["n"] <= held["n"]:
            return
        if held is None or held["order"] != record["order"]:
            self._begin(now, svc)
        self.records[svc] = record

    def _begin(self, now, svc):
        """A version's trial begins with its order: nothing from before it is counted, nor was earned for it.
        A proxy that comes later, or back from a cut, has no part in the slack, which the others share."""
        self.counts = {key: count for key, count in self.counts.items() if key[0] != svc}
        self.earned = Counter({key: earned for key, earned in self.earned.items() if key[0] != svc})
        slack = self.slack if now - self.heard_at <= LEASE else 0.0
        self.allowances[svc] = Allowance(self.share, slack, now)

    def standing(self, svc, ver):
        """What `ver` of `svc` is just now."""
        record = self.records.get(svc)
        if record is None:
            vers = Counter(m.version for m in self.endpoints.of(svc))
            most = max(vers.values(), default=0)
            first = min((v for v, n in vers.items() if n == most), default=ver)
            return ESTABLISHED if ver == first else ON_TRIAL
        named = ver == record["to_ver"]
        if ver in record["back"]:  # sent back before this order; better than nothing where no other is there
            vers = {m.version for m in self.endpoints.of(svc)}
            if vers - {record["to_ver"], *record["back"]}:
                return CLOSED
        if record["state"] == REVERTED:
            return CLOSED if named else ESTABLISHED
        if record["state"] == DONE or record["stage"] == FULL and not self.doubted(record):
            return ESTABLISHED if named else CLOSED
        return ON_TRIAL if named else ESTABLISHED

    def doubted(self, record):
        """Whether this front's own counts reject the version, not yet confirmed: the full stage is held back
        to the trial's part at once, without waiting for what the others see."""
        voter = self.voters.get(record["svc"])
        return voter is not None and voter.n == record["n"] and voter.doubts

    def behind(self, svc):
        """Requests still out at machines whose version gets nothing any more."""
        return sum(m.in_flight for m in self.endpoints.of(svc) if self.standing(svc, m.version) == CLOSED)

    def room(self, now, ask):
        """Whether one more request may go to the version on trial: within the order's allowance, and on trial
        within the cap of the request's class, where only safe classes are tried."""
        record = self.records.get(ask.service)
        if now - self.heard_at > LEASE:
            return False
        if record is not None and record["state"] == ACTIVE:
            if not self.allowances[ask.service].room:
                return False
            if record["stage"] == WIDE:
                return True
        return ask.route.safe and self.earned[ask.service, ask.route.name] >= 1

    def taking(self, ask):
        """A request is taken: it earns its class the cap's part of an attempt. What was not used is not saved
        up: all fronts would spend it at once on the few machines on trial, which would look slow by that."""
        place = ask.service, ask.route.name
        self.earned[place] = min(BANKED, self.earned[place] + self.share)
        if ask.service in self.allowances:
            self.allowances[ask.service].taking(ask.received_at, self.fronts())

    def allows(self, now, ask, machine):
        standing = self.standing(ask.service, machine.version)
        return standing == ESTABLISHED or standing == ON_TRIAL and self.room(now, ask)

    def sent(self, now, ask, machine):
        record = self.records.get(ask.service)
        if record is not None and machine.version == record["to_ver"]:
            self.allowances[ask.service].attempts += 1
        wide = record is not None and record["state"] == ACTIVE and record["stage"] == WIDE
        if not wide and self.standing(ask.service, machine.version) == ON_TRIAL:
            self.earned[ask.service, ask.route.name] -= 1

    def groups(self, now, ask, machines):
        """The machines in groups, the first to ask first: on trial while there is room, then the rest."""
        by = {ESTABLISHED: [], ON_TRIAL: [], CLOSED: []}
        standing = {ver: self.standing(ask.service, ver) for ver in sorted({m.version for m in machines})}
        for machine in machines:
            if (
                standing[machine.version] != ON_TRIAL
                or now - machine.discovered_at >= YOUNG
                and now >= machine.warm_at
            ):
                by[standing[machine.version]].append(machine)  # what can't be counted yet isn't tried either
        if by[ON_TRIAL] and not ask.attempts and self.room(now, ask):
            return [self.tried(ask.service, by[ON_TRIAL]), by[ESTABLISHED]]
        return [by[ESTABLISHED], by[ON_TRIAL]]

    def tried(self, svc, machines):
        """The machines on trial to ask: all of them in the wide stage, where all traffic goes to them."""
        record = self.records.get(svc)
        return machines if record is not None and record["stage"] == WIDE else self.few(svc, machines)

    def few(self, svc, machines):
        """So many of the machines on trial that each gets what it would if all traffic went to all of them,
        the same at each front: spread over all, a version that fails only under load would show nothing."""
        ids = [m.id for m in machines]
        if self.chosen.get(svc, (None,))[0] != ids:
            first = order(ids, svc)[: max(1, ceil(self.share * len(ids)))]
            self.chosen[svc] = ids, [m for m in machines if m.id in first]
        return self.chosen[svc][1]

    def ended(self, now, ask, machine, outcome, took):
        """Counts how a send ended, by class and version, while a version is on trial."""
        record = self.records.get(ask.service)
        if (
            record is None
            or record["state"] != ACTIVE
            or outcome is AttemptOutcome.NOT_RUN
            or now < machine.warm_at
        ):
            return
        place = ask.service, ask.route.name, machine.version
        # few are tried, and these may be the slow ones of the service; in full service all are asked
        if machine.version == record["to_ver"] and record["stage"] == TRIAL:
            took /= UNLIKE
        counts = self.counts.setdefault(place, Counts())
        counts.add(1, outcome is not AttemptOutcome.SUCCESS, 1, bisect_left(EDGES, took / ask.route.timeout))

    def told(self, now):
        """What controllers are told: counts as rows [svc, class, version, failed, ended, bins], this front's
        votes {svc: [n, vote]}, {svc: [n, requests still out at machines that the stage leaves]}, and for how
        many seconds each has been known."""
        rows = [[*place, c.failed, c.ended, c.bins] for place, c in self.counts.items()]
        votes, left, known = {}, {}, {}
        for svc, record in self.records.items():
            if record["state"] == ACTIVE:
                if svc not in self.voters or self.voters[svc].n != record["n"]:
                    self.voters[svc] = Voter(record["n"], now, self.fronts())
                known[svc] = [record["n"], round(now - self.voters[svc].began, 2)]
                votes[svc] = [record["n"], self.voters[svc].vote(now, record, rows)]
            stays = record["state"] == ACTIVE and record["stage"] != FULL
            left[svc] = [record["n"], self.behind(svc) + (stays or self.doubted(record))]
        return {"rows": rows, "votes": votes, "left": left, "known": known}

    @property
    def active(self):
        """Whether any rollout is under way."""
        return any(record["state"] == ACTIVE for record in self.records.values())
