"""Carries large values to and from other disks, in checked parts, each value once to each peer.

A transfer goes on though whoever began it waits no longer: what was carried stays at the receiver, and the
next round of the same value goes on from there. At most one part is on its way between this disk and a peer,
so steps of other keys never wait behind more than one.
"""

import asyncio
from collections import defaultdict

from honeywood.gateway.register.requests import FetchChunk, StoreChunk
from honeywood.gateway.register.values import MAX_CHUNK_CHARACTERS, ValueChunk

SMALLEST_CHUNK = 1 << 12  # characters; 30,000 B/s carry it in 140 ms
FIRST_CHUNK = (
    1 << 14
)  # characters of the first part to a peer; 30,000 B/s carry it in 0.55 s, less than a step has
QUICK_S, SLOW_S = 0.1, 0.25  # a part that took less is followed by one of twice the size, above by half of it
POLL_S = 0.05  # seconds between looks at a value that a peer hands over
TRIES = 3  # parts in a row that bring nothing, after which a transfer is given up
TRANSFER_S = 60.0  # seconds after which a transfer is given up however it goes on


class ChunkSize:
    """How large the next part between this disk and a peer is. Pure."""

    def __init__(self):
        self.size = FIRST_CHUNK

    def took(self, seconds, arrived):
        """Learns how long a part took."""
        if not arrived or seconds > SLOW_S:
            self.size = max(SMALLEST_CHUNK, self.size // 2)
        elif seconds < QUICK_S:
            self.size = min(MAX_CHUNK_CHARACTERS, self.size * 2)


class ValueTransfer:
    """The transfers of one disk, which `lookup` takes in. `call(ip, request)` asks a peer."""

    def __init__(self, lookup, call):
        self.lookup, self.store, self.call = lookup, lookup.store, call
        self.running, self.wanted = {}, {}
        self.turns, self.sizes = defaultdict(asyncio.Lock), defaultdict(ChunkSize)

    async def push(self, ip, key, reference, text, held):
        """Brings a value of `key` to a peer that has the first `held` characters of it; whether it is there
        whole. A value that another one of its key follows is not carried on."""
        self.wanted[ip, key] = reference.digest
        return await self._once((ip, reference.digest), lambda: self._push(ip, key, reference, text, held))

    async def fetch(self, reference, ips, within):
        """Brings a value from any of `ips` into the store; whether it is whole after so many seconds."""
        work = self._once(reference.digest, lambda: self._fetch(reference, list(ips)))
        try:
            async with asyncio.timeout(within):
                return await work
        except TimeoutError:
            return False

    async def _once(self, name, begin):
        """Waits for the transfer of that name, which is begun if there is none; it goes on without us."""
        task = self.running.get(name)
        if task is None:
            task = self.running[name] = asyncio.ensure_future(begin())
            task.add_done_callback(lambda _: self.running.pop(name, None))
        return await asyncio.shield(task)

    async def _part(self, ip, request_of):
        """One part's call, made for its size when it is its turn."""
        loop = asyncio.get_running_loop()
        async with self.turns[ip]:
            began = loop.time()
            reply = await self.call(ip, request_of(self.sizes[ip].size))
            self.sizes[ip].took(loop.time() - began, reply.ok)
        return reply

    async def _push(self, ip, key, reference, text, held):
        loop, failed = asyncio.get_running_loop(), 0
        until = loop.time() + TRANSFER_S
        while held < reference.length and failed < TRIES and loop.time() < until:
            if self.wanted.get((ip, key)) != reference.digest:
                return False
            reply = await self._part(
                ip, lambda size, held=held: StoreChunk(ValueChunk.from_text(reference, text, held, size))
            )
            after = reply.value.received_characters if reply.ok else held
            failed = 0 if after > held else failed + 1
            held = min(after, reference.length)
        return held >= reference.length

    async def _fetch(self, reference, ips):
        loop, failed, held = asyncio.get_running_loop(), 0, 0
        until = loop.time() + TRANSFER_S
        while failed < TRIES * len(ips) and loop.time() < until:
            if self.lookup.has(reference):
                return True
            if self.store.is_push_expected(loop.time(), reference):
                await asyncio.sleep(POLL_S)
                continue
            held = self.store.received_characters(loop.time(), reference)
            ip = ips[failed % len(ips)]
            reply = await self._part(ip, lambda size, held=held: FetchChunk(reference, held, size))
            chunk = reply.value.chunk if reply.ok else None
            if chunk is not None and chunk.reference == reference:
                self.store.add_chunk(loop.time(), chunk)
            failed = 0 if self.store.received_characters(loop.time(), reference) > held else failed + 1
        return self.lookup.has(reference)
