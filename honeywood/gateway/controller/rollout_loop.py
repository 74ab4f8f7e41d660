"""Steering of rollouts at one controller: what proxies tell of them, and the next step by a round."""

import asyncio
from dataclasses import dataclass

from honeywood.gateway.dissemination.keys import RecordKind
from honeywood.gateway.dissemination.rendezvous import rank
from honeywood.gateway.register.errors import RegisterUnavailable
from honeywood.gateway.rollout import record, report, transitions
from honeywood.gateway.rollout.evaluator import RolloutEvaluator

TURN_S = 0.15  # seconds by which controllers act after each other
LATE_S = 0.5  # seconds beyond a controller's turn after which what it decided before it is decided anew


@dataclass(frozen=True, slots=True)
class Known:
    """Which revision of a rollout's record is known here, and since when."""

    revision: int = 0
    since: float = 0.0


class RolloutLoop:
    """The rollouts that one controller knows of. `publish(key, value)` tells all of what a majority's disks
    hold."""

    def __init__(self, local_ip, store, register, contacts, fleet, publish, clock, say):
        """No rollout is known."""
        self.local_ip, self.store, self.register = local_ip, store, register
        self.contacts, self.fleet, self.publish = contacts, fleet, publish
        self.clock, self.say = clock, say
        self.evaluators, self._known = {}, {}  # by service

    def heard(self, service, revision):
        """A record of a rollout has come to the store."""
        self._known[service] = Known(revision, self.clock())

    async def steer(self):
        """Brings rollouts on or back. Whoever has not heard enough others lately decides nothing: what it
        knows of proxies' counts may be as old as its cut or its standstill."""
        if not self.contacts.in_quorum(self.clock()):
            return
        for key, value in self.store.items_of(RecordKind.ROLLOUT):
            rollout = record.decode(value)
            if not rollout.active:
                self.evaluators.pop(rollout.service, None)
                continue
            change = self._look(rollout)
            if change is not None and await self._turn(rollout, key, value):
                await self._carry_out(key, rollout, change)

    def _look(self, rollout):
        """The change that is to be made, or None."""
        evaluator = self.evaluators.get(rollout.service)
        if evaluator is None or evaluator.revision != rollout.revision:
            evaluator = self.evaluators[rollout.service] = RolloutEvaluator(rollout.revision)
        outcome_counts, votes, left = self.counted(rollout)
        elapsed_s = rollout.elapsed_s + self.since(rollout)
        return evaluator.evaluate(self.clock(), elapsed_s, rollout, outcome_counts, votes, left)

    async def _turn(self, rollout, key, value):
        """Waits for this controller's turn; whether what was decided before still holds."""
        turns = rank({*self.register.membership.members, self.local_ip}, rollout.service)
        wait_s, decided_at = turns.index(self.local_ip) * TURN_S, self.clock()
        await asyncio.sleep(wait_s)
        now = self.clock()
        in_time = now - decided_at - wait_s <= LATE_S
        return in_time and self.contacts.in_quorum(now) and self.store.get(key) == value

    async def _carry_out(self, key, rollout, change):
        def changed(held):
            since_s = self.since(rollout)
            step = (rollout.version, rollout.revision, since_s, change.state, change.stage)
            return transitions.advance(held, *step)

        try:
            value = await self.register.change(key, lambda value: transitions.update_stored(value, changed))
        except RegisterUnavailable:
            return
        self.publish(key, value)
        changes = {name: getattr(change, name) for name in ("state", "stage") if getattr(change, name)}
        told = {"svc": rollout.service, "to_ver": rollout.version, "why": change.reason}
        self.say("rollout", **told, **changes)

    def since(self, rollout):
        """For how many seconds the rollout's revision has been known at least: here, or at a proxy, whose
        steady clocks go on where all controllers begin anew."""
        here = self._known.get(rollout.service, Known())
        known = [self.clock() - here.since] if here.revision == rollout.revision else []
        counts = self.store.items_of(RecordKind.PROXY_COUNTS)
        statuses = (report.decode(value).status(rollout.service) for _, value in counts)
        known += [
            status.revision_age_s
            for status in statuses
            if status is not None
            and status.revision == rollout.revision
            and status.revision_age_s is not None
        ]
        return max(known, default=0.0)

    def counted(self, rollout):
        """All proxies' outcome counts since the order, those of proxies that have died too; of the proxies
        that share in the traffic their votes on this revision, and whether all follow it and have nothing out
        where it leaves."""
        counts = self.store.items_by_revision(RecordKind.PROXY_COUNTS)
        reports = [(key.split("/")[1], report.decode(value)) for key, value in counts]
        last = dict(reports)  # the life last heard of is the one that lives, whatever its clock said
        outcome_counts = [
            tally for _, one in reports if self._since_order(one, rollout) for tally in one.outcome_counts
        ]
        statuses = [
            last[node].status(rollout.service) if node in last else None
            for node in self.fleet.sharing(self.clock())
        ]
        current = [one if one and one.revision == rollout.revision else None for one in statuses]
        votes = [one.vote if one else None for one in current]
        return outcome_counts, votes, bool(current) and all(one and not one.pending for one in current)

    @staticmethod
    def _since_order(one, rollout):
        """Whether a report was told by a proxy that had heard of the order."""
        status = one.status(rollout.service)
        return (
            status is not None
            and status.revision_age_s is not None
            and status.revision >= rollout.order_revision
        )
