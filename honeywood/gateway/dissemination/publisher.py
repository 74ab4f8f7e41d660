"""Answering other programs' asks. A program asks another and is answered once there is something new, or
after a while; so news pass at once, and each answer is a sign of life.

Every answer is short enough for the links it crosses: what doesn't fit comes with the next ask, which goes
on where this answer ended, at the same peer or, of long records, at another.
"""

import asyncio
from collections import Counter

from honeywood.gateway.dissemination import tombstones
from honeywood.gateway.dissemination.chunk import ChunkCollector
from honeywood.gateway.dissemination.link_pacer import LinkPacer, response_limit
from honeywood.gateway.dissemination.messages import Answer
from honeywood.gateway.dissemination.store import Store

HOLD = 1.0  # seconds an ask is held while there is nothing new
BUNDLE = 0.02  # seconds waited after a record for others that come with it
QUIET = ("beat/", tombstones.PREFIX)  # records that wake nobody
LAZY = {"count/": 0.2, "fleet/": 0.1}  # records that wake controllers alone, with others of so many seconds
SMALL = 2048  # bytes of an answer that waits for nothing
PATIENCE = 0.25  # seconds that an answer waits for its turn on the link; then its asker is sent away
FAST = 125e6  # bytes a second of a link that nothing is said of


class Publisher:
    """A store whose changes wake those who wait; what askers told of themselves goes to `met`. `rate` is what
    the program's link carries in bytes a second; `told` counts the bytes of answers by kind of record."""

    def __init__(self, life, hear, met=lambda who, rev: None, rate=FAST, needed=lambda *record: False):
        """`hear(key, value)` is told of each record that is taken, `met(who, rev)` of each Asker and what it
        has; `life` and `needed` are the store's."""
        self.store, self.hear, self.met, self.waiting = Store(life, self._told, needed), hear, met, {}
        self.most, self.pacer, self.chunks = response_limit(rate), LinkPacer(rate), ChunkCollector()
        self.told, self.due = Counter(), False

    def _told(self, key, value):
        """A record has come to the store."""
        self.hear(key, value)
        if key.startswith(QUIET):
            return
        lag = next((lag for kind, lag in LAZY.items() if key.startswith(kind)), None)
        if lag is None:
            self._wake(True)
        elif self.waiting and not self.due:
            self.due = True
            next(iter(self.waiting)).get_loop().call_later(lag, self._wake, False)

    def _wake(self, everybody):
        """Wakes those who wait, in the order in which they came; or controllers alone."""
        self.due = self.due and everybody
        for waiter, is_controller in list(self.waiting.items()):
            if (everybody or is_controller) and not waiter.done():
                waiter.set_result(None)

    async def changed(self, within, is_controller):
        """Waits for a record that wakes, or `within` seconds."""
        waiter = asyncio.get_running_loop().create_future()
        self.waiting[waiter] = is_controller
        try:
            await asyncio.wait((waiter,), timeout=within)
        finally:
            del self.waiting[waiter]
        return waiter.done()

    def hear_answer(self, answer):
        """Takes what another's Answer told."""
        self.store.hear(answer.records)
        whole = self.chunks.take(answer.chunk) if answer.chunk else None
        if whole:
            self.store.hear([whole])

    async def serve(self, ask, has_left=lambda: False):
        """The Answer to another's Ask; `has_left` tells whether the asker has gone, which then takes no part
        of the link from others."""
        rev = ask.rev if ask.life == self.store.life else 0
        self.store.learn(ask.who.epoch)
        self.met(ask.who, rev)
        self.store.hear(ask.records)
        if not ask.who.controller and ask.digest == f"{self.store.digest:x}":
            rev = self.store.rev  # it has heard the same from others
        found = await self._found(rev, ask)
        if has_left():
            self.told["asker left"] += 1
            return Answer(self.store.life, rev)
        return await self._answer(found, rev, ask)

    async def _found(self, rev, ask):
        """What the one who asks hasn't heard, as soon as there is something."""
        loop, is_controller = asyncio.get_running_loop(), ask.who.controller
        until = loop.time() + min(HOLD, ask.hold_s)
        while True:
            found = self.store.since(self.store.life, rev, is_controller, ask.held)
            left = until - loop.time()
            if found or left <= 0:
                return found  # looked up after the wait, as records that wake nobody may have come in it
            if await self.changed(left, is_controller):
                await asyncio.sleep(BUNDLE)

    async def _answer(self, found, rev, ask):
        """The Answer that tells of `found` what fits, in its turn on the link."""
        now, most = asyncio.get_running_loop().time(), min(self.most, ask.most or self.most)
        records, chunk, reached = self.store.tell(found, most, ask.have)
        sizes = [(record.key, self.store.size(record.key)) for record in records]
        sizes += [(chunk.key, len(chunk.text))] if chunk else []
        size = sum(size for _, size in sizes)
        if size > SMALL and not ask.who.controller and self.pacer.backlog_s(now) > PATIENCE:
            self.told["sent away"] += 1
            return Answer(self.store.life, rev, later_s=self.pacer.backlog_s(now))
        if size > SMALL:
            turn = self.pacer.schedule(now, size)
            await asyncio.sleep(self._turn(turn, ask))
        for key, size in sizes:
            self.told[key.partition("/")[0]] += size
        more = chunk is not None or len(records) < len(found)
        return Answer(self.store.life, reached, records, chunk, more)

    @staticmethod
    def _turn(turn, ask):
        """Seconds that an answer waits: controllers are few, and don't wait behind proxies."""
        return 0.0 if ask.who.controller else turn
