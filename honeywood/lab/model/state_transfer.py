"""State transfers between disks in the register's model, and entering an epoch with the received states."""

from __future__ import annotations

from collections.abc import Callable, Iterator, Sequence
from dataclasses import replace

from honeywood.gateway.register import acceptor, membership_rules
from honeywood.gateway.register.incarnations import FIRST_INCARNATION, merge_incarnations
from honeywood.gateway.register.membership_configuration import MembershipConfiguration
from honeywood.gateway.register.replies import TransferredRow, TransferStateReply
from honeywood.gateway.register.row import NO_BALLOT, Row
from honeywood.gateway.register.values import InlineValue
from honeywood.lab.model.incarnation_table import address_of, incarnation_table
from honeywood.lab.model.membership_chain import MembershipChain
from honeywood.lab.model.search import Step
from honeywood.lab.model.state import DiskState, SystemState, Transfer, from_carried, to_carried

KEY = "key"
"""The only key of the modelled register."""


def transfer_reply(chain: MembershipChain, sender: int, disk: DiskState) -> TransferStateReply:
    """Return the reply of an intact disk to a request for its state."""
    row = disk.row
    rows = {KEY: TransferredRow(row.promised, row.accepted, to_carried(row.value))}
    if disk.accepted_successor:
        successor = InlineValue({"epoch": disk.epoch + 1, "members": []})
        rows[membership_rules.SUCCESSOR_KEY] = TransferredRow(NO_BALLOT, NO_BALLOT, successor)
    configuration = chain.configuration(disk.epoch, disk.sealed)
    return TransferStateReply(rows, disk.reported_incarnations(sender), configuration)


def received_replies(chain: MembershipChain, disk: DiskState) -> dict[str, TransferStateReply]:
    """Return the replies that a disk has received, by the address of their sender."""
    return {
        address_of(sender): transfer_reply(chain, sender, state_of_sender)
        for sender, state_of_sender in disk.transfers
    }


def transfer_steps(
    state: SystemState, receiver: int, on_request: Callable[[int, DiskState], DiskState | None]
) -> Iterator[Step[SystemState]]:
    """Yield a step for each disk that may send its state to the receiver.

    `on_request(index, disk)` returns the sender's state after the request, or None if it doesn't reply.
    """
    received = state.disks[receiver].transfers
    for index, disk in enumerate(state.disks):
        if not disk.intact or any(index == transfer.sender for transfer in received):
            continue
        sender = on_request(index, disk)
        if sender is None:
            continue
        transfer = Transfer(index, replace(sender, transfers=()))
        transfers = tuple(sorted((*received, transfer), key=lambda item: item.sender))
        after_request = state.with_disk(index, sender)
        after = replace(after_request.disks[receiver], transfers=transfers)
        yield Step(f"{index} transfers to {receiver}", after_request.with_disk(receiver, after))


def enter_epoch(
    state: SystemState,
    index: int,
    configuration: MembershipConfiguration,
    replies: Sequence[TransferStateReply],
) -> SystemState:
    """Return the state after a disk has entered a configuration with the rows transferred in `replies`."""
    disk = state.disks[index]
    row = _merged_row(replies)
    entered = DiskState(
        _merged_incarnations(disk, replies),
        incarnation=disk.incarnation,
        row=row,
        synced_row=row,
        epoch=configuration.epoch,
        sealed=configuration.successor is not None,
    )
    return state.with_disk(index, entered)


def _merged_row(replies: Sequence[TransferStateReply]) -> Row:
    merged = acceptor.merge_rows([{KEY: reply.rows[KEY]} for reply in replies])
    promised, accepted, value = merged.get(KEY, acceptor.EMPTY_TRANSFERRED_ROW)
    return Row(promised, accepted, from_carried(value))


def _merged_incarnations(disk: DiskState, replies: Sequence[TransferStateReply]) -> tuple[int, ...]:
    known = [reply.incarnations for reply in replies]
    if disk.intact:
        known.append(incarnation_table(disk.known_incarnations))
    merged = merge_incarnations(known)
    indices = range(len(disk.known_incarnations))
    return tuple(merged.get(address_of(index), FIRST_INCARNATION) for index in indices)
