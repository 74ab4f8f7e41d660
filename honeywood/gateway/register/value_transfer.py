"""Transfers large values to and from other disks in checksummed chunks, each value once per peer.

A transfer continues after its caller has stopped waiting: the received chunks stay at the receiver, and the
next ballot with the same value resumes there. At most one chunk is in flight between this disk and a peer, so
that requests for other keys never wait behind more than one chunk.
"""

from __future__ import annotations

import asyncio
from collections import defaultdict

from honeywood.gateway.errors import GatewayError
from honeywood.gateway.register.chunk_size import ChunkSize
from honeywood.gateway.register.errors import ValueUnavailable
from honeywood.gateway.register.replies import ChunkFetched, ChunkStored
from honeywood.gateway.register.requests import FetchChunk, StoreChunk
from honeywood.gateway.register.values import ValueChunk, ValueReference

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Hashable, Sequence

    from honeywood.gateway.register.json_value import JsonValue
    from honeywood.gateway.register.replies import Reply
    from honeywood.gateway.register.requests import Request
    from honeywood.gateway.register.value_lookup import ValueLookup
    from honeywood.gateway.register.values import CarriedValue

VALUE_TIMEOUT_S = 3.0
"""How long a caller waits for a large value; the transfer continues after that."""

POLL_INTERVAL_S = 0.05
"""The interval between checks whether a value that a peer is pushing is complete."""

MAX_STALLED_CHUNKS = 3
"""A transfer is abandoned after this many consecutive chunks without progress."""

TRANSFER_TIMEOUT_S = 60.0
"""A transfer is abandoned after this time even if it makes progress."""


class ValueTransfer:
    """The value transfers of one disk. `call(ip, request)` calls a peer and raises GatewayError."""

    def __init__(self, lookup: ValueLookup, call: Callable[[str, Request], Awaitable[Reply]]) -> None:
        """Fetched values are put into the store of `lookup`."""
        self._lookup, self._store, self._call = lookup, lookup.store, call
        self._running: dict[Hashable, asyncio.Task[bool]] = {}
        self._newest_digests: dict[tuple[str, str], str] = {}  # of the newest values, by peer and key
        self._call_locks: defaultdict[str, asyncio.Lock] = defaultdict(asyncio.Lock)
        self._chunk_sizes: defaultdict[str, ChunkSize] = defaultdict(ChunkSize)

    async def resolve(self, carried: CarriedValue, sources: Sequence[str]) -> JsonValue:
        """Return a carried value, fetched from `sources` if necessary; raise ValueUnavailable."""
        complete = self._lookup.find(carried)
        if isinstance(carried, ValueReference) and complete is None:
            has_arrived = await self._fetch_within(carried, sources, VALUE_TIMEOUT_S)
            complete = self._lookup.find(carried) if has_arrived else None
        if complete is None:
            raise ValueUnavailable
        return complete.value

    async def push(self, ip: str, key: str, reference: ValueReference, text: str, received: int) -> bool:
        """Send a value of `key` to a peer that has `received` characters of it.

        Returns whether the peer has the complete value then. The transfer ends early if a newer value of the
        key is pushed to the same peer.
        """
        self._newest_digests[ip, key] = reference.digest
        transfer = (ip, reference.digest)
        return await self._run_once(transfer, lambda: self._push(ip, key, reference, text, received))

    async def _fetch_within(self, reference: ValueReference, ips: Sequence[str], timeout_s: float) -> bool:
        """Fetch a value from any of `ips`; return whether it arrived within `timeout_s`."""
        try:
            async with asyncio.timeout(timeout_s):
                return await self._run_once(reference.digest, lambda: self._fetch(reference, list(ips)))
        except TimeoutError:
            return False

    async def _run_once(self, name: Hashable, start: Callable[[], Awaitable[bool]]) -> bool:
        """Wait for the transfer called `name`, starting it if none is running; it may outlive the caller."""
        task = self._running.get(name)
        if task is None:
            task = self._running[name] = asyncio.ensure_future(start())
            task.add_done_callback(lambda _: self._running.pop(name, None))
        return await asyncio.shield(task)

    async def _call_serialized(self, ip: str, make_request: Callable[[int], Request]) -> Reply:
        """Call a peer once no other chunk is in flight, with the request that fits the chunk size then."""
        loop = asyncio.get_running_loop()
        async with self._call_locks[ip]:
            size, started_at = self._chunk_sizes[ip], loop.time()
            try:
                reply = await self._call(ip, make_request(size.characters))
            except GatewayError:
                size.record(loop.time() - started_at, arrived=False)
                raise
            size.record(loop.time() - started_at, arrived=True)
        return reply

    async def _push(self, ip: str, key: str, reference: ValueReference, text: str, received: int) -> bool:
        loop, stalled_chunks = asyncio.get_running_loop(), 0
        deadline = loop.time() + TRANSFER_TIMEOUT_S
        while received < reference.length and stalled_chunks < MAX_STALLED_CHUNKS and loop.time() < deadline:
            if self._newest_digests.get((ip, key)) != reference.digest:
                return False
            after = await self._push_chunk(ip, reference, text, received)
            stalled_chunks = 0 if after > received else stalled_chunks + 1
            received = min(after, reference.length)
        return received >= reference.length

    async def _push_chunk(self, ip: str, reference: ValueReference, text: str, received: int) -> int:
        """Send the next chunk; return how many characters the peer has then, as far as this disk knows."""

        def make_request(size: int) -> StoreChunk:
            return StoreChunk(ValueChunk.from_text(reference, text, received, size))

        try:
            reply = await self._call_serialized(ip, make_request)
        except GatewayError:
            return received
        return reply.received_characters if isinstance(reply, ChunkStored) else received

    async def _fetch(self, reference: ValueReference, ips: Sequence[str]) -> bool:
        loop, stalled_chunks = asyncio.get_running_loop(), 0
        deadline = loop.time() + TRANSFER_TIMEOUT_S
        while stalled_chunks < MAX_STALLED_CHUNKS * len(ips) and loop.time() < deadline:
            if self._lookup.has(reference):
                return True
            if self._store.is_push_expected(loop.time(), reference):
                await asyncio.sleep(POLL_INTERVAL_S)
                continue
            received = self._store.received_characters(loop.time(), reference)
            await self._fetch_chunk(ips[stalled_chunks % len(ips)], reference, received)
            after = self._store.received_characters(loop.time(), reference)
            stalled_chunks = 0 if after > received else stalled_chunks + 1
        return self._lookup.has(reference)

    async def _fetch_chunk(self, ip: str, reference: ValueReference, received: int) -> None:
        """Request the next chunk from a peer, and store it if it arrives."""
        try:
            reply = await self._call_serialized(ip, lambda size: FetchChunk(reference, received, size))
        except GatewayError:
            return
        chunk = reply.chunk if isinstance(reply, ChunkFetched) else None
        if chunk is not None and chunk.reference == reference:
            self._store.add_chunk(asyncio.get_running_loop().time(), chunk)
