"""Epoch changes and the rebuilding of lost disks in the register's model, by the program's own rules."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import replace
from itertools import combinations

from honeywood.gateway.register import membership_rules
from honeywood.gateway.register.incarnations import next_incarnation
from honeywood.lab.model.incarnation_table import address_of
from honeywood.lab.model.membership_chain import FIRST_EPOCH, MembershipChain
from honeywood.lab.model.search import Step
from honeywood.lab.model.state import DiskState, SystemState, replace_item
from honeywood.lab.model.state_transfer import (
    enter_epoch,
    received_replies,
    transfer_reply,
    transfer_steps,
)

MIN_INCARNATION_REPLIES = 2


class MembershipSteps:
    """The steps by which members agree on a new epoch, disks enter it, and lost disks are rebuilt."""

    def __init__(self, chain: MembershipChain, departures: bool = False) -> None:
        """`chain` holds the members of each epoch; with `departures`, replaced members end as planned."""
        self._chain = chain
        self._departures = departures

    def steps(self, state: SystemState) -> Iterator[Step[SystemState]]:
        """Yield each step that changes the membership or rebuilds a disk."""
        if state.agreed_epoch < self._chain.last_epoch:
            yield from self._agree(state)
        for index, disk in enumerate(state.disks):
            if disk.departed:
                continue
            if not disk.intact:
                yield from self._rebuild(state, index)
            elif disk.epoch < state.agreed_epoch and index in self._chain.members(state.agreed_epoch):
                yield from self._advance(state, index)
        if self._departures and state.agreed_epoch > FIRST_EPOCH:
            yield from self._depart(state)

    def _depart(self, state: SystemState) -> Iterator[Step[SystemState]]:
        """Yield a step for each replaced member that has handed over its place, and ends for good."""
        epoch = state.agreed_epoch
        newest = self._chain.configuration(epoch)
        members = self._chain.members(epoch)
        entered = [address_of(index) for index in members if _is_intact_in(state.disks[index], epoch)]
        if not membership_rules.is_handed_over(newest, entered):
            return
        for index in self._chain.members(epoch - 1):
            if index not in members and not state.disks[index].departed:
                departed = replace(state.disks[index], intact=False, departed=True, transfers=())
                yield Step(f"{index} ends as planned", state.with_disk(index, departed))

    def _agree(self, state: SystemState) -> Iterator[Step[SystemState]]:
        """Yield a step for each majority of the newest epoch, which may agree on the next epoch."""
        epoch = state.agreed_epoch
        members = self._chain.members(epoch)
        available = [index for index in members if _is_intact_in(state.disks[index], epoch)]
        for quorum in combinations(available, self._chain.majority(epoch)):
            after = state
            for index in quorum:
                after = after.with_disk(index, replace(after.disks[index], accepted_successor=True))
            yield Step(f"{quorum} agree on the next members", replace(after, agreed_epoch=epoch + 1))

    def _advance(self, state: SystemState, index: int) -> Iterator[Step[SystemState]]:
        """Yield the steps by which a disk enters the next epoch, once a majority sealed its current one."""
        disk = state.disks[index]
        epoch = disk.epoch
        members = self._chain.members(epoch)

        def seal(sender: int, sending: DiskState) -> DiskState | None:
            if sending.epoch > epoch:
                return sending
            if sender not in members or sending.epoch != epoch:
                return None
            return replace(sending, sealed=True)

        yield from transfer_steps(state, index, seal)
        sealed, replies = self._chain.configuration(epoch, sealed=True), received_replies(self._chain, disk)
        quorum = membership_rules.transition_quorum(sealed, replies)
        if quorum:
            entered = enter_epoch(state, index, self._chain.configuration(epoch + 1), quorum)
            yield Step(f"{index} enters the next epoch", entered)
        joined = membership_rules.join_quorum(address_of(index), replies, False)
        if joined is not None and joined.configuration.epoch > epoch + 1:
            entered = enter_epoch(state, index, joined.configuration, joined.replies)
            yield Step(f"{index} enters an epoch after the next one", entered)

    def _rebuild(self, state: SystemState, index: int) -> Iterator[Step[SystemState]]:
        """Yield the steps of a lost disk: it starts a new incarnation, then enters an epoch with it."""
        disk = state.disks[index]
        if not disk.incarnation:
            yield from self._start_incarnation(state, index)
            return

        def record_incarnation(sender: int, sending: DiskState) -> DiskState:
            known = sending.known_incarnations
            latest = max(known[index], disk.incarnation)
            return replace(sending, known_incarnations=replace_item(known, index, latest))

        yield from transfer_steps(state, index, record_incarnation)
        replies = received_replies(self._chain, disk)
        quorum = membership_rules.join_quorum(address_of(index), replies, True)
        if quorum is not None:
            entered = enter_epoch(state, index, quorum.configuration, quorum.replies)
            yield Step(f"{index} is rebuilt", entered)

    def _start_incarnation(self, state: SystemState, index: int) -> Iterator[Step[SystemState]]:
        """Yield a step for each set of intact disks whose replies determine the next incarnation."""
        address = address_of(index)
        intact = [(other, disk) for other, disk in enumerate(state.disks) if disk.intact]
        for count in range(MIN_INCARNATION_REPLIES, len(intact) + 1):
            for senders in combinations(intact, count):
                replies = {address_of(at): transfer_reply(self._chain, at, disk) for at, disk in senders}
                quorum = membership_rules.join_quorum(address, replies, True)
                if quorum is None:
                    continue
                known = [reply.incarnations for reply in quorum.replies]
                started = replace(state.disks[index], incarnation=next_incarnation(address, known))
                yield Step(f"{index} starts an incarnation", state.with_disk(index, started))


def _is_intact_in(disk: DiskState, epoch: int) -> bool:
    return disk.intact and disk.epoch == epoch
