"""Bringing rollouts on or back, by what the proxies count."""

import asyncio
from dataclasses import dataclass

from honeywood.gateway.controller.orders import ROLLOUT
from honeywood.gateway.dissemination.rendezvous import order
from honeywood.gateway.rollout import record as rollouts
from honeywood.gateway.rollout.verdict import Verdict

COUNT = "count/"  # before a proxy's name and incarnation: what it counted
TURN_S = 0.15  # seconds by which controllers act after each other
LATE_S = 0.5  # seconds beyond a controller's turn after which what it decided before it is decided anew


@dataclass(frozen=True, slots=True)
class Counts:
    """What proxies told of one rollout: `rows` of all since its order, of those that have ended too; of those
    that share in the traffic their `votes` on its stage, and whether all `have_left` where it leaves."""

    rows: list
    votes: list
    have_left: bool


@dataclass(frozen=True, slots=True)
class Known:
    """Which change of a rollout's record is known here, and since when."""

    number: int = 0
    since: float = 0.0


class RolloutLoop:
    """`publish(key, value)` tells all of what a majority's disks hold."""

    def __init__(self, local_ip, store, register, contacts, fleet, publish, clock, say):
        """No rollout is known."""
        self.local_ip, self.store, self.register = local_ip, store, register
        self.contacts, self.fleet, self.publish = contacts, fleet, publish
        self.clock, self.say = clock, say
        self.verdicts, self._known = {}, {}  # by service

    def heard(self, service, number):
        """A record of a rollout has come to the store."""
        self._known[service] = Known(number, self.clock())

    async def steer(self):
        """Looks at all rollouts. Whoever has not heard enough others lately decides nothing: what it knows of
        proxies' counts may be as old as its cut or its standstill."""
        if not self.contacts.in_quorum(self.clock()):
            return
        for key, record in self.store.under(ROLLOUT):
            if record["state"] == rollouts.ACTIVE:
                await self._steer_one(key, record)
            else:
                self.verdicts.pop(record["svc"], None)

    async def _steer_one(self, key, record):
        verdict, counts = self._verdict(record), self.counts(record)
        lasted_s = record["lasted"] + self.known_s(record)
        changes = verdict.look(self.clock(), lasted_s, record, counts.rows, counts.votes, counts.have_left)
        if changes is None or not await self._wait_turn(record["svc"]) or self.store.get(key) != record:
            return

        def advanced(held):
            return rollouts.advance(held, record["to_ver"], record["n"], self.known_s(record), **changes)

        found = await self.register.change(key, advanced)
        if found.ok:
            self.publish(key, found.value)
            self.say("rollout", svc=record["svc"], to_ver=record["to_ver"], why=verdict.why, **changes)

    def _verdict(self, record):
        """The verdict on this change of the record; one on an earlier change is dropped."""
        verdict = self.verdicts.get(record["svc"])
        if verdict is None or verdict.n != record["n"]:
            verdict = self.verdicts[record["svc"]] = Verdict(record["n"])
        return verdict

    async def _wait_turn(self, service):
        """Waits for this controller's turn; whether what was decided before it still stands."""
        turns = order({*self.register.members, self.local_ip}, service)
        wait_s, decided_at = turns.index(self.local_ip) * TURN_S, self.clock()
        await asyncio.sleep(wait_s)
        now = self.clock()
        return now - decided_at - wait_s <= LATE_S and self.contacts.in_quorum(now)

    def known_s(self, record):
        """For how many seconds the record's `n` has been known at least: here, or at a proxy, whose steady
        clocks go on where all controllers begin anew."""
        known = self._known.get(record["svc"], Known())
        here = [self.clock() - known.since] if known.number == record["n"] else []
        told = [counted["known"].get(record["svc"], (0, 0.0)) for _, counted in self.store.under(COUNT)]
        return max([*here, *(seconds for n, seconds in told if n == record["n"])], default=0.0)

    def counts(self, record):
        """The Counts that proxies told."""
        service, number = record["svc"], record["n"]
        told = sorted(self.store.heard(COUNT), key=lambda one: one[2])
        latest = {}  # the incarnation last heard of is the one that lives, whatever its clock said
        for key, counted, _ in told:
            latest[key.split("/")[1]] = counted
        sharing = [latest.get(node) for node in self.fleet.sharing(self.clock())]
        votes = [counted["votes"].get(service) if counted else None for counted in sharing]
        left = [counted["left"].get(service) if counted else None for counted in sharing]
        since_order = [
            counted for _, counted, _ in told if counted["known"].get(service, (0, 0.0))[0] >= record["order"]
        ]
        return Counts(
            rows=[row for counted in since_order for row in counted["rows"]],
            votes=[vote[1] if vote and vote[0] == number else None for vote in votes],
            have_left=bool(left) and all(one == [number, 0] for one in left),
        )
