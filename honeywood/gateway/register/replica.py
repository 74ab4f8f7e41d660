"""The register over the members' disks: changes and reads with a majority, and how a disk comes to count.
What decides is in ledger/."""

import asyncio
from concurrent.futures import ThreadPoolExecutor

from honeywood.gateway.configuration.check import need
from honeywood.gateway.configuration.outcome import Done, Failed, Wrong
from honeywood.gateway.register import acceptor
from honeywood.gateway.register import membership as members
from honeywood.gateway.register.paging import bounded
from honeywood.gateway.register.proposer import FIRST, Proposal, agreed, current

PATH = "/register"
BORN, MEMBERS = "born", "members"  # rows beside the registers: this disk's life; its configuration;
LIVES = "lives"  # what is known of others' later lives;
NOTES = "note/"  # before an id: this controller's note of a machine, which no other counts on
BESIDE = (BORN, MEMBERS, LIVES)
WITHIN = 0.8  # seconds a peer has for one step
WHOLE = 1.5  # seconds a peer has to tell all rows
PATIENCE = 0.6  # seconds in which a change begins again: its caller goes elsewhere after 1 s
PAUSE = 0.02  # seconds, by chance up to twice, after a ballot that lost; it doubles up to
LONGEST = 0.16  # seconds
REFUSED = 0.1  # seconds that a ballot waits for further answers after one disk has refused it
FOUND = 0.3  # seconds by which the seeds found after each other
NONE_YET = Failed("register", "this disk takes no part yet", "", 503)
NO_MAJORITY = Failed("register", "no majority answers", "", 503)
OTHERS_FIRST = Failed("register", "other changes came first", "", 503)
REOPEN = 0.3  # seconds until a disk that couldn't be opened is tried again


class Register:
    """This disk and the way to the others. `bear` disks may be lost at once, so 2 bear + 1 count."""

    def __init__(self, settings, caller, random, say, disk):
        self.settings, self.caller, self.random, self.say = settings, caller, random, say
        self.rows, self.make_disk, self.disk, self.sound = {}, disk, None, False
        self.here = self.newer = None  # the configuration this disk goes by; a newer one that was told
        self.began, self.count = None, 0
        self.thread, self.lock, self.waiting = ThreadPoolExecutor(1), asyncio.Lock(), {}

    @property
    def members(self):
        return self.here["members"] if self.here else []

    @property
    def epoch(self):
        return self.here["epoch"] if self.here else members.START

    @property
    def size(self):
        return 2 * self.settings.bear + 1

    @property
    def settled(self):
        """Whether this disk is where it belongs: it counts, or is known not to."""
        return self.sound and self.epoch > members.START and not self.here["next"] and not self.newer

    @property
    def counts(self):
        return self.sound and members.takes(self.here, self.settings.ip, self.epoch)

    async def _on_disk(self, work, *given):
        return await asyncio.get_running_loop().run_in_executor(self.thread, work, *given)

    async def _keep(self, rows):
        try:
            await self._on_disk(self.disk.put, rows)
        except OSError as wrong:
            raise Wrong(PATH, f"the disk refuses: {wrong}", self.settings.ip, 503) from None
        self.rows.update(rows)
        for key in [key for key, row in rows.items() if row is None]:
            del self.rows[key]

    async def keep_notes(self, notes):
        """Puts notes of machines, {id: [stamp, value] or None}, aside for this disk's next life."""
        if not self.sound:
            raise Wrong(PATH, "this disk was lost and is not rebuilt", self.settings.ip, 503)
        await self._keep({NOTES + id: note for id, note in notes.items()})

    @property
    def notes(self):
        """Those of an earlier life: [id, stamp, value] of each machine."""
        return [[key[len(NOTES) :], *row] for key, row in self.rows.items() if key.startswith(NOTES)]

    def _registers(self):
        return {key: row for key, row in self.rows.items() if key not in BESIDE and not key.startswith(NOTES)}

    def _lives(self):
        """How often each disk has begun anew, as far as this one knows, where that was more than once."""
        own = int(self.rows[BORN])
        return {**self.rows.get(LIVES, {}), **({self.settings.ip: own} if own > FIRST else {})}

    # where this disk counts
    async def _opened(self):
        """The disk; one that can't be read or synced now is opened later, not taken for an empty one."""
        while True:
            try:
                return await self._on_disk(self.make_disk, self.settings.datadir)
            except OSError as wrong:
                self.say("disk not opened", 5.0, why=str(wrong))
                await asyncio.sleep(REOPEN)

    async def open(self):
        """Opens the disk: sound if it has taken part before or all begins anew; else it was lost."""
        self.disk = await self._opened()
        self.rows = await self._on_disk(self.disk.rows)
        if BORN in self.rows:
            self.sound, self.here = True, self.rows[MEMBERS]
        elif self.settings.fresh:
            seeds = {"epoch": members.START, "members": [ip for ip, _ in self.settings.seeds], "next": None}
            try:
                await self._keep({BORN: FIRST, MEMBERS: seeds})
                self.sound, self.here = True, seeds
            except Wrong as wrong:  # taken for a lost one until it can be written to
                self.say("register not begun", why=str(wrong))
        self.say("register", sound=self.sound, rows=len(self.rows), epoch=self.epoch, members=self.members)

    async def settle(self, known):
        """Brings this disk to where it counts, as far as the controllers `known` allow it now."""
        known = {*known, *self.members, *(self.newer["members"] if self.newer else ())}
        try:
            if self.here and self.newer:
                await self._follow(self.newer)
            if not self.sound:
                await self._join(known)
            elif self.epoch == members.START and not self.newer:
                await self._found(known)
            elif self.newer or not await self._move():
                await self._join(known)
        except Wrong as wrong:
            self.say("register waits for its disk", 5.0, why=str(wrong))

    async def _found(self, known):
        """The seeds of the first start agree on the first members; any 2 bear + 1 will do."""
        now = asyncio.get_running_loop().time()
        self.began = now if self.began is None else self.began
        ip, seeds = self.settings.ip, self.members
        rank = seeds.index(ip) if ip in seeds else len(seeds)
        if len(known) >= self.size and now - self.began >= rank * FOUND:
            await self._agree(sorted(known)[: self.size])

    async def replace(self, lost, spare):
        """Has `spare` take the place of the member `lost`, if nobody changes the members meanwhile."""
        found = await self._agree(sorted({*self.members, spare} - {lost}))
        if found.ok:
            self.say("members", lost=lost, spare=spare, **found.value)
        return found

    async def _agree(self, wanted):
        """The members of the next epoch, agreed by a majority of this one's; the first that are, stay."""
        following = {"epoch": self.epoch + 1, "members": wanted}

        def first(held):
            return held if held and held["epoch"] >= following["epoch"] else following

        found = await self._change(members.SUCCESSOR, first)
        if found.ok:
            await self._follow(found.value)
            self._tell([*self.members, *found.value["members"]])
        return found

    def _note(self, told):
        """Remembers the newest configuration that is told, if this disk is not there yet."""
        known = max(self.epoch, self.here["next"]["epoch"] if self.here and self.here["next"] else 0)
        if told["epoch"] > max(known, self.newer["epoch"] if self.newer else members.START):
            self.newer = {"epoch": told["epoch"], "members": told["members"]}

    async def _follow(self, following):
        """Takes over an agreed configuration: it is entered at once where nothing was before, else this disk
        takes no more steps of its epoch; one further on is noted."""
        async with self.lock:
            first = self.epoch == members.START and following["epoch"] == members.START + 1
            if self.sound and first:
                await self._enter(members.entered(following))
            elif self.sound and (sealed := members.sealed(self.here, following)):
                await self._keep({MEMBERS: sealed})
                self.here = sealed
                self._arrived(following["epoch"])
            self._note(following)

    def _arrived(self, epoch):
        if self.newer and self.newer["epoch"] <= epoch:
            self.newer = None

    async def _enter(self, here, rows=(), **beside):
        """Puts a configuration and its rows on this disk, which counts from then on."""
        await self._keep({**dict(rows), **beside, MEMBERS: here})
        self.here, self.sound = here, True
        self._arrived(here["epoch"])
        self.say("entered", epoch=here["epoch"], members=here["members"], counts=self.counts, rows=len(rows))

    async def _pull(self, ips, take, **more):
        """Asks for all that others hold until `take` of the pulls by ip finds enough; what it found."""
        pulls, found = {}, []
        held = self._registers()
        known = {key: row[1] for key, row in held.items() if row[2] is not None}

        def taken(ip, pull):
            self._note(pull["members"]["next"] or pull["members"])
            for key, row in pull["rows"].items():
                if row[2] is None and known.get(key) == row[1]:
                    row[2] = held[key][2]
            pulls[ip] = pull
            found[:] = take(pulls)
            return bool(found)

        ask = {"op": "pull", "ip": self.settings.ip, "known": known, **more}
        await self._ask_all(ips, ask, taken, WHOLE)
        return found

    async def _move(self):
        """From the sealed configuration on to the next, with what a majority of its members holds."""
        here = self.here
        asked = {*here["members"], *here["next"]["members"]}
        pulls = await self._pull(
            asked, lambda pulls: members.moves(here, pulls), life=FIRST, seal=here["next"]
        )
        if not pulls:
            return False
        async with self.lock:
            lives = acceptor.known_lives([self._lives(), *(pull["lives"] for pull in pulls)])
            rows = acceptor.rebuilt([pull["rows"] for pull in pulls])
            await self._enter(members.entered(here["next"]), rows, **{LIVES: lives})
        self._tell(self.members)
        return True

    async def _join(self, known):
        """Takes up the newest configuration with what a majority of its members holds, itself not counted. A
        lost disk first asks for a life of its own, and has them note it before they tell all."""
        ip, ips = self.settings.ip, known - {self.settings.ip}

        def take(pulls):
            here, enough = members.joins(ip, pulls, not self.sound)
            return [here, enough] if enough else []

        life = int(self.rows[BORN]) if self.sound else None
        if life is None:
            found = await self._pull(ips, take, life=FIRST, bare=True)
            if not found:
                return
            life = acceptor.next_life(ip, [pull["lives"] for pull in found[1]])
        found = await self._pull(ips, take, life=life)
        if not found or self.sound and found[0]["epoch"] <= self.epoch:
            return
        here, pulls = found
        async with self.lock:
            own = [self._lives()] if self.sound else []
            lives = acceptor.known_lives([*own, *(pull["lives"] for pull in pulls)])
            rows = acceptor.rebuilt([pull["rows"] for pull in pulls])
            await self._enter(here, rows, **{LIVES: lives, BORN: life})
        self.say("rebuilt", rows=len(rows), told_by=len(pulls), disk_life=life, counts=self.counts)

    def _tell(self, ips):
        """Sends this disk's configuration to whoever may not know it; nothing rests on its arrival."""
        told = self.here["next"] or {"epoch": self.epoch, "members": self.members}
        for ip in {*ips} - {self.settings.ip}:
            asyncio.ensure_future(self._call(ip, {"op": "told", "members": told}))

    # one disk's side
    @bounded
    async def serve(self, ask, peer):
        """The answer to another's step."""
        op = need(ask, "op", str, PATH)
        if op == "told":
            await self._follow(_configuration(ask, "members"))
            return {}
        if not self.sound:
            raise Wrong(PATH, "this disk was lost and is not rebuilt", peer, 503)
        if op == "pull":
            return await self._told_all(ask)
        epoch = need(ask, "epoch", int, PATH)
        if op in ("survey", "read"):
            return self._fenced(epoch) or {**self._held(op, ask), "lives": self._lives()}
        key, ballot = need(ask, "key", str, PATH), need(ask, "ballot", list, PATH)
        async with self.lock:
            if fenced := self._fenced(epoch):
                return fenced
            row = self.rows.get(key)
            if op == "prepare":
                row, reply = acceptor.prepare(row, ballot)
            elif op == "accept":
                row, reply = acceptor.accept(row, ballot, ask.get("value"))
            else:
                raise Wrong(PATH, f"op {op!r} is not known", peer)
            if row is not None:
                await self._keep({key: row})
            return {**reply, "lives": self._lives()}

    def _fenced(self, epoch):
        """The answer to a step of an epoch that isn't this disk's, or that is over."""
        if members.takes(self.here, self.settings.ip, epoch):
            return None
        return {"fenced": self.here["next"] or self.here}

    def _held(self, op, ask):
        """What this disk holds; values that the asker has are left out, since they may be large."""
        if op == "read":
            return _without(acceptor.shown(self.rows.get(need(ask, "key", str, PATH))), ask.get("known"))
        known = need(ask, "known", dict, PATH)
        return {
            "rows": {
                key: _without(acceptor.shown(row), known.get(key)) for key, row in self._registers().items()
            }
        }

    async def _told_all(self, ask):
        """All rows (`bare`: just who follows), once a lost disk's new life is noted and the seal asked for is
        on this disk."""
        ip, life = need(ask, "ip", str, PATH), need(ask, "life", int, PATH, least=FIRST)
        known = need(ask, "known", dict, PATH, {})
        if ask.get("seal"):
            await self._follow(_configuration(ask, "seal"))
        async with self.lock:  # what is being written belongs to what is told
            if life > self._lives().get(ip, FIRST):
                await self._keep({LIVES: {**self.rows.get(LIVES, {}), ip: life}})
            rows = {
                key: [row[0], row[1], None if known.get(key) == row[1] else row[2]]
                for key, row in self._registers().items()
                if not ask.get("bare") or key == members.SUCCESSOR
            }
            return {"rows": rows, "lives": self._lives(), "members": self.here}

    async def _call(self, ip, body, within=WITHIN):
        if ip == self.settings.ip:
            try:
                return Done(await self.serve(body, ip))
            except Wrong as wrong:
                return wrong.failed
        return await self.caller.call(ip, self.settings.controller_port, PATH, body, within, again=True)

    # all disks
    async def _ask_all(self, ips, body, take, within=WITHIN):
        """Asks all of `ips` at once until `take` says that it is enough; whether it did. Who is in another
        epoch is taken for no answer; the one that is behind is told."""
        epoch, asked = self.epoch, {asyncio.ensure_future(self._call(ip, body, within)): ip for ip in ips}
        tasks, left = set(asked), None  # once one refuses, the silent are waited for no longer than that
        while tasks:
            done, tasks = await asyncio.wait(tasks, timeout=left, return_when=asyncio.FIRST_COMPLETED)
            if not done:
                return False
            for task in done:
                reply = task.result()
                if reply.ok and reply.value.get("ok") is False:
                    left = REFUSED
                if reply.ok and "fenced" in reply.value:
                    self._note(reply.value["fenced"])
                    if reply.value["fenced"]["epoch"] < epoch:
                        self._tell([asked[task]])
                elif reply.ok and take(asked[task], reply.value):
                    return True
        return False

    async def change(self, key, change):
        """Done with the value that a majority's disks hold after `change`, or Failed."""
        if self.epoch == members.START:
            return NONE_YET
        return await self._change(key, change)

    async def _change(self, key, change):
        loop, pause = asyncio.get_running_loop(), PAUSE
        until = loop.time() + PATIENCE
        while self.sound and self.here:
            here, lost = self.here, NO_MAJORITY
            self.count = max(self.count, (self.rows.get(key) or [acceptor.NEVER])[0][0]) + 1
            turn = Proposal([self.count, self.settings.ip], members.majority(here), change)
            body = {"op": "prepare", "key": key, "ballot": turn.ballot, "epoch": here["epoch"]}
            if await self._ask_all(here["members"], body, turn.promised):
                body = {**body, "op": "accept", "value": turn.value}
                if await self._ask_all(here["members"], body, turn.accepted):
                    return Done(turn.value)
            if turn.refused != acceptor.NEVER:
                self.count, lost = max(self.count, turn.refused[0]), OTHERS_FIRST
            if loop.time() >= until:
                return lost
            await asyncio.sleep(pause * (1 + self.random.random()))
            pause = min(2 * pause, LONGEST)
        return NONE_YET

    async def read(self, key):
        """Done with the value of one key that a majority agreed on at some moment since the call (or None);
        one in doubt is settled by a round."""
        if not self.sound or self.epoch == members.START:
            return NONE_YET
        here, mine = self.here, self.rows.get(key) or [acceptor.NEVER, acceptor.NEVER, None]
        replies = await self._replies(here, {"op": "read", "key": key, "known": mine[1]})
        if not replies:
            return NO_MAJORITY
        told = [{**row, "value": mine[2]} if row["accepted"] == mine[1] else row for row in replies]
        sure, value = agreed(told, members.majority(here))
        return Done(value) if sure else await self.change(key, lambda held: held)

    async def _replies(self, here, ask, enough=lambda counted: True):
        """The replies of a majority of an epoch's members, or none; all of them while it is not `enough`."""
        replies = {}

        def take(ip, reply):
            replies[ip] = reply
            counted = current(replies)
            return len(counted) >= members.majority(here) and enough(counted)

        await self._ask_all(here["members"], {**ask, "epoch": here["epoch"]}, take)
        return current(replies) if len(current(replies)) >= members.majority(here) else []

    async def survey(self):
        """Done with all values that a majority agrees on, by key; those in doubt are settled by a round."""
        if not self.sound or self.epoch == members.START:
            return NONE_YET
        here = self.here
        known = {key: row[1] for key, row in self._registers().items()}

        def agree(counted):
            """Whether no key needs a round: who is behind takes the others' word, over slow links too."""
            keys = {key for reply in counted for key in reply["rows"]}
            none = acceptor.shown(None)
            told = [[reply["rows"].get(key, none) for reply in counted] for key in keys]
            return all(agreed(rows, members.majority(here))[0] for rows in told)

        replies = await self._replies(here, {"op": "survey", "known": known}, agree)
        if not replies:
            return NO_MAJORITY
        found, replies = {}, [reply["rows"] for reply in replies]
        for key in {key for rows in replies for key in rows}:
            told = [rows.get(key, acceptor.shown(None)) for rows in replies]
            sure, value = agreed(told, members.majority(here))
            if sure and value is None and key in known:
                value = self.rows[key][2] if self.rows[key][1] == known[key] else None
                sure = value is not None
            if not sure:
                settled = await self.change(key, lambda held: held)
                if not settled.ok:
                    return settled
                value = settled.value
            found[key] = value
        following = found.pop(members.SUCCESSOR, None)
        if following:
            await self._follow(following)
        return Done(found)


def _without(shown, known):
    """Leaves out a value that the asker has."""
    return {**shown, "value": None} if shown["accepted"] == known else shown


def _configuration(ask, key):
    told = need(ask, key, dict, PATH)
    return {"epoch": need(told, "epoch", int, PATH), "members": need(told, "members", list, PATH)}
