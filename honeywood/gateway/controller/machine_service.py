"""Machines' calls at one controller, and the periodic tasks that save and expire machines."""

from __future__ import annotations

import asyncio

from honeywood.gateway.controller import heartbeat as heartbeats
from honeywood.gateway.controller.machine_row_writer import MachineRowWriter
from honeywood.gateway.controller.machine_table import MachineTable
from honeywood.gateway.errors import GatewayError, Unavailable
from honeywood.gateway.routing.endpoint_state import DRAINING

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Callable

    from honeywood.gateway.controller.contacts import Contacts
    from honeywood.gateway.controller.heartbeat import Heartbeat
    from honeywood.gateway.controller.replication import Replication
    from honeywood.gateway.dissemination.store import Store
    from honeywood.gateway.event_log import EventLog
    from honeywood.gateway.register.register import Register

LEAVE_OPERATION = "instances.leave"
SAVE_LOG_INTERVAL_S = 5.0
DISK_TIMEOUT_S = 0.2  # seconds that an acknowledgement waits at most for this controller's own disk


class MachineService:
    """Handles the calls of machines; acknowledges them only while this controller is in quorum."""

    def __init__(
        self,
        store: Store,
        heartbeat_interval_s: float,
        register: Register,
        contacts: Contacts,
        replication: Replication,
        clock: Callable[[], float],
        log: EventLog,
    ) -> None:
        """Start without any machine."""
        self.register, self.contacts, self.replication = register, contacts, replication
        self.clock, self.log = clock, log
        self.rows = MachineRowWriter(register.write_heartbeats)
        self.machines = MachineTable(store, heartbeat_interval_s, self.rows.update)
        self._in_quorum_since: float | None = None  # as of the latest call of `expire`

    async def heartbeat(self, machine_id: str, heartbeat: Heartbeat) -> None:
        """Record a machine's heartbeat; if it is draining, return only once enough others know it."""
        self._require_quorum(heartbeats.OPERATION)
        self.machines.record_heartbeat(self.clock(), machine_id, heartbeat)
        if heartbeat.record.state == DRAINING:
            await self._replicate()

    async def leave(self, machine_id: str) -> None:
        """Record a machine's departure; return once enough others know it."""
        self._require_quorum(LEAVE_OPERATION)
        self.machines.record_departure(machine_id)
        await self._replicate()

    def _require_quorum(self, operation: str) -> None:
        if not self.contacts.in_quorum(self.clock()):
            raise Unavailable(operation, "cut off from the other controllers")

    async def _replicate(self) -> None:
        """Wait for other controllers, and at most DISK_TIMEOUT_S for this controller's disk."""
        await asyncio.gather(self.replication.wait(), self._save_within_timeout())

    async def _save_within_timeout(self) -> None:
        saving = asyncio.ensure_future(self.save_rows())
        await asyncio.wait((saving,), timeout=DISK_TIMEOUT_S)

    async def save_rows(self) -> None:
        """Write the rows that have changed to this disk."""
        try:
            if self.register.membership.intact:
                await self.rows.flush()
        except GatewayError as error:
            self.log.info("machine states not saved", min_interval_s=SAVE_LOG_INTERVAL_S, why=str(error))

    def expire(self, now: float) -> None:
        """Mark silent machines as lost, if enough others have recently sent everything they know.

        While some of their records are missing, a machine may seem silent although its heartbeats reach
        other controllers. Heartbeats are refused by controllers that are not in quorum, so silence counts
        only from when this controller was in quorum again.
        """
        if not self.contacts.in_quorum(now):
            self._in_quorum_since = None
            return
        if self._in_quorum_since is None:
            self._in_quorum_since = now
        if self.contacts.has_complete_view(now):
            self.machines.expire(now, self._in_quorum_since)
