"""A controller's participation in the register.

It brings its disk into the register's newest epoch, publishes the values that a majority of the disks holds,
and replaces members that can't be used.
"""

from __future__ import annotations

from contextlib import suppress

from honeywood.gateway.controller.disk_health import DiskHealth
from honeywood.gateway.register.errors import RegisterUnavailable
from honeywood.gateway.register.replacement import DiskState, propose_replacement

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Callable

    from honeywood.gateway.configuration.settings import Settings
    from honeywood.gateway.controller.contacts import Contacts
    from honeywood.gateway.controller.peer_polling import PeerPolling
    from honeywood.gateway.controller.register_access import StoredValue
    from honeywood.gateway.event_log import EventLog
    from honeywood.gateway.register.register import Register

LOG_INTERVAL_S = 1.0  # minimum seconds between log lines about a member that can't be used


class Membership:
    """Keeps this controller's disk and the register's members usable."""

    def __init__(
        self,
        settings: Settings,
        register: Register,
        contacts: Contacts,
        peers: PeerPolling,
        publish: Callable[[str, StoredValue | None], None],
        clock: Callable[[], float],
        log: EventLog,
    ) -> None:
        """`publish(key, value)` publishes what a majority holds; `clock` returns monotonic seconds."""
        self.settings, self.register, self.contacts, self.peers = settings, register, contacts, peers
        self.publish, self.clock, self.log = publish, clock, log
        self.disk_health = DiskHealth(lambda: register.write_heartbeats({}), clock, log)
        self.is_leaving = False  # set once this controller is ending as planned

    @property
    def disk(self) -> DiskState:
        """The state of this disk as reported to other controllers."""
        if not self.register.membership.intact:
            return DiskState.LOST
        if self.disk_health.refuses_writes:
            return DiskState.REFUSES
        return DiskState.LEAVING if self.is_leaving else DiskState.WORKS

    async def synchronize(self) -> None:
        """Bring this disk into the register's newest epoch."""
        if not self.register.membership.is_synchronized:
            await self.register.manager.synchronize(self.peers.addresses)

    async def replace_unusable_member(self) -> None:
        """Propose a spare controller as the replacement of a member that can't be used.

        This must not delay `synchronize`: a proposer whose ballot lost must enter the epoch of the winner.
        """
        if not self.register.membership.is_synchronized:
            return
        if self.disk is not DiskState.WORKS:  # the other members may replace this one
            return
        now = self.clock()
        configuration, states = self.register.membership.configuration, self.contacts.peer_states(now)
        bounds, local_ip = self.settings.bounds, self.settings.ip
        proposed = propose_replacement(configuration, local_ip, states, now, bounds.contact_s, bounds.sync_s)
        if proposed is None:
            return
        self.log.info(
            "member unusable",
            min_interval_s=LOG_INTERVAL_S,
            member=proposed.member,
            spare=proposed.spare,
            why=proposed.reason,
        )
        with suppress(RegisterUnavailable):  # it is proposed again while the member can't be used
            await self.register.manager.replace_member(proposed.member, proposed.spare)

    async def check_disk(self) -> None:
        """Check whether this disk accepts writes."""
        if self.register.membership.intact:
            await self.disk_health.check()

    async def publish_register(self) -> None:
        """Publish all values that a majority of the members holds."""
        self.peers.start()
        with suppress(RegisterUnavailable):
            for key, value in (await self.register.read_all()).items():
                self.publish(key, value)
