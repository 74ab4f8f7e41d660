"""A simulated service machine with slots, a queue, a speed, and faulty responses."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from enum import Enum, auto
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from honeywood.lab.emulator.machine_connection import MachineConnection

WARM_UP_S = 3.0
"""The period after its start in which a machine is slower."""
HEARTBEAT_INTERVAL_S = 1.5
GRACE_S = 0.5
"""How much longer than drain_s a draining machine continues to serve requests."""
MAX_QUEUE = 8
READY, DRAINING = "ready", "draining"


class MachineEnd(Enum):
    """How a machine ended, which determines how its address behaves."""

    REFUSES = auto()
    """It crashed, and its address refuses connections."""
    SILENT = auto()
    """It crashed, its address does not respond, and its connections hang."""
    LEFT = auto()
    """It left as planned; its address refuses connections."""


@dataclass(eq=False)
class Machine:
    """One incarnation of a service machine.

    `work_factor` multiplies the time that a request takes. `failing_share`, `slow_share`, `stray_share` and
    `lost_share` are the shares of its responses that fail, take eight times as long, carry the id of another
    request, or are lost after the execution.
    """

    id: str
    service: str
    address: str
    zone: str
    version: str = "v1"
    slots: int = 4
    work_factor: float = 1.0
    max_connections: int = 40
    started_at: float = 0.0
    state: str = READY
    end: MachineEnd | None = None
    failing_share: float = 0.0
    slow_share: float = 0.0
    stray_share: float = 0.0
    lost_share: float = 0.0
    running: int = 0
    heartbeats: int = 0
    queue: list[asyncio.Future[None]] = field(default_factory=list)
    # A dict in place of a set keeps the order of insertion, so that days are reproducible.
    connections: dict[MachineConnection, None] = field(default_factory=dict)

    def next_heartbeat(self, now: float) -> dict[str, object]:
        """Return the body of the next heartbeat."""
        self.heartbeats += 1
        return {
            "svc": self.service,
            "addr": self.address,
            "zone": self.zone,
            "ver": self.version,
            "slots": self.slots,
            "state": self.state,
            "cold_left_s": max(0.0, self.started_at + WARM_UP_S - now),
            "seq": self.heartbeats,
        }

    def stop(self, end: MachineEnd) -> None:
        """End the machine; requests in progress are lost. Connections hang if it is SILENT, or else close."""
        self.end = end
        if end is not MachineEnd.SILENT:
            for connection in list(self.connections):
                connection.close()

    async def acquire_slot(self) -> bool:
        """Wait for a free slot and take it; return False at once if the queue is full."""
        if self.running >= self.slots:
            if len(self.queue) >= MAX_QUEUE:
                return False
            await self._wait_in_queue()
        self.running += 1
        return True

    async def _wait_in_queue(self) -> None:
        turn: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self.queue.append(turn)
        try:
            await turn
        except asyncio.CancelledError:
            if not turn.cancelled():  # the slot was already assigned to this request: pass it on
                self._wake_next()
            raise

    def release_slot(self) -> None:
        """Release a slot and wake the next request in the queue."""
        self.running -= 1
        self._wake_next()

    def _wake_next(self) -> None:
        while self.queue:
            turn = self.queue.pop(0)
            if not turn.done():
                turn.set_result(None)
                return
