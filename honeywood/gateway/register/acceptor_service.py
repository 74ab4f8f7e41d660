"""The acceptor's side of the messages: what this disk answers to another's step."""

import asyncio
from dataclasses import replace

from honeywood.gateway.configuration.outcome import Wrong
from honeywood.gateway.register import acceptor
from honeywood.gateway.register import membership_rules
from honeywood.gateway.register import requests as asked
from honeywood.gateway.register.fields import PATH
from honeywood.gateway.register.peer_client import STEP_S
from honeywood.gateway.register.replies import (
    ChunkStored,
    ChunkFetched,
    Fenced,
    Acknowledged,
    TransferStateReply,
    ReadReply,
    RowView,
    ReadAllReply,
    ValueMissing,
)
from honeywood.gateway.register.row import EMPTY_ROW
from honeywood.gateway.register.values import InlineValue, ValueReference

WRITES = (asked.Prepare, asked.Accept, asked.TransferState)  # steps that wait for the disk


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
            asked.ReadAll: self._survey,
            asked.TransferState: self._pull,
            asked.AnnounceConfiguration: self._told,
        }

    async def serve(self, request, peer):
        """The reply to a request. Nothing queues behind a hang: steps are refused at once while an earlier
        one that needs the disk has been waiting for longer than whoever asked waits."""
        if not isinstance(request, WRITES):
            return await self._answer(request, peer)
        now, turn = asyncio.get_running_loop().time(), object()
        if self.waiting and now - next(iter(self.waiting.values())) > STEP_S:
            raise Wrong(PATH, "the disk hangs", peer, 503)
        self.waiting[turn] = now
        try:
            return await self._answer(request, peer)
        finally:
            del self.waiting[turn]

    async def _answer(self, request, peer):
        if not (self.epochs.sound or isinstance(request, asked.AnnounceConfiguration)):
            raise Wrong(PATH, "this disk was lost and is not rebuilt", peer, 503)
        return await self.answers[type(request)](request)

    def _fenced(self, epoch):
        """The reply to a step of an epoch that isn't this disk's, or that is over."""
        here = self.epochs.here
        if membership_rules.accepts_epoch(here, self.settings.ip, epoch):
            return None
        return Fenced({"next": None, **(here["next"] or here)})

    async def _told(self, request):
        await self.epochs.follow(request.members)
        return Acknowledged()

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
            row = self.storage.rows.get(request.key, EMPTY_ROW)
            found, value = self.lookup.find(request.value)
            if not found and request.ballot >= row.promised:
                return ValueMissing(self.lookup.held(request.value))
            row, reply = acceptor.accept(row, request.ballot, value)
            if row is not None:
                await self.storage.keep({request.key: row})
                if isinstance(request.value, ValueReference):
                    self.lookup.store.drop(request.value)
            return replace(reply, lives=self.storage.lives())

    async def _store_chunk(self, request):
        return ChunkStored(self.lookup.take(request.chunk))

    async def _fetch_chunk(self, request):
        return ChunkFetched(self.lookup.chunk(request.value, request.start, request.size))

    def _shown(self, key, known):
        """A row as a read is told of it, without a value that whoever asks has."""
        row = acceptor.shown(self.storage.rows.get(key))
        value = None if row.accepted == known else self.lookup.carried(key)
        return RowView(row.accepted, value, row.sure)

    async def _read(self, request):
        row = self._shown(request.key, request.known)
        return self._fenced(request.epoch) or ReadReply(row, self.storage.lives())

    async def _survey(self, request):
        if fenced := self._fenced(request.epoch):
            return fenced
        rows = {key: self._shown(key, request.known.get(key)) for key in self.storage.registers()}
        return ReadAllReply(rows, self.storage.lives())

    async def _pull(self, request):
        if request.seal:
            await self.epochs.follow(request.seal)
        async with self.epochs.lock:  # what is being written belongs to what is told
            await self.storage.note_life(request.ip, request.life)
            rows = {}
            for key, row in self.storage.registers().items():
                if request.bare and key != membership_rules.SUCCESSOR_KEY:
                    continue
                left_out = request.known.get(key) == row.accepted
                value = (
                    InlineValue(row.value)
                    if key == membership_rules.SUCCESSOR_KEY
                    else self.lookup.carried(key)
                )
                rows[key] = row._replace(value=None if left_out else value)  # the rules look at who follows
            return TransferStateReply(rows, self.storage.lives(), self.epochs.here)
