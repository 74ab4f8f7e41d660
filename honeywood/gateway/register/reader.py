"""Reads the values that a majority of the members' disks has accepted, without a ballot if possible."""

from __future__ import annotations

from honeywood.gateway.register import membership_rules
from honeywood.gateway.register.agreement import find_agreed_view
from honeywood.gateway.register.errors import QuorumUnavailable, ValueUnavailable
from honeywood.gateway.register.incarnations import current_replies
from honeywood.gateway.register.membership_configuration import MembershipConfiguration
from honeywood.gateway.register.replies import ReadAllReply, ReadReply, RowView
from honeywood.gateway.register.requests import Read, ReadAll
from honeywood.gateway.register.row import EMPTY_ROW, NO_BALLOT

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Callable, Mapping
    from typing import TypeVar

    from honeywood.gateway.register.json_value import JsonValue
    from honeywood.gateway.register.membership_state import MembershipState
    from honeywood.gateway.register.peer_client import PeerClient
    from honeywood.gateway.register.persistent_state import PersistentState
    from honeywood.gateway.register.proposer import Proposer
    from honeywood.gateway.register.replies import Reply
    from honeywood.gateway.register.row import Ballot
    from honeywood.gateway.register.value_transfer import ValueTransfer

    R = TypeVar("R", ReadReply, ReadAllReply)

EMPTY_VIEW = RowView(NO_BALLOT, None, True)
"""The view of a key for which a disk has no row."""


class Reader:
    """The reader of this controller; if no majority agrees on a key, a ballot decides."""

    def __init__(
        self,
        membership: MembershipState,
        state: PersistentState,
        peers: PeerClient,
        proposer: Proposer,
        transfer: ValueTransfer,
    ) -> None:
        """`transfer` fetches the values that this disk doesn't have."""
        self._membership, self._state, self._peers = membership, state, peers
        self._proposer, self._transfer = proposer, transfer

    async def read(self, key: str) -> JsonValue:
        """Return the value, or None, that a majority had accepted at some moment after the call began.

        Raises RegisterUnavailable.
        """
        configuration = self._membership.configuration
        local = self._state.registers.get(key, EMPTY_ROW)
        request = Read(key, local.accepted, configuration.epoch)
        replies = await self._replies_of_majority(configuration, request, ReadReply)
        views = {ip: reply.row for ip, reply in replies.items()}
        view = find_agreed_view(views.values(), membership_rules.majority(configuration))
        if view is None:
            return await self._proposer.change(key, _identity)
        if view.accepted == local.accepted:
            return local.value
        return await self._value(view, views)

    async def read_all(self) -> dict[str, JsonValue]:
        """Return the values that a majority has accepted, by key.

        A large value that was not transferred here in time is omitted. Raises RegisterUnavailable, or
        DiskRefused if the next configuration was read and can't be stored.
        """
        configuration, known = self._membership.configuration, self._state.accepted_ballots()
        majority = membership_rules.majority(configuration)

        def is_decided(replies: Mapping[str, ReadAllReply]) -> bool:
            """Return whether no key needs a ballot: a majority agrees on each, even if a disk is behind."""
            keys = {key for reply in replies.values() for key in reply.rows}
            return all(find_agreed_view(_views(replies, key).values(), majority) for key in keys)

        request = ReadAll(known, configuration.epoch)
        replies = await self._replies_of_majority(configuration, request, ReadAllReply, is_decided)
        values = {}
        for key in {key for reply in replies.values() for key in reply.rows}:
            try:
                values[key] = await self._decided_value(key, _views(replies, key), known.get(key), majority)
            except ValueUnavailable:
                continue
        successor = values.pop(membership_rules.SUCCESSOR_KEY, None)
        if successor:
            await self._membership.adopt(MembershipConfiguration.from_stored(successor))
        return values

    async def _decided_value(
        self, key: str, views: Mapping[str, RowView], known: Ballot | None, majority: int
    ) -> JsonValue:
        """Return the value on which a majority agrees, or the one that a new ballot decides."""
        view, local = find_agreed_view(views.values(), majority), self._state.registers.get(key, EMPTY_ROW)
        if view is not None and view.accepted != known:
            return await self._value(view, views)
        if view is not None and local.accepted == known:
            return local.value
        return await self._proposer.change(key, _identity)

    async def _value(self, view: RowView, views: Mapping[str, RowView]) -> JsonValue:
        sources = [ip for ip, candidate in views.items() if candidate.accepted == view.accepted]
        return await self._transfer.resolve(view.value, sources)

    async def _replies_of_majority(
        self,
        configuration: MembershipConfiguration,
        request: Read | ReadAll,
        reply_type: type[R],
        is_enough: Callable[[Mapping[str, R]], bool] = lambda replies: True,
    ) -> dict[str, R]:
        """Return the replies of at least a majority of the members, by address; raise QuorumUnavailable.

        Waits for the replies of further members as long as `is_enough` returns False.
        """
        replies: dict[str, R] = {}
        majority = membership_rules.majority(configuration)

        def on_reply(ip: str, reply: Reply) -> bool:
            if isinstance(reply, reply_type):
                replies[ip] = reply
            current = current_replies(replies)
            return len(current) >= majority and is_enough(current)

        await self._peers.call_all(configuration.members, request, on_reply)
        current = current_replies(replies)
        if len(current) < majority:
            raise QuorumUnavailable
        return current


def _identity(value: JsonValue) -> JsonValue:
    return value


def _views(replies: Mapping[str, ReadAllReply], key: str) -> dict[str, RowView]:
    return {ip: reply.rows.get(key, EMPTY_VIEW) for ip, reply in replies.items()}
