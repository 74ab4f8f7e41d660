"""The possible steps of the reader in the register's model, by the program's agreement rules."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import replace
from typing import TYPE_CHECKING

from honeywood.gateway.register import acceptor, membership_rules
from honeywood.gateway.register.agreement import find_agreed_view
from honeywood.gateway.register.incarnations import current_replies
from honeywood.gateway.register.replies import ReadReply, RowView
from honeywood.lab.model.incarnation_table import address_of
from honeywood.lab.model.membership_chain import MembershipChain
from honeywood.lab.model.search import Step
from honeywood.lab.model.state import (
    DiskState,
    Read,
    SentReadReply,
    SystemState,
    from_carried,
    to_carried,
)

if TYPE_CHECKING:
    from honeywood.gateway.register.json_value import JsonValue


class ReaderSteps:
    """The steps of the single reader, which queries the disks one after another."""

    def __init__(
        self,
        chain: MembershipChain,
        misses: Callable[[JsonValue, JsonValue], bool],
        acknowledged: Callable[[SystemState], tuple[JsonValue, ...]],
    ) -> None:
        """`misses(read, acknowledged)` returns whether a value that was read lacks an acknowledged one."""
        self._chain = chain
        self._misses = misses
        self._acknowledged = acknowledged

    def steps(self, state: SystemState) -> Iterator[Step[SystemState]]:
        """Yield a step for each disk that may reply to the reader next."""
        if not state.remaining_reads:
            return
        for index in self._chain.disks:
            disk = state.disks[index]
            read = state.read or Read(disk.epoch, self._acknowledged(state))
            if not disk.intact or any(index == sent.sender for sent in read.replies):
                continue
            configuration = self._chain.configuration(disk.epoch, disk.sealed)
            if not membership_rules.accepts_epoch(configuration, address_of(index), read.epoch):
                continue
            successor = self._receive(state, read, index, membership_rules.majority(configuration))
            if successor is not None:
                yield Step(f"{index} replies to the reader", successor)

    def _receive(self, state: SystemState, read: Read, index: int, majority: int) -> SystemState | None:
        """Return the state after the disk's reply; None if only a ballot could decide the read."""
        sent = SentReadReply(index, _read_reply(state.disks[index], index))
        replies = tuple(sorted((*read.replies, sent), key=lambda reply: reply.sender))
        current = current_replies({address_of(sender): reply for sender, reply in replies})
        if len(current) < majority:
            return replace(state, read=replace(read, replies=replies))
        agreed = find_agreed_view([reply.row for reply in current.values()], majority)
        if agreed is None:
            return None
        return self._finish(state, read, from_carried(agreed.value))

    def _finish(self, state: SystemState, read: Read, value: JsonValue) -> SystemState:
        return replace(
            state,
            remaining_reads=state.remaining_reads - 1,
            read=None,
            read_values=state.read_values if value is None else (*state.read_values, value),
            has_stale_read=any(self._misses(value, known) for known in read.acknowledged),
        )


def _read_reply(disk: DiskState, index: int) -> ReadReply:
    row = disk.row
    view = RowView(row.accepted, to_carried(row.value), acceptor.counts_as_accepted(row))
    return ReadReply(view, disk.reported_incarnations(index))
