"""The configuration that this disk goes by, and how it takes over the next one (see membership_rules.py)."""

from __future__ import annotations

import asyncio

from honeywood.gateway.register import membership_rules
from honeywood.gateway.register.incarnations import FIRST_INCARNATION
from honeywood.gateway.register.membership_configuration import MembershipConfiguration
from honeywood.gateway.register.membership_rules import BOOTSTRAP_EPOCH
from honeywood.gateway.register.state_update import StateUpdate

TYPE_CHECKING = False
if TYPE_CHECKING:
    from honeywood.gateway.event_log import EventLog
    from honeywood.gateway.register.persistent_state import PersistentState

NO_CONFIGURATION = MembershipConfiguration(BOOTSTRAP_EPOCH, ())
"""What a disk goes by that was lost or is not open yet."""


class MembershipState:
    """What this disk knows of the members.

    `configuration` is the one it goes by, `pending` a later one that it heard of and has not entered,
    `intact` whether it stores all that it ever promised and accepted; `lock` orders what is written.
    """

    def __init__(self, state: PersistentState, log: EventLog) -> None:
        """Know no members before the disk is open."""
        self._state, self._log = state, log
        self.configuration = NO_CONFIGURATION
        self.pending: MembershipConfiguration | None = None
        self.intact = False
        self.lock = asyncio.Lock()

    @property
    def members(self) -> tuple[str, ...]:
        """The addresses of the members of this disk's epoch."""
        return self.configuration.members

    @property
    def epoch(self) -> int:
        """The number of this disk's epoch."""
        return self.configuration.epoch

    @property
    def is_bootstrapped(self) -> bool:
        """Whether this disk takes part in an epoch whose members were agreed on."""
        return self.intact and self.epoch > BOOTSTRAP_EPOCH

    @property
    def is_synchronized(self) -> bool:
        """Whether this disk is in the newest epoch that it knows of, as a member or not."""
        return self.is_bootstrapped and self.configuration.successor is None and self.pending is None

    @property
    def is_voter(self) -> bool:
        """Whether this disk serves requests of its epoch, as far as it knows the newest one.

        A disk that refuses to store the next configuration is no voter all the same.
        """
        return self.intact and self.pending is None and self.accepts_epoch(self.epoch)

    def accepts_epoch(self, epoch: int) -> bool:
        """Return whether this disk, which is intact, serves requests of `epoch`."""
        return membership_rules.accepts_epoch(self.configuration, self._state.local_ip, epoch)

    @property
    def newest(self) -> MembershipConfiguration:
        """The newest configuration that this disk has agreed to, without its successor."""
        return self.configuration.successor or self.configuration

    def restore(self) -> None:
        """Go by what this disk stores, which took part before."""
        assert self._state.configuration is not None, "a disk that took part stores its configuration"
        self.configuration, self.intact = self._state.configuration, True

    async def initialize(self, seeds: tuple[str, ...]) -> None:
        """Store the epoch of the seeds on a disk of a system that starts for the first time.

        Raises DiskRefused.
        """
        configuration = MembershipConfiguration(BOOTSTRAP_EPOCH, seeds)
        await self._state.write(StateUpdate(incarnation=FIRST_INCARNATION, configuration=configuration))
        self.configuration, self.intact = configuration, True

    def learn(self, configuration: MembershipConfiguration) -> None:
        """Remember a configuration that is newer than all that are known here."""
        newest_known = max(self.newest.epoch, self.pending.epoch if self.pending else BOOTSTRAP_EPOCH)
        if configuration.epoch > newest_known:
            self.pending = configuration.without_successor()

    async def adopt(self, successor: MembershipConfiguration) -> None:
        """Take over an agreed configuration; raise DiskRefused.

        It is entered at once where this disk was in no epoch before; else the disk seals its epoch. A
        configuration further on is remembered.
        """
        async with self.lock:
            if self.intact and self.epoch == BOOTSTRAP_EPOCH and successor.epoch == BOOTSTRAP_EPOCH + 1:
                await self.enter(StateUpdate(configuration=membership_rules.enter(successor)))
            elif self.intact:
                await self._seal(successor)
            self.learn(successor)

    async def _seal(self, successor: MembershipConfiguration) -> None:
        sealed = membership_rules.seal(self.configuration, successor)
        if sealed is None:
            return
        await self._state.write(StateUpdate(configuration=sealed))
        self.configuration = sealed
        self._drop_pending(successor.epoch)

    def _drop_pending(self, entered_epoch: int) -> None:
        if self.pending is not None and self.pending.epoch <= entered_epoch:
            self.pending = None

    async def enter(self, update: StateUpdate) -> None:
        """Store the update's configuration with all that belongs to it; the disk is intact then.

        The caller holds the lock. Raises DiskRefused.
        """
        assert update.configuration is not None, "an epoch is entered with its configuration"
        await self._state.write(update)
        self.configuration, self.intact = update.configuration, True
        self._drop_pending(self.epoch)
        self._log.info(
            "epoch entered",
            epoch=self.epoch,
            members=self.members,
            voter=self.is_voter,
            rows=len(update.registers),
        )
