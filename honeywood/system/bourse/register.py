"""The register over the bourses' disks: changes and reads with a majority. What decides is in ledger/."""

import asyncio
from concurrent.futures import ThreadPoolExecutor

from honeywood.system.ledger import acceptor
from honeywood.system.ledger.round import FIRST, Round, agreed, current
from honeywood.system.terms.check import need
from honeywood.system.terms.outcome import Done, Failed, Wrong

PATH = "/register"
BORN, MEMBERS = "born", "members"  # rows beside the registers: this disk's life; whose disks count;
LIVES = "lives"  # what is known of others' later lives;
NOTES = "notes"  # this bourse's notes of machines, which no other counts on
BESIDE = (BORN, MEMBERS, LIVES, NOTES)
WITHIN = 0.8  # seconds a peer has for one step
PAUSE = 0.02  # seconds, by chance up to twice, after a ballot that lost
REOPEN = 0.3  # seconds until a disk that couldn't be opened is tried again
TURNS = 8  # ballots before a change gives up


class Register:
    """This disk and the way to the others. `bear` disks may be lost at once, so 2 bear + 1 count."""

    def __init__(self, settings, caller, random, say, disk):
        self.settings, self.caller, self.random, self.say = settings, caller, random, say
        self.rows, self.make_disk, self.disk, self.sound, self.members = {}, disk, None, False, []
        self.thread, self.lock, self.count = ThreadPoolExecutor(1), asyncio.Lock(), 0

    @property
    def majority(self):
        return self.settings.bear + 1

    @property
    def size(self):
        return 2 * self.settings.bear + 1

    async def _on_disk(self, work, *given):
        return await asyncio.get_running_loop().run_in_executor(self.thread, work, *given)

    async def _keep(self, rows):
        try:
            await self._on_disk(self.disk.put, rows)
        except OSError as wrong:
            raise Wrong(PATH, f"the disk refuses: {wrong}", self.settings.ip, 503) from None
        self.rows.update(rows)

    async def keep_notes(self, notes):
        """Puts notes aside for this disk's next life; those of an earlier one are in `notes`."""
        if self.sound and notes != self.notes:
            await self._keep({NOTES: notes})

    @property
    def notes(self):
        return self.rows.get(NOTES, [])

    def _registers(self):
        return {key: row for key, row in self.rows.items() if key not in BESIDE}

    def _lives(self):
        """How often each disk has begun anew, as far as this one knows, where that was more than once."""
        own = int(self.rows[BORN])
        return {**self.rows.get(LIVES, {}), **({self.settings.ip: own} if own > FIRST else {})}

    # starting
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
            self.sound, self.members = True, self.rows.get(MEMBERS, [])
        elif self.settings.fresh:
            try:
                await self._keep({BORN: FIRST})
                self.sound = True
            except Wrong as wrong:  # taken for a lost one until it can be written to
                self.say("register not begun", why=str(wrong))
        self.say("register", sound=self.sound, rows=len(self.rows))

    async def found(self, known):
        """Fixes whose disks count once enough are known: the same everywhere, and for good."""
        if self.sound and not self.members and len(known) >= self.size:
            members = sorted(known)[: self.size]
            await self._keep({MEMBERS: members})
            self.members = members

    async def rebuild(self, known):
        """A lost disk: neither votes nor counts until a majority of those that lost nothing has noted its new
        life and then told all."""
        life = FIRST
        for last in (False, True):
            ask = {"op": "pull", "ip": self.settings.ip, "life": life if last else FIRST}
            replies = await asyncio.gather(
                *[self._call(ip, ask) for ip in known if ip != self.settings.ip]
            )
            pulls = [reply.value for reply in replies if reply.ok]
            if len(pulls) < self.majority:
                return
            life = life if last else acceptor.next_life(self.settings.ip, [pull["lives"] for pull in pulls])
        members = next((pull["members"] for pull in pulls if pull["members"]), [])
        rows = acceptor.rebuilt([pull["rows"] for pull in pulls])
        lives = acceptor.known_lives([pull["lives"] for pull in pulls])
        await self._keep({**rows, LIVES: lives, **({MEMBERS: members} if members else {}), BORN: life})
        self.sound, self.members = True, members
        self.say("rebuilt", rows=len(rows), told_by=len(pulls), disk_life=life)

    # one disk's side
    async def serve(self, ask, peer):
        """The answer to another's step."""
        op = need(ask, "op", str, PATH)
        if not self.sound:
            raise Wrong(PATH, "this disk was lost and is not rebuilt", peer, 503)
        if op == "pull":
            ip, life = need(ask, "ip", str, PATH), need(ask, "life", int, PATH, least=FIRST)
            async with self.lock:  # what is being written belongs to what is told
                if life > self._lives().get(ip, FIRST):
                    await self._keep({LIVES: {**self.rows.get(LIVES, {}), ip: life}})
                return {"rows": self._registers(), "lives": self._lives(), "members": self.members}
        if op == "survey":
            known = need(ask, "known", dict, PATH)
            return {
                "rows": {
                    key: {"accepted": row[1], "value": None if known.get(key) == row[1] else row[2]}
                    for key, row in self._registers().items()
                },
                "lives": self._lives(),
            }
        key = need(ask, "key", str, PATH)
        if op == "read":
            _, accepted, value = self.rows.get(key) or (None, acceptor.NEVER, None)
            known = accepted == ask.get("known")  # the asker has this value, and it may be large
            return {"accepted": accepted, "value": None if known else value, "lives": self._lives()}
        ballot = need(ask, "ballot", list, PATH)
        async with self.lock:
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

    async def _call(self, ip, body):
        if ip == self.settings.ip:
            try:
                return Done(await self.serve(body, ip))
            except Wrong as wrong:
                return wrong.failed
        return await self.caller.call(ip, self.settings.bourse_port, PATH, body, WITHIN, again=True)

    # all disks
    async def _ask_all(self, body, take):
        """Asks all members at once until `take` says that it is enough; whether it did."""
        asked = {asyncio.ensure_future(self._call(ip, body)): ip for ip in self.members}
        tasks = set(asked)
        while tasks:
            done, tasks = await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
            for task in done:
                reply = task.result()
                if reply.ok and take(asked[task], reply.value):
                    return True
        return False

    async def change(self, key, change):
        """Done with the value that a majority's disks hold after `change`, or Failed."""
        if not (self.sound and self.members):
            return Failed("register", "this disk takes no part yet", "", 503)
        for _ in range(TURNS):
            self.count = max(self.count, (self.rows.get(key) or [acceptor.NEVER])[0][0]) + 1
            turn = Round([self.count, self.settings.ip], self.majority, change)
            if await self._ask_all({"op": "prepare", "key": key, "ballot": turn.ballot}, turn.promised):
                body = {"op": "accept", "key": key, "ballot": turn.ballot, "value": turn.value}
                if await self._ask_all(body, turn.accepted):
                    return Done(turn.value)
            self.count = max(self.count, turn.refused[0])
            if turn.refused == acceptor.NEVER:
                return Failed("register", "no majority answers", "", 503)
            await asyncio.sleep(PAUSE * (1 + self.random.random()))
        return Failed("register", "other changes came first", "", 503)

    async def read(self, key):
        """Done with the value of one key that a majority agreed on at some moment since the call (or None);
        one in doubt is settled by a round."""
        if not (self.sound and self.members):
            return Failed("register", "this disk takes no part yet", "", 503)
        mine, replies = self.rows.get(key) or [acceptor.NEVER, acceptor.NEVER, None], {}

        def take(ip, reply):
            replies[ip] = reply
            return len(current(replies)) >= self.majority

        if not await self._ask_all({"op": "read", "key": key, "known": mine[1]}, take):
            return Failed("register", "no majority answers", "", 503)
        told = [
            {**row, "value": mine[2]} if row["accepted"] == mine[1] else row for row in current(replies)
        ]
        sure, value = agreed(told, self.majority)
        return Done(value) if sure else await self.change(key, lambda held: held)

    async def survey(self):
        """Done with all values that a majority agrees on, by key; those in doubt are settled by a round."""
        if not (self.sound and self.members):
            return Failed("register", "this disk takes no part yet", "", 503)
        known, replies = {key: row[1] for key, row in self._registers().items()}, {}

        def take(ip, reply):
            replies[ip] = reply
            return len(current(replies)) >= self.majority

        if not await self._ask_all({"op": "survey", "known": known}, take):
            return Failed("register", "no majority answers", "", 503)
        found, replies = {}, [reply["rows"] for reply in current(replies)]
        for key in {key for rows in replies for key in rows}:
            told = [rows.get(key, {"accepted": acceptor.NEVER, "value": None}) for rows in replies]
            sure, value = agreed(told, self.majority)
            if sure and value is None and key in known:
                value = self.rows[key][2] if self.rows[key][1] == known[key] else None
                sure = value is not None
            if not sure:
                settled = await self.change(key, lambda held: held)
                if not settled.ok:
                    return settled
                value = settled.value
            found[key] = value
        return Done(found)
