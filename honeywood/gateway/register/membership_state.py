"""The current configuration of this disk, and the transition to the next one (see membership_rules.py)."""

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
"""The configuration of a disk that was lost or is not open yet."""


class MembershipState:
    """The membership as this disk knows it.

    `configuration` is the current one. `pending` is a later one that the disk has learned of but not entered.
    `intact` says whether the disk stores everything that it ever promised and accepted. `lock` serializes the
    writes to the disk.
    """

    def __init__(self, state: PersistentState, log: EventLog) -> None:
        """Start without members; `restore` or `initialize` sets them once the disk is open."""
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
        """Whether this disk has entered an epoch whose members were agreed on."""
        return self.intact and self.epoch > BOOTSTRAP_EPOCH

    @property
    def is_synchronized(self) -> bool:
        """Whether this disk is in the newest epoch that it knows, as a member or not."""
        return self.is_bootstrapped and self.configuration.successor is None and self.pending is None

    @property
    def is_voter(self) -> bool:
        """Whether this disk serves requests of its epoch and knows of no later epoch.

        A disk that has learned of the next configuration but fails to store it is therefore not a voter.
        """
        return self.intact and self.pending is None and self.accepts_epoch(self.epoch)

    def accepts_epoch(self, epoch: int) -> bool:
        """Return whether this disk serves requests of `epoch`, provided that it is intact."""
        return membership_rules.accepts_epoch(self.configuration, self._state.local_ip, epoch)

    @property
    def newest(self) -> MembershipConfiguration:
        """The newest agreed configuration on this disk: the current one's successor, else the current one."""
        return self.configuration.successor or self.configuration

    @property
    def newest_known(self) -> MembershipConfiguration:
        """The newest configuration that this disk has learned of, whether it is stored on it or not."""
        return self.pending or self.newest

    def restore(self) -> None:
        """Use the configuration stored on this disk, which took part in the register before."""
        assert self._state.configuration is not None, "a disk with an incarnation stores its configuration"
        self.configuration, self.intact = self._state.configuration, True

    async def initialize(self, seeds: tuple[str, ...]) -> None:
        """Store the bootstrap epoch of the seeds on a disk of a system that starts for the first time.

        Raises DiskRefused.
        """
        configuration = MembershipConfiguration(BOOTSTRAP_EPOCH, seeds)
        await self._state.write(StateUpdate(incarnation=FIRST_INCARNATION, configuration=configuration))
        self.configuration, self.intact = configuration, True

    def learn(self, configuration: MembershipConfiguration) -> None:
        """Record a configuration as pending if it is newer than all others that this disk knows."""
        newest_known = max(self.newest.epoch, self.pending.epoch if self.pending else BOOTSTRAP_EPOCH)
        if configuration.epoch > newest_known:
            self.pending = configuration.without_successor()

    async def adopt(self, successor: MembershipConfiguration) -> None:
        """Handle a configuration that was agreed on; raise DiskRefused.

        A disk in the bootstrap epoch enters epoch 1 at once. Another disk seals its epoch if the
        configuration is its successor. A configuration of a later epoch is recorded as pending.
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
        """Store a configuration, together with the state that belongs to it; the disk is intact afterwards.

        The caller must hold the lock. Raises DiskRefused.
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
