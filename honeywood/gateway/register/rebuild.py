"""How a disk comes to count: the first members are agreed on, a lost disk is rebuilt from the others, and
each disk goes on from one epoch to the next. The rules are in membership.py."""

import asyncio
from dataclasses import replace

from honeywood.gateway.errors import GatewayError
from honeywood.gateway.register import acceptor
from honeywood.gateway.register import membership as members
from honeywood.gateway.register.proposer import FIRST
from honeywood.gateway.register.requests import Pull
from honeywood.gateway.register.row import EMPTY
from honeywood.gateway.register.storage import BORN, LIVES, MEMBERS
from honeywood.gateway.register.values import Inline, Reference

WHOLE_S = 1.5  # seconds a peer has to tell all rows
FOUND_S = 0.3  # seconds by which the seeds found after each other


class Rebuild:
    """Brings this controller's disk to where it counts."""

    def __init__(self, settings, say, storage, epochs, peers, rounds):
        self.settings, self.say, self.storage, self.epochs = settings, say, storage, epochs
        self.peers, self.rounds, self.began = peers, rounds, None

    async def begin(self):
        """Opens the disk: sound if it has taken part before or all begins anew; else it was lost."""
        storage, epochs = self.storage, self.epochs
        await storage.open()
        if BORN in storage.rows:
            epochs.sound, epochs.here = True, storage.rows[MEMBERS]
        elif self.settings.fresh:
            seeds = {"epoch": members.START, "members": [ip for ip, _ in self.settings.seeds], "next": None}
            try:
                await storage.keep({BORN: FIRST, MEMBERS: seeds})
                epochs.sound, epochs.here = True, seeds
            except GatewayError as wrong:  # taken for a lost one until it can be written to
                self.say("register not begun", why=str(wrong))
        told = {"sound": epochs.sound, "rows": len(storage.rows)}
        self.say("register", **told, epoch=epochs.epoch, members=epochs.members)

    async def settle(self, known):
        """Brings this disk to where it counts, as far as the controllers `known` allow it now."""
        epochs = self.epochs
        known = {*known, *epochs.members, *(epochs.newer["members"] if epochs.newer else ())}
        try:
            if epochs.here and epochs.newer:
                await epochs.follow(epochs.newer)
            if not epochs.sound:
                await self._join(known)
            elif epochs.epoch == members.START and not epochs.newer:
                await self._found(known)
            elif epochs.settled:
                return  # what it waited for came by another way, while `follow` had the lock
            elif epochs.newer or not await self._move():
                await self._join(known)
        except GatewayError as wrong:
            self.say("register waits for its disk", 5.0, why=str(wrong))

    async def _found(self, known):
        """The seeds of the first start agree on the first members; any 2 bear + 1 will do."""
        now = asyncio.get_running_loop().time()
        self.began = now if self.began is None else self.began
        ip, seeds, size = self.settings.ip, self.epochs.members, 2 * self.settings.tolerated_failures + 1
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
        following = {"epoch": self.epochs.epoch + 1, "members": wanted}

        def first(held):
            return held if held and held["epoch"] >= following["epoch"] else following

        found = await self.rounds.change(members.SUCCESSOR, first)
        if found.ok:
            await self.epochs.follow(found.value)
            self.peers.tell([*self.epochs.members, *found.value["members"]])
        return found

    async def _pull(self, ips, take, **more):
        """Asks for all that others hold until `take` of the pulls by ip finds enough; what it found."""
        pulls, found, held = {}, [], self.storage.registers()

        def taken(ip, pull):
            self.epochs.note(pull.members["next"] or pull.members)
            rows = {key: _uncarried(row, held.get(key, EMPTY)) for key, row in pull.rows.items()}
            pulls[ip] = replace(pull, rows=rows)
            found[:] = take(pulls)
            return bool(found)

        asked = Pull(self.settings.ip, known=self.storage.accepted(), **more)
        await self.peers.ask_all(ips, asked, taken, WHOLE_S)
        return found, pulls

    async def _rows(self, counted, pulls):
        """The rows out of those that count, with their whole values; None where one can't be brought here in
        time: what there is of it stays, and the next pull goes on from there."""
        rows = acceptor.rebuilt([pull.rows for pull in counted])
        for key, row in rows.items():
            if not isinstance(row.value, Reference):
                continue
            told = {ip: pull.rows.get(key) for ip, pull in pulls.items()}
            holders = [ip for ip, one in told.items() if one is not None and one.accepted == row.accepted]
            found, value = await self.rounds.resolve(row.value, holders)
            if not found:
                return None
            rows[key] = row._replace(value=value)
        return rows

    async def _move(self):
        """From the sealed configuration on to the next, with what a majority of its members holds."""
        here = self.epochs.here
        asked = {*here["members"], *here["next"]["members"]}
        found, pulls = await self._pull(
            asked, lambda pulls: members.moves(here, pulls), life=FIRST, seal=here["next"]
        )
        if not found:
            return False
        rows = await self._rows(found, pulls)
        if rows is None:
            return True
        async with self.epochs.lock:
            lives = acceptor.known_lives([self.storage.lives(), *(pull.lives for pull in found)])
            await self.epochs.enter(members.entered(here["next"]), rows, **{LIVES: lives})
        self.peers.tell(self.epochs.members)
        return True

    async def _join(self, known):
        """Takes up the newest configuration with what a majority of its members holds, itself not counted. A
        lost disk first asks for a life of its own, and has them note it before they tell all."""
        ip, ips, epochs = self.settings.ip, known - {self.settings.ip}, self.epochs

        def take(pulls):
            here, enough = members.joins(ip, pulls, not epochs.sound)
            return [here, enough] if enough else []

        life = self.storage.born if epochs.sound else None
        if life is None:
            found, _ = await self._pull(ips, take, life=FIRST, bare=True)
            if not found:
                return
            life = acceptor.next_life(ip, [pull.lives for pull in found[1]])
        found, pulls = await self._pull(ips, take, life=life)
        if not found or epochs.sound and found[0]["epoch"] <= epochs.epoch:
            return
        here, counted = found
        rows = await self._rows(counted, pulls)
        if rows is None:
            return
        async with epochs.lock:
            own = [self.storage.lives()] if epochs.sound else []
            lives = acceptor.known_lives([*own, *(pull.lives for pull in counted)])
            await epochs.enter(here, rows, **{LIVES: lives, BORN: life})
        told_by = len(counted)
        self.say("rebuilt", rows=len(rows), told_by=told_by, disk_life=life, counts=epochs.counts)


def _uncarried(row, mine):
    """A row that was pulled, with its value; a large one stays a reference."""
    if row.value is None and row.accepted == mine.accepted:
        return row._replace(value=mine.value)  # it was left out
    return row._replace(value=row.value.value) if isinstance(row.value, Inline) else row
