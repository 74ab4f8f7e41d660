"""One key of the register on three or more disks, with the real rules of honeywood/gateway/register.

Writers send each request to all members. A request reaches a disk or never does, a reply is received or never
is, both after any time. A writer may give up and retry with a higher ballot. A disk may be lost and rebuilt,
power may be lost, a member may be replaced. A row that was staged and lost with power is a request that never
arrived; one that was kept though its reply was not sent is a reply that is never received: both are among the
orders searched. So is a large value that is still being transferred: its accept request has not arrived yet.

A reader asks the disks one after another and takes what `find_agreed_view` finds in their rows, as the
program's reads do; a read that is in doubt proposes as a writer does. A value that was read counts as
acknowledged from then on, and must include what had been acknowledged when the read began.

That an epoch's members agree on the next one is one step here: it is a key like any other, changed once.
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
"""Under which the initial value was accepted."""

FIRST_COUNTER = 2
"""Of the writers' ballots."""


@dataclass(frozen=True, slots=True)
class ModelOptions:
    """How often faults, retries of each writer and reads may come, and the members by epoch.

    `replies_before_sync` is a fault for tests: a disk replies before its row is durable.
    """

    disk_losses: int = 1
    power_losses: int = 1
    retries: int = 0
    reads: int = 0
    chain: MembershipChain = THREE_MEMBERS
    replies_before_sync: bool = False


@dataclass(frozen=True, slots=True)
class Scenario:
    """What the writers do, and how their values are judged.

    `updates` are the writers': the stored value to the new one. `misses` and `conflict` are as in
    invariants.py. `initial_value` is stored on all disks at first; or, where `initial_disks` are given, on
    these alone, and has been acknowledged.
    """

    updates: tuple[Callable[[JsonValue], JsonValue], ...]
    misses: Callable[[JsonValue, JsonValue], bool]
    conflict: Callable[[Sequence[JsonValue]], bool] = lambda acknowledged: False
    initial_value: JsonValue = None
    initial_disks: tuple[int, ...] | None = None


class RegisterModel:
    """The model; `start` is its first state and may be set to a later one."""

    def __init__(self, scenario: Scenario, options: ModelOptions) -> None:
        """Build the first state of a scenario."""
        self._scenario = scenario
        self._chain = options.chain
        self._replies_before_sync = options.replies_before_sync
        self._writers = WriterSteps(options.chain, scenario.updates, options.replies_before_sync)
        self._reader = ReaderSteps(options.chain, scenario.misses, self._acknowledged)
        self._membership = MembershipSteps(options.chain)
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
        """Return each step that may come next."""
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
                yield Step(f"disk {index} is lost", _lose_disk(state, index))

    def violation(self, state: SystemState) -> str:
        """Return the invariant that the state violates; empty where it violates none."""
        return self._invariants.violation(state, self._acknowledged(state))

    def _acknowledged(self, state: SystemState) -> tuple[JsonValue, ...]:
        """Return the values acknowledged by writers, before the start, and by reads."""
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
