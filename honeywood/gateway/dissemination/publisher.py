"""Answers the polls of other programs.

A poll is held until the store changes, or for a limited time. Changes are therefore sent on at once, and each
response shows that the publisher is alive.

Every response is short enough for the links that it crosses. The remaining changes are sent with the next
poll, which continues where the response ended: at the same peer or, for large records, at any peer.
"""

from __future__ import annotations

import asyncio
from collections import Counter

from honeywood.gateway.dissemination.change_feed import ChangeFeed
from honeywood.gateway.dissemination.keys import RecordKind, kind_of
from honeywood.gateway.dissemination.link_pacer import LinkPacer, response_limit
from honeywood.gateway.dissemination.messages import PollResponse
from honeywood.gateway.dissemination.poll_waiters import PollWaiters
from honeywood.gateway.dissemination.store import Store, ignore_update, retain_nothing

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Callable

    from honeywood.gateway.dissemination.chunks import Chunk
    from honeywood.gateway.dissemination.messages import PollRequest, Requester
    from honeywood.gateway.dissemination.record import JsonValue, Record

MAX_HOLD_S = 1.0  # longest time for which a poll is held without a change
COALESCE_S = 0.02  # wait after a change for other changes that follow at once
# Records that wake no held poll.
NON_WAKING_PREFIXES = (RecordKind.HEARTBEAT.prefix, RecordKind.TOMBSTONES.prefix)
# Records that wake only controllers, after these seconds, to send further changes together with them.
WAKE_DELAYS_S = {RecordKind.PROXY_COUNTS.prefix: 0.2, RecordKind.PROXY_LOCATION.prefix: 0.1}
UNPACED_BYTES = 2048  # largest response that is not paced
MAX_LINK_WAIT_S = 0.25  # longest wait of a response for the link; a poll that would wait longer is deferred
DEFAULT_LINK_BYTES_PER_S = 125e6  # if the settings specify no link speed
# Counted beside the kinds of records, under the names that logs have always used.
POLL_DEFERRED = "sent away"
REQUESTER_LEFT = "asker left"


def ignore_request(requester: Requester, revision: int) -> None:
    """Does nothing; the default of `on_request`."""


def never() -> bool:
    """Returns False; the default of `has_left`, for requesters whose connection is not observed."""
    return False


class Publisher:
    """Answers polls from its store; `sent_bytes` counts the bytes of responses by kind of record."""

    def __init__(
        self,
        incarnation: str,
        on_update: Callable[[str, JsonValue], None] = ignore_update,
        on_request: Callable[[Requester, int], None] = ignore_request,
        link_bytes_per_s: float = DEFAULT_LINK_BYTES_PER_S,
        is_retained: Callable[[Store, str, JsonValue], bool] = retain_nothing,
    ) -> None:
        """Initially the store is empty.

        `on_update(key, value)` is called for each record that the store accepts. `on_request(requester,
        revision)` is called for each poll, with the revision up to which the requester has all changes.
        `is_retained` is passed on to the store.
        """
        self.store = Store(incarnation, self._record_changed, is_retained)
        self.feed = ChangeFeed(self.store)
        self.waiters = PollWaiters()
        self.pacer = LinkPacer(link_bytes_per_s)
        self.max_response_bytes = response_limit(link_bytes_per_s)
        self.sent_bytes: Counter[str] = Counter()
        self._on_update = on_update
        self._on_request = on_request

    def _record_changed(self, key: str, value: JsonValue) -> None:
        self._on_update(key, value)
        if key.startswith(NON_WAKING_PREFIXES):
            return
        delay_s = next((delay_s for prefix, delay_s in WAKE_DELAYS_S.items() if key.startswith(prefix)), None)
        if delay_s is None:
            self.waiters.wake_all()
        else:
            self.waiters.wake_controllers_within(delay_s)

    async def serve(self, poll: PollRequest, has_left: Callable[[], bool] = never) -> PollResponse:
        """Returns the response to a poll.

        `has_left` returns whether the requester has disconnected; nothing is then scheduled on the link.
        """
        revision = poll.revision if poll.incarnation == self.store.incarnation else 0
        self.store.observe_epoch(poll.requester.epoch)
        self._on_request(poll.requester, revision)
        self.store.merge(poll.records)
        if not poll.requester.is_controller and poll.digest == self.store.digest:
            revision = self.store.revision  # the requester has the same records from other peers
        changes = await self._wait_for_changes(revision, poll)
        if has_left():
            self.sent_bytes[REQUESTER_LEFT] += 1
            return PollResponse(self.store.incarnation, revision)
        return await self._respond(changes, revision, poll)

    async def _wait_for_changes(self, revision: int, poll: PollRequest) -> list[Record]:
        """Returns the changes since `revision` once there are any, or none after the hold time."""
        loop, is_controller = asyncio.get_running_loop(), poll.requester.is_controller
        until = loop.time() + min(MAX_HOLD_S, poll.hold_s)
        while True:
            changes = self.feed.since(self.store.incarnation, revision, is_controller, poll.known_stamps)
            remaining_s = until - loop.time()
            if changes or remaining_s <= 0:
                return changes  # looked up after the wait, since some records wake no poll
            if await self.waiters.wait(remaining_s, is_controller):
                await asyncio.sleep(COALESCE_S)

    async def _respond(self, changes: list[Record], revision: int, poll: PollRequest) -> PollResponse:
        """Returns the response with the changes that fit, once the link is free for it."""
        max_bytes = min(self.max_response_bytes, poll.max_bytes or self.max_response_bytes)
        batch = self.feed.batch(changes, max_bytes, poll.progress, poll.bases, poll.known_stamps)
        sizes = self._sizes(batch.records, batch.chunk)
        retry_after_s = await self._wait_for_link(sum(size for _, size in sizes), poll)
        if retry_after_s is not None:
            return self._defer(changes, revision, poll, retry_after_s)
        self._count_sent(sizes)
        has_more = batch.chunk is not None or len(batch.records) < len(changes)
        return PollResponse(self.store.incarnation, batch.revision, batch.records, batch.chunk, has_more)

    def _defer(
        self, changes: list[Record], revision: int, poll: PollRequest, retry_after_s: float
    ) -> PollResponse:
        """Returns a response with those changes only that are sent without a turn on the link.

        A program that has no large record yet gets all changes in their order, when it has its turn.
        """
        if not poll.known_stamps:
            return PollResponse(self.store.incarnation, revision, retry_after_s=retry_after_s)
        batch = self.feed.batch(changes, UNPACED_BYTES, poll.progress, poll.bases, poll.known_stamps)
        chunk = batch.chunk if batch.chunk and batch.chunk.content.is_complete else None
        self._count_sent(self._sizes(batch.records, chunk))
        return PollResponse(
            self.store.incarnation, batch.revision, batch.records, chunk, retry_after_s=retry_after_s
        )

    def _sizes(self, records: list[Record], chunk: Chunk | None) -> list[tuple[str, int]]:
        """Returns the keys of what a response contains, with the sizes in bytes."""
        sizes = [(record.key, self.feed.encoded_size(record.key)) for record in records]
        return [*sizes, (chunk.key, len(chunk.content.text))] if chunk else sizes

    def _count_sent(self, sizes: list[tuple[str, int]]) -> None:
        for key, size in sizes:
            self.sent_bytes[kind_of(key)] += size

    async def _wait_for_link(self, size: int, poll: PollRequest) -> float | None:
        """Waits until a response may be sent, then returns None.

        If the wait would be too long, it returns at once the seconds after which the requester should poll
        again for the rest.
        """
        if size <= UNPACED_BYTES:
            return None
        now, is_controller = asyncio.get_running_loop().time(), poll.requester.is_controller
        backlog_s = self.pacer.backlog_s(now)
        if not is_controller and backlog_s > MAX_LINK_WAIT_S:
            self.sent_bytes[POLL_DEFERRED] += 1
            return backlog_s
        wait_s = self.pacer.schedule(now, size)
        await asyncio.sleep(self._link_wait_s(wait_s, is_controller))
        return None

    @staticmethod
    def _link_wait_s(wait_s: float, is_controller: bool) -> float:
        """Returns the seconds that a response waits; controllers are few, and do not wait behind proxies."""
        return 0.0 if is_controller else wait_s
