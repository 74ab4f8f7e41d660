"""Invariants that hold in every state of the register's model."""

from __future__ import annotations

from collections.abc import Callable, Iterator, Sequence
from itertools import combinations
from typing import TYPE_CHECKING

from honeywood.lab.model.membership_chain import FIRST_EPOCH, MembershipChain
from honeywood.lab.model.state import DiskState, SystemState

if TYPE_CHECKING:
    from honeywood.gateway.register.json_value import JsonValue

STALE_READ = "a read misses a value acknowledged before it"
CONFLICTING_OUTCOMES = "conflicting outcomes are acknowledged"
LOST_VALUE = "a majority of intact disks misses an acknowledged value"
NO_MAJORITY = "after a planned end the newest members can't form a majority any more"


class Invariants:
    """The invariants of one scenario."""

    def __init__(
        self,
        chain: MembershipChain,
        misses: Callable[[JsonValue, JsonValue], bool],
        conflict: Callable[[Sequence[JsonValue]], bool],
    ) -> None:
        """Set the conditions of the scenario.

        `misses(stored, acknowledged)` returns whether a stored value lacks an acknowledged one.
        `conflict(acknowledged)` returns whether values contradict each other, so that they must not all be
        acknowledged.
        """
        self._chain = chain
        self._misses = misses
        self._conflict = conflict

    def violation(self, state: SystemState, acknowledged: Sequence[JsonValue]) -> str:
        """Return the violated invariant, given all values acknowledged so far; empty if none is violated."""
        if state.has_stale_read:
            return STALE_READ
        if any(disk.departed for disk in state.disks) and self._is_blocked(state):
            return NO_MAJORITY
        if not acknowledged:
            return ""
        if self._conflict(acknowledged):
            return CONFLICTING_OUTCOMES
        for value in self._majority_values(state):
            if any(self._misses(value, known) for known in acknowledged):
                return LOST_VALUE
        return ""

    def _is_blocked(self, state: SystemState) -> bool:
        """Return whether too few intact members are left, or these can't all enter the newest epoch.

        They can with one member that has entered it, or with a majority of the previous members.
        """
        epoch = state.agreed_epoch
        intact = self._intact_members(state, epoch)
        previous = self._intact_members(state, epoch - 1)
        has_entered = any(disk.epoch == epoch for disk in intact)
        can_enter = has_entered or len(previous) >= self._chain.majority(epoch - 1)
        return len(intact) < self._chain.majority(epoch) or not can_enter

    def _intact_members(self, state: SystemState, epoch: int) -> list[DiskState]:
        return [state.disks[index] for index in self._chain.members(epoch) if state.disks[index].intact]

    def _majority_values(self, state: SystemState) -> Iterator[JsonValue]:
        """Yield the value that a ballot would find at each majority of each epoch."""
        for epoch in range(FIRST_EPOCH, state.agreed_epoch + 1):
            members = [state.disks[index] for index in self._chain.members(epoch)]
            available = [disk for disk in members if _accepts_requests(disk, epoch)]
            for quorum in combinations(available, self._chain.majority(epoch)):
                yield max(quorum, key=lambda disk: disk.row.accepted).row.value


def _accepts_requests(disk: DiskState, epoch: int) -> bool:
    return disk.intact and not disk.sealed and disk.epoch == epoch
