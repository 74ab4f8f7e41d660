"""How a disk comes to count: the first members are agreed on, a lost disk is rebuilt from the others, and
each disk goes on from one epoch to the next. The rules are in membership.py."""

import asyncio
from dataclasses import replace

from honeywood.gateway.configuration.outcome import Wrong
from honeywood.gateway.register import acceptor
from honeywood.gateway.register import membership_rules
from honeywood.gateway.register.incarnations import FIRST_INCARNATION, merge_incarnations, next_incarnation
from honeywood.gateway.register.membership_configuration import MembershipConfiguration
from honeywood.gateway.register.requests import TransferState
from honeywood.gateway.register.row import EMPTY_ROW, Row
from honeywood.gateway.register.state_update import StateUpdate
from honeywood.gateway.register.values import InlineValue, ValueReference

WHOLE_S = 1.5  # seconds a peer has to tell all rows
FOUND_S = 0.3  # seconds by which the seeds found after each other


class MembershipManager:
    """Brings this controller's disk to where it counts."""

    def __init__(self, settings, say, storage, epochs, peers, rounds):
        self.settings, self.say, self.storage, self.epochs = settings, say, storage, epochs
        self.peers, self.rounds, self.began = peers, rounds, None

    async def begin(self):
        """Opens the disk: sound if it has taken part before or all begins anew; else it was lost."""
        storage, epochs = self.storage, self.epochs
        await storage.open()
        if storage.incarnation is not None:
            epochs.intact, epochs.configuration = True, storage.configuration
        elif self.settings.fresh:
            seeds = tuple(ip for ip, _ in self.settings.seeds)
            first = MembershipConfiguration(membership_rules.BOOTSTRAP_EPOCH, seeds)
            try:
                await storage.write(StateUpdate(incarnation=FIRST_INCARNATION, configuration=first))
                epochs.intact, epochs.configuration = True, first
            except Wrong as wrong:  # taken for a lost one until it can be written to
                self.say("register not begun", why=str(wrong))
        told = {"sound": epochs.intact, "rows": len(storage.registers)}
        self.say("register", **told, epoch=epochs.epoch, members=epochs.members)

    async def settle(self, known):
        """Brings this disk to where it counts, as far as the controllers `known` allow it now."""
        epochs = self.epochs
        known = {*known, *epochs.members, *(epochs.pending.members if epochs.pending else ())}
        try:
            if epochs.pending:
                await epochs.adopt(epochs.pending)
            if not epochs.intact:
                await self._join(known)
            elif epochs.epoch == membership_rules.BOOTSTRAP_EPOCH and not epochs.pending:
                await self._found(known)
            elif epochs.is_synchronized:
                return  # what it waited for came by another way, while `adopt` had the lock
            elif epochs.pending or not await self._move():
                await self._join(known)
        except Wrong as wrong:
            self.say("register waits for its disk", 5.0, why=str(wrong))

    async def _found(self, known):
        """The seeds of the first start agree on the first members; any 2 bear + 1 will do."""
        now = asyncio.get_running_loop().time()
        self.began = now if self.began is None else self.began
        ip, seeds, size = self.settings.ip, self.epochs.members, 2 * self.settings.bear + 1
        rank = seeds.index(ip) if ip in seeds else len(seeds)
        if len(known) >= size and now - self.began >= rank * FOUND_S:
            await self._agree(sorted(known)[:size])

    async def replace(self, lost, spare):
        """Has `spare` take the place of the member `lost`, if nobody changes the members meanwhile."""
        found = await self._agree(sorted({*self.epochs.members, spare} - {lost}))
        if found.ok:
            self.say("members", lost=lost, spare=spare, **found.value)
        return found

    async def _agree(self, wanted):
        """The members of the next epoch, agreed by a majority of this one's; the first that are, stay."""
        following = MembershipConfiguration(self.epochs.epoch + 1, tuple(wanted))

        def first(held):
            return held if held and held["epoch"] >= following.epoch else following.encode_members()

        found = await self.rounds.change(membership_rules.SUCCESSOR_KEY, first)
        if found.ok:
            agreed = MembershipConfiguration.from_stored(found.value)
            await self.epochs.adopt(agreed)
            self.peers.tell([*self.epochs.members, *agreed.members])
        return found

    async def _pull(self, ips, take, **more):
        """Asks for all that others hold until `take` of the pulls by ip finds enough; what it found."""
        pulls, found, held = {}, [], self.storage.registers

        def taken(ip, pull):
            self.epochs.learn(pull.configuration.successor or pull.configuration)
            rows = {key: _uncarried(row, held.get(key, EMPTY_ROW)) for key, row in pull.rows.items()}
            pulls[ip] = replace(pull, rows=rows)
            found[:] = take(pulls)
            return bool(found)

        asked = TransferState(self.settings.ip, known=self.storage.accepted_ballots(), **more)
        await self.peers.ask_all(ips, asked, taken, WHOLE_S)
        return found, pulls

    async def _rows(self, counted, pulls):
        """The rows out of those that count, with their whole values; None where one can't be brought here in
        time: what there is of it stays, and the next pull goes on from there."""
        merged, rows = acceptor.merge_rows([pull.rows for pull in counted]), {}
        for key, row in merged.items():
            if not isinstance(row.value, ValueReference):
                rows[key] = Row(row.promised, row.accepted, row.value and row.value.value)
                continue
            told = {ip: pull.rows.get(key) for ip, pull in pulls.items()}
            holders = [ip for ip, one in told.items() if one is not None and one.accepted == row.accepted]
            found, value = await self.rounds.resolve(row.value, holders)
            if not found:
                return None
            rows[key] = Row(row.promised, row.accepted, value)
        return rows

    async def _move(self):
        """From the sealed configuration on to the next, with what a majority of its members holds."""
        here = self.epochs.configuration
        asked = {*here.members, *here.successor.members}
        found, pulls = await self._pull(
            asked,
            lambda pulls: membership_rules.transition_quorum(here, pulls),
            incarnation=FIRST_INCARNATION,
            seal=here.successor,
        )
        if not found:
            return False
        rows = await self._rows(found, pulls)
        if rows is None:
            return True
        async with self.epochs.lock:
            lives = merge_incarnations([self.storage.incarnations(), *(pull.incarnations for pull in found)])
            after = membership_rules.enter(here.successor)
            await self.epochs.enter(StateUpdate(registers=rows, configuration=after, peer_incarnations=lives))
        self.peers.tell(self.epochs.members)
        return True

    async def _join(self, known):
        """Takes up the newest configuration with what a majority of its members holds, itself not counted. A
        lost disk first asks for a life of its own, and has them note it before they tell all."""
        ip, ips, epochs = self.settings.ip, known - {self.settings.ip}, self.epochs

        def take(pulls):
            found = membership_rules.join_quorum(ip, pulls, not epochs.intact)
            return [found.configuration, found.replies] if found else []

        life = self.storage.incarnation if epochs.intact else None
        if life is None:
            found, _ = await self._pull(ips, take, incarnation=FIRST_INCARNATION, successor_only=True)
            if not found:
                return
            life = next_incarnation(ip, [pull.incarnations for pull in found[1]])
        found, pulls = await self._pull(ips, take, incarnation=life)
        if not found or epochs.intact and found[0].epoch <= epochs.epoch:
            return
        here, counted = found
        rows = await self._rows(counted, pulls)
        if rows is None:
            return
        async with epochs.lock:
            own = [self.storage.incarnations()] if epochs.intact else []
            lives = merge_incarnations([*own, *(pull.incarnations for pull in counted)])
            await epochs.enter(
                StateUpdate(registers=rows, configuration=here, peer_incarnations=lives, incarnation=life)
            )
        told_by = len(counted)
        self.say("rebuilt", rows=len(rows), told_by=told_by, disk_life=life, counts=epochs.is_voter)


def _uncarried(row, mine):
    """A row that was pulled, with its value; a large one stays a reference."""
    if row.value is None and row.accepted == mine.accepted and mine.value is not None:
        return row._replace(value=InlineValue(mine.value))  # it was left out
    return row
