"""A model of one key of the register on three or more disks, with the rules of honeywood/gateway/register.

Writers send each request to all members. Each request and each reply may arrive after any delay, or never. A
writer may give up and retry with a higher ballot. A disk may be lost and rebuilt, power may be lost, and a
member may be replaced. The following cases need no steps of their own, since the search covers them anyway:

- A staged row that a power loss discards is equivalent to a request that never arrived.
- A row that was kept although its reply was not sent is equivalent to a reply that is never received.
- A large value that is still being transferred is equivalent to an accept request that has not arrived yet.

The reader queries the disks one after another and takes the value that `find_agreed_view` finds in their
rows, as the program's reads do; a read that is in doubt proposes, as a writer does. A value that was read
counts as acknowledged from then on, and must include everything that was acknowledged before the read began.

The agreement of an epoch's members on the next epoch is a single step in this model: it is a key like any
other, changed once.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from honeywood.gateway.register.incarnations import FIRST_INCARNATION
from honeywood.gateway.register.row import EMPTY_ROW, Ballot, Row
from honeywood.lab.model.invariants import Invariants
from honeywood.lab.model.membership_chain import FIRST_EPOCH, THREE_MEMBERS, MembershipChain
from honeywood.lab.model.membership_steps import MembershipSteps
from honeywood.lab.model.reader_steps import ReaderSteps
from honeywood.lab.model.search import Step
from honeywood.lab.model.state import DiskState, SystemState, WriterPhase
from honeywood.lab.model.writer_steps import WriterSteps

if TYPE_CHECKING:
    from honeywood.gateway.register.json_value import JsonValue

INITIAL_BALLOT = Ballot(1, "0")
"""The ballot under which the initial value was accepted."""

FIRST_COUNTER = 2
"""The counter of the writers' first ballots."""


@dataclass(frozen=True, slots=True)
class ModelOptions:
    """The maximum numbers of faults, of retries per writer and of reads, and the members of each epoch.

    With `departures`, a member that was replaced ends for good once it has handed over its place.
    `replies_before_sync` injects a fault for tests: a disk replies before its row is durable.
    """

    disk_losses: int = 1
    power_losses: int = 1
    retries: int = 0
    reads: int = 0
    chain: MembershipChain = THREE_MEMBERS
    departures: bool = False
    replies_before_sync: bool = False


@dataclass(frozen=True, slots=True)
class Scenario:
    """The updates that the writers make, and the conditions that their values must meet.

    `updates` holds one function per writer, which maps the stored value to the new one. `misses` and
    `conflict` are described in invariants.py. `initial_value` is stored on all disks at the start. If
    `initial_disks` is given, it is stored on these only, and counts as acknowledged.
    """

    updates: tuple[Callable[[JsonValue], JsonValue], ...]
    misses: Callable[[JsonValue, JsonValue], bool]
    conflict: Callable[[Sequence[JsonValue]], bool] = lambda acknowledged: False
    initial_value: JsonValue = None
    initial_disks: tuple[int, ...] | None = None


class RegisterModel:
    """The model; `start` is the initial state, and may be set to a later one to begin a search there."""

    def __init__(self, scenario: Scenario, options: ModelOptions) -> None:
        """Build the initial state of a scenario."""
        self._scenario = scenario
        self._chain = options.chain
        self._replies_before_sync = options.replies_before_sync
        self._writers = WriterSteps(options.chain, scenario.updates, options.replies_before_sync)
        self._reader = ReaderSteps(options.chain, scenario.misses, self._acknowledged)
        self._membership = MembershipSteps(options.chain, options.departures)
        self._invariants = Invariants(options.chain, scenario.misses, scenario.conflict)
        self.start = self._first_state(options)

    def _first_state(self, options: ModelOptions) -> SystemState:
        disks = tuple(self._first_disk(index) for index in self._chain.disks)
        writers = tuple(
            self._writers.first_requests(FIRST_EPOCH, Ballot(FIRST_COUNTER, str(index)), options.retries)
            for index in range(len(self._scenario.updates))
        )
        losses = options.disk_losses, options.power_losses
        return SystemState(disks, writers, *losses, remaining_reads=options.reads)

    def _first_disk(self, index: int) -> DiskState:
        value, holders = self._scenario.initial_value, self._scenario.initial_disks
        row = EMPTY_ROW
        if value is not None and (holders is None or index in holders):
            row = Row(INITIAL_BALLOT, INITIAL_BALLOT, value)
        return DiskState((FIRST_INCARNATION,) * len(self._chain.disks), row=row, synced_row=row)

    def steps(self, state: SystemState) -> Iterator[Step[SystemState]]:
        """Yield each possible next step."""
        yield from self._writers.steps(state)
        yield from self._reader.steps(state)
        yield from self._storage_steps(state)
        yield from self._membership.steps(state)

    def _storage_steps(self, state: SystemState) -> Iterator[Step[SystemState]]:
        if self._replies_before_sync:
            yield from _late_syncs(state)
        if state.remaining_power_losses:
            yield Step("power is lost", _lose_power(state))
        if state.remaining_disk_losses:
            for index in self._chain.disks:
                if state.disks[index].departed:
                    continue
                yield Step(f"disk {index} is lost", _lose_disk(state, index))

    def violation(self, state: SystemState) -> str:
        """Return the invariant that the state violates; empty if it violates none."""
        return self._invariants.violation(state, self._acknowledged(state))

    def _acknowledged(self, state: SystemState) -> tuple[JsonValue, ...]:
        """Return the values acknowledged by writers, before the start and by reads."""
        done = [writer for writer in state.writers if writer.phase is WriterPhase.ACKNOWLEDGED]
        written = [writer.value for writer in done if writer.value is not None]
        scenario = self._scenario
        initial = (scenario.initial_value,) if scenario.initial_disks else ()
        return (*written, *initial, *state.read_values)


def _late_syncs(state: SystemState) -> Iterator[Step[SystemState]]:
    for index, disk in enumerate(state.disks):
        if disk.row != disk.synced_row:
            yield Step(f"sync at {index}", state.with_disk(index, replace(disk, synced_row=disk.row)))


def _lose_power(state: SystemState) -> SystemState:
    disks = tuple(replace(disk, row=disk.synced_row, transfers=()) for disk in state.disks)
    return replace(state, disks=disks, remaining_power_losses=state.remaining_power_losses - 1)


def _lose_disk(state: SystemState, index: int) -> SystemState:
    lost = DiskState((0,) * len(state.disks), intact=False, incarnation=0, epoch=0)
    return replace(state.with_disk(index, lost), remaining_disk_losses=state.remaining_disk_losses - 1)
