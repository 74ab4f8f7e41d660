"""Advances rollouts from one controller: decides the next step of each and makes it a register change."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from honeywood.gateway.dissemination.keys import RecordKind
from honeywood.gateway.dissemination.rendezvous import rank
from honeywood.gateway.register.errors import RegisterUnavailable
from honeywood.gateway.rollout import record, transitions
from honeywood.gateway.rollout.comparison_summary import summarize
from honeywood.gateway.rollout.evaluator import RolloutEvaluator

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Callable
    from typing import Any

    from honeywood.gateway.controller.contacts import Contacts
    from honeywood.gateway.controller.register_publication import RegisterPublication
    from honeywood.gateway.controller.rollout_evidence import RolloutEvidence
    from honeywood.gateway.dissemination.store import Store
    from honeywood.gateway.event_log import EventLog
    from honeywood.gateway.register.register import Register
    from honeywood.gateway.rollout.evaluator import RolloutChange
    from honeywood.gateway.rollout.record import Rollout

STAGGER_S = 0.15  # delay in seconds per rank of a controller, so that usually only one acts
DECISION_LIFETIME_S = 0.5  # seconds beyond the delay after which a decision has expired and is made again


@dataclass(frozen=True, slots=True)
class Decision:
    """A change that is due, with the comparison that it is based on, for the log."""

    change: RolloutChange
    comparison: dict[str, Any]


class RolloutSteering:
    """Advances or reverts the rollouts that one controller knows of."""

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
        """Start without any rollout; `clock` returns monotonic seconds."""
        self.local_ip, self.store, self.register = local_ip, store, register
        self.contacts, self.evidence, self.publication = contacts, evidence, publication
        self.clock, self.log = clock, log
        self.evaluators: dict[str, RolloutEvaluator] = {}  # by service

    async def steer(self) -> None:
        """Advance or revert the active rollouts.

        Without a quorum nothing is decided: the proxies' counts that are known here may be as old as the
        network partition or stall that caused its loss.
        """
        if not self.contacts.in_quorum(self.clock()):
            return
        for key, value in self.store.items_of(RecordKind.ROLLOUT):
            rollout = record.decode(value)
            if not rollout.active:
                self.evaluators.pop(rollout.service, None)
                continue
            decision = self._decide(rollout)
            if decision is not None and await self._still_valid_after_stagger(rollout, key, value):
                await self._apply(key, rollout, decision)

    def _decide(self, rollout: Rollout) -> Decision | None:
        """Return the decision on a change that is due, or None."""
        evaluator = self.evaluators.get(rollout.service)
        if evaluator is None or evaluator.revision != rollout.revision:
            evaluator = self.evaluators[rollout.service] = RolloutEvaluator(rollout.revision)
        evidence = self.evidence.collect(rollout)
        elapsed_s = rollout.elapsed_s + self.evidence.known_for_s(rollout)
        change = evaluator.evaluate(
            self.clock(), elapsed_s, rollout, evidence.outcome_counts, evidence.votes, evidence.all_drained
        )
        if change is None:
            return None
        return Decision(change, summarize(evidence.outcome_counts, rollout.service, rollout.version))

    async def _still_valid_after_stagger(self, rollout: Rollout, key: str, value: object) -> bool:
        """Wait for the delay of this controller's rank; return whether the decision is still valid then."""
        ranked = rank({*self.register.membership.members, self.local_ip}, rollout.service)
        wait_s, decided_at = ranked.index(self.local_ip) * STAGGER_S, self.clock()
        await asyncio.sleep(wait_s)
        now = self.clock()
        in_time = now - decided_at - wait_s <= DECISION_LIFETIME_S
        return in_time and self.contacts.in_quorum(now) and self.store.get(key) == value

    async def _apply(self, key: str, rollout: Rollout, decision: Decision) -> None:
        """Make a change in the register and publish the result; without a majority nothing happens."""
        change = decision.change

        def advance(current: Rollout | None) -> Rollout | None:
            known_s = self.evidence.known_for_s(rollout)
            return transitions.advance(
                current, rollout.version, rollout.revision, known_s, change.state, change.stage
            )

        try:
            value = await self.register.change(key, lambda stored: transitions.update_stored(stored, advance))
        except RegisterUnavailable:
            return
        self.publication.publish(key, value)
        changed = {name: getattr(change, name) for name in ("state", "stage") if getattr(change, name)}
        self.log.info(
            "rollout",
            svc=rollout.service,
            to_ver=rollout.version,
            why=change.reason,
            compared=decision.comparison,
            **changed,
        )
