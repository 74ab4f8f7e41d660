"""The possible steps of writers in the register's model, by the program's acceptor and proposal."""

from __future__ import annotations

from collections.abc import Callable, Iterator, Sequence
from dataclasses import replace
from typing import TYPE_CHECKING

from honeywood.gateway.register import acceptor, membership_rules
from honeywood.gateway.register.proposal import Proposal
from honeywood.gateway.register.replies import Accepted, BallotConflict, Promise
from honeywood.gateway.register.row import Ballot, Row
from honeywood.lab.model.incarnation_table import address_of
from honeywood.lab.model.membership_chain import MembershipChain
from honeywood.lab.model.search import Step
from honeywood.lab.model.state import (
    Delivery,
    DiskState,
    SystemState,
    Writer,
    WriteReply,
    WriterPhase,
    from_carried,
    replace_item,
    to_carried,
)

if TYPE_CHECKING:
    from honeywood.gateway.register.json_value import JsonValue


class WriterSteps:
    """The steps of all writers."""

    def __init__(
        self,
        chain: MembershipChain,
        updates: Sequence[Callable[[JsonValue], JsonValue]],
        replies_before_sync: bool,
    ) -> None:
        """Set the writers' updates.

        `updates` holds one function per writer, which maps the stored value to the new one.
        `replies_before_sync` injects a fault for tests: a disk replies before its row is durable.
        """
        self._chain = chain
        self._updates = updates
        self._replies_before_sync = replies_before_sync

    def first_requests(self, epoch: int, ballot: Ballot, retries: int) -> Writer:
        """Return a writer whose prepare requests are in flight."""
        writer = Writer(WriterPhase.PREPARE, epoch, ballot, remaining_retries=retries)
        return self._send_to_all(writer)

    def _send_to_all(self, writer: Writer) -> Writer:
        count = len(self._chain.disks)
        return replace(writer, deliveries=(Delivery.REQUEST_IN_FLIGHT,) * count, replies=(None,) * count)

    def steps(self, state: SystemState) -> Iterator[Step[SystemState]]:
        """Yield each possible step of a writer."""
        for index, writer in enumerate(state.writers):
            if writer.phase is WriterPhase.ACKNOWLEDGED:
                continue
            for disk in self._chain.members(writer.epoch):
                delivery = writer.deliveries[disk]
                if delivery is Delivery.REQUEST_IN_FLIGHT and self._is_served(state, disk, writer):
                    yield Step(f"{writer.phase} of {index} at {disk}", self._deliver(state, index, disk))
                elif delivery is Delivery.REPLY_IN_FLIGHT:
                    yield Step(f"reply of {disk} to {index}", self._receive(state, index, disk))
            if writer.remaining_retries:
                yield Step(f"{index} retries", self._retry(state, index))

    def _is_served(self, state: SystemState, index: int, writer: Writer) -> bool:
        disk = state.disks[index]
        if not disk.intact:
            return False
        configuration = self._chain.configuration(disk.epoch, disk.sealed)
        return membership_rules.accepts_epoch(configuration, address_of(index), writer.epoch)

    def _deliver(self, state: SystemState, writer_index: int, disk_index: int) -> SystemState:
        writer = state.writers[writer_index]
        disk = state.disks[disk_index]
        row = _handle(writer, disk.row)
        if not isinstance(row, BallotConflict):
            disk = replace(disk, row=row, synced_row=disk.synced_row if self._replies_before_sync else row)
        reply = _reply_with(writer, disk, disk_index, row)
        deliveries = replace_item(writer.deliveries, disk_index, Delivery.REPLY_IN_FLIGHT)
        replies = replace_item(writer.replies, disk_index, reply)
        writer = replace(writer, deliveries=deliveries, replies=replies)
        return state.with_disk(disk_index, disk).with_writer(writer_index, writer)

    def _receive(self, state: SystemState, writer_index: int, disk_index: int) -> SystemState:
        writer = state.writers[writer_index]
        proposal = Proposal(writer.ballot, self._chain.majority(writer.epoch))
        for disk in self._chain.disks:
            if writer.deliveries[disk] is Delivery.REPLY_RECEIVED:
                _on_reply(proposal, writer, disk)
        has_majority = _on_reply(proposal, writer, disk_index)
        deliveries = replace_item(writer.deliveries, disk_index, Delivery.REPLY_RECEIVED)
        writer = replace(writer, deliveries=deliveries)
        if has_majority:
            writer = self._next_phase(writer_index, writer, proposal)
        return state.with_writer(writer_index, writer)

    def _next_phase(self, index: int, writer: Writer, proposal: Proposal) -> Writer:
        if writer.phase is WriterPhase.ACCEPT:
            return Writer(WriterPhase.ACKNOWLEDGED, writer.epoch, writer.ballot, writer.value)
        value = self._updates[index](from_carried(proposal.latest_promise.value))
        return self._send_to_all(replace(writer, phase=WriterPhase.ACCEPT, value=value))

    def _retry(self, state: SystemState, index: int) -> SystemState:
        writer = state.writers[index]
        conflicts = [reply.promised for reply in writer.replies if isinstance(reply, BallotConflict)]
        highest = max([writer.ballot.counter, *(ballot.counter for ballot in conflicts)])
        ballot = Ballot(highest + 1, writer.ballot.proposer)
        retried = self.first_requests(state.agreed_epoch, ballot, writer.remaining_retries - 1)
        return state.with_writer(index, retried)


def _handle(writer: Writer, row: Row) -> Row | BallotConflict:
    """Return the result of the writer's request at a disk with `row`: the new row or a conflict."""
    if writer.phase is WriterPhase.PREPARE:
        return acceptor.prepare(row, writer.ballot)
    return acceptor.accept(row, writer.ballot, writer.value)


def _reply_with(writer: Writer, disk: DiskState, index: int, row: Row | BallotConflict) -> WriteReply:
    incarnations = disk.reported_incarnations(index)
    if isinstance(row, BallotConflict):
        return replace(row, incarnations=incarnations)
    if writer.phase is WriterPhase.PREPARE:
        return Promise(row.accepted, to_carried(row.value), incarnations)
    return Accepted(incarnations)


def _on_reply(proposal: Proposal, writer: Writer, disk: int) -> bool:
    """Pass a disk's reply to the proposal; return whether a majority has now agreed."""
    reply = writer.replies[disk]
    if writer.phase is WriterPhase.PREPARE:
        assert isinstance(reply, Promise | BallotConflict)
        return proposal.on_prepare_reply(address_of(disk), reply)
    assert isinstance(reply, Accepted | BallotConflict)
    return proposal.on_accept_reply(address_of(disk), reply)
