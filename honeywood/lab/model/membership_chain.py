"""The members of each epoch of a model, agreed in advance; a model's search only decides when they change."""

from __future__ import annotations

from dataclasses import dataclass

from honeywood.gateway.register.membership_configuration import MembershipConfiguration
from honeywood.lab.model.incarnation_table import address_of

FIRST_EPOCH = 1


@dataclass(frozen=True, slots=True)
class MembershipChain:
    """The indices of the members' disks, by epoch, from FIRST_EPOCH on."""

    epochs: tuple[tuple[int, ...], ...]

    @property
    def last_epoch(self) -> int:
        """The epoch after which no other follows."""
        return len(self.epochs)

    @property
    def disks(self) -> tuple[int, ...]:
        """The indices of all disks that are a member at any time."""
        return tuple(range(max(disk for members in self.epochs for disk in members) + 1))

    def members(self, epoch: int) -> tuple[int, ...]:
        """Return the members of an epoch."""
        return self.epochs[epoch - FIRST_EPOCH]

    def majority(self, epoch: int) -> int:
        """Return how many members of an epoch decide."""
        return len(self.members(epoch)) // 2 + 1

    def configuration(self, epoch: int, sealed: bool = False) -> MembershipConfiguration:
        """Return the configuration of an epoch as the program's rules take it."""
        successor = self._members_of(epoch + 1) if sealed else None
        return MembershipConfiguration(epoch, self._members_of(epoch).members, successor)

    def _members_of(self, epoch: int) -> MembershipConfiguration:
        return MembershipConfiguration(epoch, tuple(address_of(disk) for disk in self.members(epoch)))


THREE_MEMBERS = MembershipChain(((0, 1, 2),))
REPLACED_MEMBER = MembershipChain(((0, 1, 2), (0, 1, 3)))
"""Disk 3 replaces disk 2."""
REPLACED_MEMBER_OF_FIVE = MembershipChain(((0, 1, 2, 3, 4), (0, 1, 2, 3, 5)))
"""Disk 5 replaces disk 4."""
