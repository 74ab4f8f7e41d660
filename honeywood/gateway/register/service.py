"""The acceptor's side of the messages: what this disk answers to another's step."""

import asyncio
from dataclasses import replace

from honeywood.gateway.errors import Unavailable
from honeywood.gateway.register import acceptor
from honeywood.gateway.register import membership as members
from honeywood.gateway.register import requests as asked
from honeywood.gateway.register.fields import PATH
from honeywood.gateway.register.peers import STEP_S
from honeywood.gateway.register.replies import (
    ChunkHeld,
    ChunkTold,
    Fenced,
    Noted,
    PullReply,
    ReadReply,
    Shown,
    SurveyReply,
    ValueWanted,
)
from honeywood.gateway.register.row import EMPTY
from honeywood.gateway.register.values import Inline, Reference

WRITES = (asked.Prepare, asked.Accept, asked.Pull)  # steps that wait for the disk


class AcceptorService:
    """Answers requests, on this disk alone."""

    def __init__(self, settings, storage, epochs, lookup):
        self.settings, self.storage, self.epochs, self.lookup = settings, storage, epochs, lookup
        self.waiting = {}  # since when each step that needs the disk has been waiting
        self.answers = {
            asked.Prepare: self._prepare,
            asked.Accept: self._accept,
            asked.StoreChunk: self._store_chunk,
            asked.FetchChunk: self._fetch_chunk,
            asked.Read: self._read,
            asked.Survey: self._survey,
            asked.Pull: self._pull,
            asked.Told: self._told,
        }

    async def serve(self, request, peer):
        """The reply to a request. Nothing queues behind a hang: steps are refused at once while an earlier
        one that needs the disk has been waiting for longer than whoever asked waits."""
        if not isinstance(request, WRITES):
            return await self._answer(request, peer)
        now, turn = asyncio.get_running_loop().time(), object()
        if self.waiting and now - next(iter(self.waiting.values())) > STEP_S:
            raise Unavailable(PATH, "the disk hangs", peer)
        self.waiting[turn] = now
        try:
            return await self._answer(request, peer)
        finally:
            del self.waiting[turn]

    async def _answer(self, request, peer):
        if not (self.epochs.sound or isinstance(request, asked.Told)):
            raise Unavailable(PATH, "this disk was lost and is not rebuilt", peer)
        return await self.answers[type(request)](request)

    def _fenced(self, epoch):
        """The reply to a step of an epoch that isn't this disk's, or that is over."""
        here = self.epochs.here
        if members.takes(here, self.settings.ip, epoch):
            return None
        return Fenced({"next": None, **(here["next"] or here)})

    async def _told(self, request):
        await self.epochs.follow(request.members)
        return Noted()

    async def _prepare(self, request):
        async with self.epochs.lock:
            if fenced := self._fenced(request.epoch):
                return fenced
            row, reply = acceptor.prepare(self.storage.rows.get(request.key), request.ballot)
            if row is not None:
                await self.storage.keep({request.key: row})
                reply = replace(reply, value=self.lookup.carried(request.key))
            return replace(reply, lives=self.storage.lives())

    async def _accept(self, request):
        async with self.epochs.lock:
            if fenced := self._fenced(request.epoch):
                return fenced
            row = self.storage.rows.get(request.key, EMPTY)
            found, value = self.lookup.find(request.value)
            if not found and request.ballot >= row.promised:
                return ValueWanted(self.lookup.held(request.value))
            row, reply = acceptor.accept(row, request.ballot, value)
            if row is not None:
                await self.storage.keep({request.key: row})
                if isinstance(request.value, Reference):
                    self.lookup.store.drop(request.value)
            return replace(reply, lives=self.storage.lives())

    async def _store_chunk(self, request):
        return ChunkHeld(self.lookup.take(request.chunk))

    async def _fetch_chunk(self, request):
        return ChunkTold(self.lookup.chunk(request.value, request.start, request.size))

    def _shown(self, key, known):
        """A row as a read is told of it, without a value that whoever asks has."""
        row = acceptor.shown(self.storage.rows.get(key))
        value = None if row.accepted == known else self.lookup.carried(key)
        return Shown(row.accepted, value, row.sure)

    async def _read(self, request):
        row = self._shown(request.key, request.known)
        return self._fenced(request.epoch) or ReadReply(row, self.storage.lives())

    async def _survey(self, request):
        if fenced := self._fenced(request.epoch):
            return fenced
        rows = {key: self._shown(key, request.known.get(key)) for key in self.storage.registers()}
        return SurveyReply(rows, self.storage.lives())

    async def _pull(self, request):
        if request.seal:
            await self.epochs.follow(request.seal)
        async with self.epochs.lock:  # what is being written belongs to what is told
            await self.storage.note_life(request.ip, request.life)
            rows = {}
            for key, row in self.storage.registers().items():
                if request.bare and key != members.SUCCESSOR:
                    continue
                left_out = request.known.get(key) == row.accepted
                value = Inline(row.value) if key == members.SUCCESSOR else self.lookup.carried(key)
                rows[key] = row._replace(value=None if left_out else value)  # the rules look at who follows
            return PullReply(rows, self.storage.lives(), self.epochs.here)
