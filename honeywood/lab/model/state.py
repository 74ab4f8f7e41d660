"""The state of the register's model: disks, writers and a read in progress. All types are hashable."""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import StrEnum
from typing import TYPE_CHECKING, NamedTuple, TypeAlias, TypeVar

from honeywood.gateway.register.incarnations import FIRST_INCARNATION
from honeywood.gateway.register.replies import Accepted, BallotConflict, Promise, ReadReply
from honeywood.gateway.register.row import EMPTY_ROW, Ballot, Row
from honeywood.gateway.register.values import InlineValue
from honeywood.lab.model.incarnation_table import IncarnationTable, incarnation_table
from honeywood.lab.model.membership_chain import FIRST_EPOCH

if TYPE_CHECKING:
    from honeywood.gateway.register.json_value import JsonValue
    from honeywood.gateway.register.values import CarriedValue

T = TypeVar("T")

WriteReply: TypeAlias = Promise | BallotConflict | Accepted


class WriterPhase(StrEnum):
    """The phase that a writer has reached."""

    PREPARE = "prepare"
    ACCEPT = "accept"
    ACKNOWLEDGED = "acknowledged"


class Delivery(StrEnum):
    """The progress of a request to one disk and of its reply."""

    REQUEST_IN_FLIGHT = "request in flight"
    REPLY_IN_FLIGHT = "reply in flight"
    REPLY_RECEIVED = "reply received"


@dataclass(frozen=True, slots=True)
class DiskState:
    """One disk; `intact` is false after the disk was lost and until it is rebuilt.

    `known_incarnations` holds the incarnations of all disks, by index, as far as this disk knows them; its
    own is `incarnation`, which is 0 while unknown. `synced_row` is the row that remains after a power loss.
    `sealed` is true once the disk knows the next epoch and no longer serves requests of its current one;
    `accepted_successor` is true once the disk has accepted that there is a next epoch. `departed` is true
    once the disk's controller has handed over its place and ended; it is not intact then either. `transfers`
    are the states that a disk which is entering an epoch has received so far.
    """

    known_incarnations: tuple[int, ...]
    intact: bool = True
    incarnation: int = FIRST_INCARNATION
    row: Row = EMPTY_ROW
    synced_row: Row = EMPTY_ROW
    epoch: int = FIRST_EPOCH
    sealed: bool = False
    accepted_successor: bool = False
    departed: bool = False
    transfers: tuple[Transfer, ...] = ()

    def reported_incarnations(self, own_index: int) -> IncarnationTable:
        """Return the incarnations that this disk, whose index is `own_index`, reports in its replies."""
        return incarnation_table(replace_item(self.known_incarnations, own_index, self.incarnation))


class Transfer(NamedTuple):
    """The complete state of another disk, as of the moment at which it was sent."""

    sender: int
    disk: DiskState


@dataclass(frozen=True, slots=True)
class Writer:
    """A proposer, with the progress of its requests and the replies to them, by the index of the disk."""

    phase: WriterPhase
    epoch: int
    ballot: Ballot
    value: JsonValue = None
    deliveries: tuple[Delivery, ...] = ()
    replies: tuple[WriteReply | None, ...] = ()
    remaining_retries: int = 0


class SentReadReply(NamedTuple):
    """A reply to the reader, with the index of the disk that sent it."""

    sender: int
    reply: ReadReply


@dataclass(frozen=True, slots=True)
class Read:
    """A read in progress; `acknowledged` holds the values that were acknowledged before it began."""

    epoch: int
    acknowledged: tuple[JsonValue, ...]
    replies: tuple[SentReadReply, ...] = ()


@dataclass(frozen=True, slots=True)
class SystemState:
    """The state of the whole system, with the numbers of faults and reads that may still occur.

    `agreed_epoch` is the newest epoch. `read_values` are the results of all reads; `has_stale_read` is true
    if any of them missed a value that was acknowledged before the read began.
    """

    disks: tuple[DiskState, ...]
    writers: tuple[Writer, ...]
    remaining_disk_losses: int
    remaining_power_losses: int
    agreed_epoch: int = FIRST_EPOCH
    remaining_reads: int = 0
    read: Read | None = None
    read_values: tuple[JsonValue, ...] = ()
    has_stale_read: bool = False

    def with_disk(self, index: int, disk: DiskState) -> SystemState:
        """Return this state with the disk at `index` replaced."""
        return replace(self, disks=replace_item(self.disks, index, disk))

    def with_writer(self, index: int, writer: Writer) -> SystemState:
        """Return this state with the writer at `index` replaced."""
        return replace(self, writers=replace_item(self.writers, index, writer))


def replace_item(items: tuple[T, ...], index: int, item: T) -> tuple[T, ...]:
    """Return a copy of a tuple with the item at `index` replaced."""
    return (*items[:index], item, *items[index + 1 :])


def to_carried(value: JsonValue) -> CarriedValue:
    """Return a value in the form used in the model's messages: always inline, whatever its size."""
    return None if value is None else InlineValue(value)


def from_carried(carried: CarriedValue) -> JsonValue:
    """Return the value contained in a message of the model."""
    if carried is None:
        return None
    assert isinstance(carried, InlineValue), "the model sends values inline only"
    return carried.value
