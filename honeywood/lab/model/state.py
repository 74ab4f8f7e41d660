"""What a state of the register's model consists of: disks, writers, a read in progress. All hashable."""

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
    """What a writer does."""

    PREPARE = "prepare"
    ACCEPT = "accept"
    ACKNOWLEDGED = "acknowledged"


class Delivery(StrEnum):
    """How far a request to one disk, or its reply, has come."""

    REQUEST_IN_FLIGHT = "request in flight"
    REPLY_IN_FLIGHT = "reply in flight"
    REPLY_RECEIVED = "reply received"


@dataclass(frozen=True, slots=True)
class DiskState:
    """One disk; `intact` is false where it was lost and not rebuilt yet.

    `known_incarnations` are those of all disks, by index, as this one knows them; its own is `incarnation`, 0
    while it is not known. `synced_row` is what a loss of power leaves of `row`. `sealed` tells that the next
    epoch is known and no request of this one is served any more, `accepted_successor` that this disk has
    accepted that there is a next one. `transfers` are the states received so far by a disk that enters an
    epoch.
    """

    known_incarnations: tuple[int, ...]
    intact: bool = True
    incarnation: int = FIRST_INCARNATION
    row: Row = EMPTY_ROW
    synced_row: Row = EMPTY_ROW
    epoch: int = FIRST_EPOCH
    sealed: bool = False
    accepted_successor: bool = False
    transfers: tuple[Transfer, ...] = ()

    def reported_incarnations(self, own_index: int) -> IncarnationTable:
        """Return the incarnations that the disk of that index names in its replies."""
        return incarnation_table(replace_item(self.known_incarnations, own_index, self.incarnation))


class Transfer(NamedTuple):
    """The complete state of another disk, received at one moment."""

    sender: int
    disk: DiskState


@dataclass(frozen=True, slots=True)
class Writer:
    """A proposer; how far its requests have come and what was replied to them, by the index of the disk."""

    phase: WriterPhase
    epoch: int
    ballot: Ballot
    value: JsonValue = None
    deliveries: tuple[Delivery, ...] = ()
    replies: tuple[WriteReply | None, ...] = ()
    remaining_retries: int = 0


class SentReadReply(NamedTuple):
    """A disk's reply to the reader."""

    sender: int
    reply: ReadReply


@dataclass(frozen=True, slots=True)
class Read:
    """A read in progress; `acknowledged` are the values that had been acknowledged when it began."""

    epoch: int
    acknowledged: tuple[JsonValue, ...]
    replies: tuple[SentReadReply, ...] = ()


@dataclass(frozen=True, slots=True)
class SystemState:
    """The whole system at one moment, with the numbers of faults and reads that may still come.

    `agreed_epoch` is the newest epoch. `read_values` are the results of all reads; `has_stale_read` tells
    that one of them missed a value that had been acknowledged before it began.
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
        """Return this state with another disk at an index."""
        return replace(self, disks=replace_item(self.disks, index, disk))

    def with_writer(self, index: int, writer: Writer) -> SystemState:
        """Return this state with another writer at an index."""
        return replace(self, writers=replace_item(self.writers, index, writer))


def replace_item(items: tuple[T, ...], index: int, item: T) -> tuple[T, ...]:
    """Return a tuple with another item at an index."""
    return (*items[:index], item, *items[index + 1 :])


def to_carried(value: JsonValue) -> CarriedValue:
    """Return a value as messages of the model carry it, whatever its size."""
    return None if value is None else InlineValue(value)


def from_carried(carried: CarriedValue) -> JsonValue:
    """Return the value that a message of the model carried."""
    if carried is None:
        return None
    assert isinstance(carried, InlineValue), "the model sends no references"
    return carried.value
