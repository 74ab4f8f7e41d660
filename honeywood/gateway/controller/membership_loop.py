"""This controller's part in the register: its disk is brought to where it counts, what a majority holds is
told, and a member that can't be used is replaced."""

from contextlib import suppress

from honeywood.gateway.controller.disk_health import DiskHealth
from honeywood.gateway.register.errors import RegisterUnavailable
from honeywood.gateway.register.replacement import DiskState, propose_replacement

LATE = 3.0  # times contact_s and sync_s together that a member can't be used before a spare that was there
# all the time takes its place


class MembershipLoop:
    """`publish(key, value)` tells all of what a majority's disks hold."""

    def __init__(self, settings, register, contacts, peers, publish, clock, say):
        """`peers` knows the other controllers' addresses."""
        self.settings, self.register, self.contacts, self.peers = settings, register, contacts, peers
        self.publish, self.clock, self.say = publish, clock, say
        self.disk_health = DiskHealth(lambda: register.write_heartbeats({}), clock, say)

    @property
    def disk(self):
        """The DiskState that others are told."""
        if not self.register.membership.intact:
            return DiskState.LOST
        return DiskState.REFUSES if self.disk_health.refuses_writes else DiskState.WORKS

    async def settle(self):
        """Brings this disk to where it counts, and a spare controller into the place of a member that can't
        be used."""
        if not self.register.membership.is_synchronized:
            return await self.register.manager.synchronize(self.peers.addresses)
        if self.disk is not DiskState.WORKS:
            return  # the others see to it
        bounds = self.settings.bounds
        soon_s, late_s = bounds.contact_s, LATE * (bounds.contact_s + bounds.sync_s)
        states, now = self.contacts.states(), self.clock()
        found = propose_replacement(
            self.register.membership.configuration, self.settings.ip, states, now, soon_s, late_s
        )
        if found:
            self.say("member unusable", 1.0, member=found.member, spare=found.spare, why=found.reason)
            with suppress(RegisterUnavailable):
                await self.register.manager.replace_member(found.member, found.spare)

    async def check_disk(self):
        """Learns whether this disk takes writes."""
        if self.register.membership.intact:
            await self.disk_health.check()

    async def survey(self):
        """Polls the members for all that they hold, and tells it."""
        self.peers.start()
        with suppress(RegisterUnavailable):
            for key, value in (await self.register.read_all()).items():
                self.publish(key, value)
