"""Serves the register's requests from this controller's disk, by the rules of the acceptor."""

from __future__ import annotations

import asyncio

from honeywood.gateway.register import acceptor, membership_rules
from honeywood.gateway.register.errors import DiskLost, DiskStalled
from honeywood.gateway.register.message_fields import PATH
from honeywood.gateway.register.peer_client import REQUEST_TIMEOUT_S
from honeywood.gateway.register.replies import (
    Accepted,
    Acknowledged,
    BallotConflict,
    ChunkFetched,
    ChunkStored,
    Fenced,
    Promise,
    ReadAllReply,
    ReadReply,
    RowView,
    TransferredRow,
    TransferStateReply,
    ValueMissing,
)
from honeywood.gateway.register.requests import (
    Accept,
    AnnounceConfiguration,
    FetchChunk,
    Prepare,
    Read,
    ReadAll,
    StoreChunk,
    TransferState,
)
from honeywood.gateway.register.row import EMPTY_ROW, Row
from honeywood.gateway.register.state_update import StateUpdate
from honeywood.gateway.register.values import InlineValue, ValueReference

TYPE_CHECKING = False
if TYPE_CHECKING:
    from honeywood.gateway.register.membership_state import MembershipState
    from honeywood.gateway.register.persistent_state import PersistentState
    from honeywood.gateway.register.replies import Reply
    from honeywood.gateway.register.requests import Request
    from honeywood.gateway.register.row import Ballot
    from honeywood.gateway.register.value_lookup import ValueLookup
    from honeywood.gateway.register.values import CarriedValue

WRITING_REQUESTS = (Prepare, Accept, TransferState)
"""The requests that write to the disk before they are replied to."""


class AcceptorService:
    """Replies to requests from the state of this disk only."""

    def __init__(self, state: PersistentState, membership: MembershipState, lookup: ValueLookup) -> None:
        """Serve `state`; all requests but announcements are refused until the disk is intact."""
        self._state, self._membership, self._lookup = state, membership, lookup
        self.waiting_since: dict[object, float] = {}  # when each pending write request began, oldest first

    async def serve(self, request: Request, peer: str) -> Reply:
        """Return the reply to a request of `peer`.

        Raises DiskUnavailable. Requests do not queue behind a disk that hangs: a request that needs the disk
        is refused at once while an earlier one has been waiting for longer than the timeout of its sender.
        """
        if not isinstance(request, WRITING_REQUESTS):
            return await self._serve(request, peer)
        now, waiter = asyncio.get_running_loop().time(), object()
        oldest = next(iter(self.waiting_since.values()), now)
        if now - oldest > REQUEST_TIMEOUT_S:
            raise DiskStalled(PATH, "the disk hangs", peer)
        self.waiting_since[waiter] = now
        try:
            return await self._serve(request, peer)
        finally:
            del self.waiting_since[waiter]

    async def _serve(self, request: Request, peer: str) -> Reply:
        if isinstance(request, AnnounceConfiguration):
            return await self._announce_configuration(request)
        if not self._membership.intact:
            raise DiskLost(PATH, "this disk was lost and is not rebuilt", peer)
        match request:
            case Prepare():
                return await self._prepare(request)
            case Accept():
                return await self._accept(request)
            case StoreChunk():
                return ChunkStored(self._lookup.add_chunk(request.chunk))
            case FetchChunk():
                return ChunkFetched(self._lookup.chunk(request.value, request.start, request.size))
            case Read():
                return self._read(request)
            case ReadAll():
                return self._read_all(request)
            case TransferState():
                return await self._transfer_state(request)

    async def _announce_configuration(self, request: AnnounceConfiguration) -> Acknowledged:
        await self._membership.adopt(request.configuration)
        return Acknowledged()

    def _fence(self, epoch: int) -> Fenced | None:
        """Return the reply to a request whose epoch is over or not this disk's epoch, else None."""
        if self._membership.accepts_epoch(epoch):
            return None
        return Fenced(self._membership.newest.without_successor())

    async def _prepare(self, request: Prepare) -> Promise | BallotConflict | Fenced:
        async with self._membership.lock:
            if fenced := self._fence(request.epoch):
                return fenced
            row = acceptor.prepare(self._state.registers.get(request.key), request.ballot)
            if isinstance(row, BallotConflict):
                return self._with_incarnations(row)
            await self._state.write(StateUpdate(registers={request.key: row}))
            value = self._lookup.carried(request.key)
            return Promise(row.accepted, value, self._state.incarnations())

    async def _accept(self, request: Accept) -> Accepted | BallotConflict | ValueMissing | Fenced:
        async with self._membership.lock:
            if fenced := self._fence(request.epoch):
                return fenced
            stored = self._state.registers.get(request.key, EMPTY_ROW)
            complete = self._lookup.find(request.value)
            if complete is None and request.ballot >= stored.promised:
                return self._value_missing(request.value)
            row = acceptor.accept(stored, request.ballot, complete and complete.value)
            if isinstance(row, BallotConflict):
                return self._with_incarnations(row)
            await self._state.write(StateUpdate(registers={request.key: row}))
            if isinstance(request.value, ValueReference):
                self._lookup.store.remove(request.value)
            return Accepted(self._state.incarnations())

    def _value_missing(self, value: CarriedValue) -> ValueMissing:
        assert isinstance(value, ValueReference), "only a referenced value can be missing"
        return ValueMissing(self._lookup.expect_push(value))

    def _with_incarnations(self, conflict: BallotConflict) -> BallotConflict:
        return BallotConflict(conflict.promised, self._state.incarnations())

    def _view(self, key: str, known: Ballot | None) -> RowView:
        """Return the view of a row, without its value if that was accepted under the ballot `known`."""
        row = self._state.registers.get(key, EMPTY_ROW)
        value = None if row.accepted == known else self._lookup.carried(key)
        return RowView(row.accepted, value, acceptor.counts_as_accepted(row))

    def _read(self, request: Read) -> ReadReply | Fenced:
        if fenced := self._fence(request.epoch):
            return fenced
        return ReadReply(self._view(request.key, request.known), self._state.incarnations())

    def _read_all(self, request: ReadAll) -> ReadAllReply | Fenced:
        if fenced := self._fence(request.epoch):
            return fenced
        rows = {key: self._view(key, request.known.get(key)) for key in self._state.registers}
        return ReadAllReply(rows, self._state.incarnations())

    async def _transfer_state(self, request: TransferState) -> TransferStateReply:
        if request.seal is not None:
            await self._membership.adopt(request.seal)
        async with self._membership.lock:  # the reply must include a write that is in progress
            await self._state.record_incarnation(request.ip, request.incarnation)
            rows = {
                key: self._transferred(key, row, request.known.get(key))
                for key, row in self._state.registers.items()
                if key == membership_rules.SUCCESSOR_KEY or not request.successor_only
            }
            return TransferStateReply(rows, self._state.incarnations(), self._membership.configuration)

    def _transferred(self, key: str, row: Row, known: Ballot | None) -> TransferredRow:
        """Return a row to transfer, without its value if that was accepted under the ballot `known`.

        The successor is always inline, since the membership rules read it to decide about the other rows.
        """
        value: CarriedValue = None
        if row.accepted != known:
            is_successor = key == membership_rules.SUCCESSOR_KEY
            value = InlineValue(row.value) if is_successor else self._lookup.carried(key)
        return TransferredRow(row.promised, row.accepted, value)
