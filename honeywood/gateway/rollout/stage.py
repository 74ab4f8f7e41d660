"""What each version of a service may get at one proxy. Pure."""

from bisect import bisect_left
from collections import Counter
from math import ceil

from honeywood.gateway.dissemination.rendezvous import order
from honeywood.gateway.rollout.allowance import Allowance
from honeywood.gateway.rollout.record import DONE, FULL, REVERTED, TRIAL, WIDE
from honeywood.gateway.rollout.report import Ballot, Report, Tally
from honeywood.gateway.rollout.verdict import Voter
from honeywood.gateway.routing.outcomes import AttemptOutcome
from honeywood.release_analysis.outcome_statistics import LATENCY_BIN_EDGES, OutcomeStatistics

# of the share and the slack that are told: requests end up elsewhere than they began
SAFETY = 0.8
BANKED = 1.5  # attempts that a class may have earned and not used
YOUNG = 3.0  # seconds: machines that started since say nothing of their version (the design's)
LEASE = 3.0  # seconds a stage holds at a proxy that hears no controller; then the earlier version alone
UNLIKE = 1.5  # times that a slow machine of a service takes beside the usual one, whatever its version
ESTABLISHED, ON_TRIAL, CLOSED = "established", "trial", "closed"
UNCOUNTED = (AttemptOutcome.NOT_RUN, AttemptOutcome.ABANDONED)  # outcomes that say nothing of a version


class Stage:
    """One proxy's view of all services' versions."""

    def __init__(self, endpoints, share, slack, proxies):
        """`share` and `slack` bound what a version on trial may get from all proxies together, of which there
        are `proxies()`."""
        self.endpoints, self.share, self.proxies = endpoints, share * SAFETY, proxies
        self.slack, self.allowances = slack * SAFETY, {}
        self.rollouts, self.earned, self.counts = {}, Counter(), {}
        self.heard_at, self.voters, self.chosen = 0.0, {}, {}

    def hear(self, now, rollout):
        """Takes a rollout's news; older ones change nothing."""
        held = self.rollouts.get(rollout.service)
        if held is not None and rollout.revision <= held.revision:
            return
        if held is None or held.ordered_at != rollout.ordered_at:
            self._begin(now, rollout.service)
        self.rollouts[rollout.service] = rollout

    def _begin(self, now, service):
        """A version's trial begins with its order: nothing from before it is counted, nor was earned for it.
        A proxy that comes later, or back from a cut, has no part in the slack, which the others share."""
        self.counts = {key: count for key, count in self.counts.items() if key[0] != service}
        self.earned = Counter({key: earned for key, earned in self.earned.items() if key[0] != service})
        slack = self.slack if now - self.heard_at <= LEASE else 0.0
        self.allowances[service] = Allowance(self.share, slack, now)

    def standing(self, service, version):
        """What a version of a service is just now: ESTABLISHED, ON_TRIAL or CLOSED."""
        rollout = self.rollouts.get(service)
        if rollout is None:
            return ESTABLISHED if version == self._commonest(service, version) else ON_TRIAL
        named = version == rollout.version
        if version in rollout.back and self._versions(service) - {rollout.version, *rollout.back}:
            return CLOSED  # sent back before this order; better than nothing where no other is there
        if rollout.state == REVERTED:
            return CLOSED if named else ESTABLISHED
        if rollout.state == DONE or rollout.stage == FULL and not self.doubted(rollout):
            return ESTABLISHED if named else CLOSED
        return ON_TRIAL if named else ESTABLISHED

    def _versions(self, service):
        return {machine.version for machine in self.endpoints.of(service)}

    def _commonest(self, service, default):
        """The version of most machines of a service, where no order names one."""
        counted = Counter(machine.version for machine in self.endpoints.of(service))
        most = max(counted.values(), default=0)
        return min((version for version, count in counted.items() if count == most), default=default)

    def doubted(self, rollout):
        """Whether this proxy's own counts reject the version, not yet confirmed: the full stage is held back
        to the trial's part at once, without waiting for what the others see."""
        voter = self.voters.get(rollout.service)
        return voter is not None and voter.revision == rollout.revision and voter.doubts

    def _wide(self, service):
        rollout = self.rollouts.get(service)
        return rollout is not None and rollout.active and rollout.stage == WIDE

    def room(self, now, ask):
        """Whether one more request may go to the version on trial: within the order's allowance, and on trial
        within the cap of the request's class, where only safe classes are tried."""
        if now - self.heard_at > LEASE:
            return False
        rollout = self.rollouts.get(ask.service)
        if rollout is not None and rollout.active and not self.allowances[ask.service].room:
            return False
        if self._wide(ask.service):
            return True
        return ask.route.safe and self.earned[ask.service, ask.route.name] >= 1

    def taking(self, ask):
        """A request is taken: it earns its class the cap's part of an attempt. What was not used is not saved
        up: all proxies would spend it at once on the few machines on trial, which would look slow by that."""
        key = ask.service, ask.route.name
        self.earned[key] = min(BANKED, self.earned[key] + self.share)
        if ask.service in self.allowances:
            self.allowances[ask.service].taking(ask.received_at, self.proxies())

    def allows(self, now, ask, machine):
        """Whether a request may go to a machine."""
        standing = self.standing(ask.service, machine.version)
        return standing == ESTABLISHED or standing == ON_TRIAL and self.room(now, ask)

    def sent(self, now, ask, machine):
        """A request goes to a machine."""
        rollout = self.rollouts.get(ask.service)
        if rollout is not None and machine.version == rollout.version:
            self.allowances[ask.service].attempts += 1
        if not self._wide(ask.service) and self.standing(ask.service, machine.version) == ON_TRIAL:
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
            return [self._tried(ask.service, by[ON_TRIAL]), by[ESTABLISHED]]
        return [by[ESTABLISHED], by[ON_TRIAL]]

    def _tried(self, service, machines):
        """The machines on trial to ask: all of them in the wide stage, where all traffic goes to them."""
        return machines if self._wide(service) else self.few(service, machines)

    def few(self, service, machines):
        """So many of the machines on trial that each gets what it would if all traffic went to all of them,
        the same at each proxy: spread over all, a version that fails only under load would show nothing."""
        ids = [machine.id for machine in machines]
        if self.chosen.get(service, (None,))[0] != ids:
            first = order(ids, service)[: max(1, ceil(self.share * len(ids)))]
            self.chosen[service] = ids, [machine for machine in machines if machine.id in first]
        return self.chosen[service][1]

    def ended(self, now, ask, machine, outcome, took):
        """Counts how a send ended, by class and version, while a rollout is under way."""
        rollout = self.rollouts.get(ask.service)
        if rollout is None or not rollout.active or outcome in UNCOUNTED or now < machine.warm_at:
            return
        # few are tried, and these may be the slow ones of the service; in full service all are asked
        if machine.version == rollout.version and rollout.stage == TRIAL:
            took /= UNLIKE
        counts = self.counts.setdefault((ask.service, ask.route.name, machine.version), OutcomeStatistics())
        counts.add(
            1,
            outcome is not AttemptOutcome.SUCCESS,
            1,
            bisect_left(LATENCY_BIN_EDGES, took / ask.route.timeout),
        )

    def report(self, now):
        """What controllers are told."""
        tallies = tuple(
            Tally(*key, counts.failed, counts.ended, tuple(counts.bins))
            for key, counts in self.counts.items()
        )
        ballots = {rollout.service: self._ballot(now, rollout, tallies) for rollout in self.rollouts.values()}
        return Report(tallies, ballots)

    def _ballot(self, now, rollout, tallies):
        if not rollout.active:
            return Ballot(rollout.revision, self._pending(rollout))
        voter = self.voters.get(rollout.service)
        if voter is None or voter.revision != rollout.revision:
            voter = self.voters[rollout.service] = Voter(rollout.revision, now, self.proxies())
        vote = voter.vote(now, rollout, tallies)
        return Ballot(rollout.revision, self._pending(rollout), vote, round(now - voter.began, 2))

    def _pending(self, rollout):
        """Requests still out at machines whose version gets nothing any more; 1 more while this proxy does
        not leave the earlier machines."""
        machines = self.endpoints.of(rollout.service)
        out = sum(m.in_flight for m in machines if self.standing(rollout.service, m.version) == CLOSED)
        stays = rollout.active and rollout.stage != FULL
        return out + (stays or self.doubted(rollout))

    @property
    def active(self):
        """Whether any rollout is under way."""
        return any(rollout.active for rollout in self.rollouts.values())
