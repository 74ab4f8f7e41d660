"""The members of each epoch of a model, fixed in advance; the search varies only when the epoch changes."""

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
        """The number of the last epoch."""
        return len(self.epochs)

    @property
    def disks(self) -> tuple[int, ...]:
        """The indices of all disks that are members in any epoch."""
        return tuple(range(max(disk for members in self.epochs for disk in members) + 1))

    def members(self, epoch: int) -> tuple[int, ...]:
        """Return the members of an epoch."""
        return self.epochs[epoch - FIRST_EPOCH]

    def majority(self, epoch: int) -> int:
        """Return the number of members that form a majority in an epoch."""
        return len(self.members(epoch)) // 2 + 1

    def configuration(self, epoch: int, sealed: bool = False) -> MembershipConfiguration:
        """Return the configuration of an epoch, in the type that the program's rules use."""
        successor = self._members_of(epoch + 1) if sealed else None
        return MembershipConfiguration(epoch, self._members_of(epoch).members, successor)

    def _members_of(self, epoch: int) -> MembershipConfiguration:
        return MembershipConfiguration(epoch, tuple(address_of(disk) for disk in self.members(epoch)))


THREE_MEMBERS = MembershipChain(((0, 1, 2),))
REPLACED_MEMBER = MembershipChain(((0, 1, 2), (0, 1, 3)))
"""Disk 3 replaces disk 2."""
REPLACED_MEMBER_OF_FIVE = MembershipChain(((0, 1, 2, 3, 4), (0, 1, 2, 3, 5)))
"""Disk 5 replaces disk 4."""
REPLACED_TWICE = MembershipChain(((0, 1, 2), (1, 2, 3), (2, 3, 4)))
"""Disks 3 and 4 replace disks 0 and 1, one after the other; disk 2 may miss both changes."""
