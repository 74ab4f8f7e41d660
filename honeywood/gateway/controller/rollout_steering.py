"""Steers rollouts at one controller: decides on the next step of each, and takes it by a register change."""

from __future__ import annotations

import asyncio

from honeywood.gateway.dissemination.keys import RecordKind
from honeywood.gateway.dissemination.rendezvous import rank
from honeywood.gateway.register.errors import RegisterUnavailable
from honeywood.gateway.rollout import record, transitions
from honeywood.gateway.rollout.evaluator import RolloutEvaluator

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Callable

    from honeywood.gateway.controller.contacts import Contacts
    from honeywood.gateway.controller.register_publication import RegisterPublication
    from honeywood.gateway.controller.rollout_evidence import RolloutEvidence
    from honeywood.gateway.dissemination.store import Store
    from honeywood.gateway.event_log import EventLog
    from honeywood.gateway.register.register import Register
    from honeywood.gateway.rollout.evaluator import RolloutChange
    from honeywood.gateway.rollout.record import Rollout

STAGGER_S = 0.15  # seconds by which controllers act after each other, so that mostly one does
DECISION_LIFETIME_S = 0.5  # seconds beyond the stagger after which a decision is taken anew


class RolloutSteering:
    """The rollouts that one controller knows of."""

    def __init__(
        self,
        local_ip: str,
        store: Store,
        register: Register,
        contacts: Contacts,
        evidence: RolloutEvidence,
        publication: RegisterPublication,
        clock: Callable[[], float],
        log: EventLog,
    ) -> None:
        """Start without any rollout; `clock` gives steady seconds."""
        self.local_ip, self.store, self.register = local_ip, store, register
        self.contacts, self.evidence, self.publication = contacts, evidence, publication
        self.clock, self.log = clock, log
        self.evaluators: dict[str, RolloutEvaluator] = {}  # by service

    async def steer(self) -> None:
        """Advance rollouts, or take them back.

        Without a quorum nothing is decided: what is known here of proxies' counts may be as old as the
        network partition or the stall that took it away.
        """
        if not self.contacts.in_quorum(self.clock()):
            return
        for key, value in self.store.items_of(RecordKind.ROLLOUT):
            rollout = record.decode(value)
            if not rollout.active:
                self.evaluators.pop(rollout.service, None)
                continue
            change = self._next_change(rollout)
            if change is not None and await self._still_holds_after_stagger(rollout, key, value):
                await self._apply(key, rollout, change)

    def _next_change(self, rollout: Rollout) -> RolloutChange | None:
        """Return the change that is due, or None."""
        evaluator = self.evaluators.get(rollout.service)
        if evaluator is None or evaluator.revision != rollout.revision:
            evaluator = self.evaluators[rollout.service] = RolloutEvaluator(rollout.revision)
        evidence = self.evidence.collect(rollout)
        elapsed_s = rollout.elapsed_s + self.evidence.known_for_s(rollout)
        return evaluator.evaluate(
            self.clock(), elapsed_s, rollout, evidence.outcome_counts, evidence.votes, evidence.all_left
        )

    async def _still_holds_after_stagger(self, rollout: Rollout, key: str, value: object) -> bool:
        """Wait as long as this controller's rank says; return whether the decision still holds then."""
        ranked = rank({*self.register.membership.members, self.local_ip}, rollout.service)
        wait_s, decided_at = ranked.index(self.local_ip) * STAGGER_S, self.clock()
        await asyncio.sleep(wait_s)
        now = self.clock()
        in_time = now - decided_at - wait_s <= DECISION_LIFETIME_S
        return in_time and self.contacts.in_quorum(now) and self.store.get(key) == value

    async def _apply(self, key: str, rollout: Rollout, change: RolloutChange) -> None:
        """Take a step by a register change, and publish its result; without a majority nothing happens."""

        def advance(held: Rollout | None) -> Rollout | None:
            known_s = self.evidence.known_for_s(rollout)
            return transitions.advance(
                held, rollout.version, rollout.revision, known_s, change.state, change.stage
            )

        try:
            value = await self.register.change(key, lambda stored: transitions.update_stored(stored, advance))
        except RegisterUnavailable:
            return
        self.publication.publish(key, value)
        changed = {name: getattr(change, name) for name in ("state", "stage") if getattr(change, name)}
        self.log.info("rollout", svc=rollout.service, to_ver=rollout.version, why=change.reason, **changed)
