"""Machines' calls at one controller, and the loops over what is known of them."""

import asyncio

from honeywood.gateway.controller.machine_records import MachineRecords
from honeywood.gateway.controller.machines import Machines
from honeywood.gateway.errors import GatewayError, Unavailable

DISK_WAIT_S = 0.2  # seconds that an acknowledgement waits for this disk, besides others' knowledge


class MachineLoop:
    """`machines` is what is known, `records` what of it is put on this disk."""

    def __init__(self, store, heartbeat_s, register, contacts, replication, clock, say):
        """Nothing is known."""
        self.register, self.contacts, self.replication = register, contacts, replication
        self.clock, self.say = clock, say
        self.machines, self.records = Machines(store, heartbeat_s), MachineRecords(register.write_heartbeats)
        self.machines.changed = self.records.change

    async def heartbeat(self, id, stamp, value):
        """Takes a machine's heartbeat; one that says that it leaves ends once enough others know it."""
        self._need_quorum("instances.heartbeat")
        if self.machines.beat(self.clock(), id, stamp, value):
            await asyncio.gather(self.replication.wait(), self._keep_within_bound())

    async def leave(self, id):
        """Takes a machine's end; it returns once enough others know it."""
        self._need_quorum("instances.leave")
        self.machines.leave(id)
        await asyncio.gather(self.replication.wait(), self._keep_within_bound())

    def _need_quorum(self, step):
        if not self.contacts.in_quorum(self.clock()):
            raise Unavailable(step, "cut off from the other controllers")

    async def _keep_within_bound(self):
        """Puts records on this disk; one that is slow or refuses holds up no answer long."""
        saving = asyncio.ensure_future(self.keep_records())
        await asyncio.wait((saving,), timeout=DISK_WAIT_S)

    async def keep_records(self):
        """Puts the records that have changed on this disk."""
        try:
            if self.register.membership.intact:
                await self.records.keep()
        except GatewayError as wrong:
            self.say("notes not kept", 5.0, why=str(wrong))

    def poll(self, now):
        """Takes silent machines for lost, where enough others have told all that they heard: parts of what
        they know are no silence of the machines that they hear."""
        if self.contacts.in_quorum(now) and self.contacts.knows_all(now):
            self.machines.look(now)
