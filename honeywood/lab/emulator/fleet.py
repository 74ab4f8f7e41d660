"""The life cycle of service machines: they start, send heartbeats to the controllers, drain and leave."""

from __future__ import annotations

import asyncio
import random
from http import HTTPStatus
from typing import TYPE_CHECKING

from honeywood.gateway.controller.call import CallName
from honeywood.lab.emulator.machine import (
    DRAINING,
    GRACE_S,
    HEARTBEAT_INTERVAL_S,
    Machine,
    MachineEnd,
)
from honeywood.lab.emulator.network import NO_RESPONSE, CallResult

if TYPE_CHECKING:
    from honeywood.lab.emulator.emulated_day import EmulatedDay

WORK_FACTORS = (0.8, 1.0, 1.0, 1.4)
HEARTBEAT_ATTEMPTS, DRAIN_ATTEMPTS, LEAVE_ATTEMPTS = 3, 8, 4
RETRY_STEP_S, MAX_RETRY_DELAY_S = 0.05, 0.5


class Fleet:
    """Starts machines in the zones of a world and makes their calls to its controllers."""

    def __init__(self, world: EmulatedDay, random: random.Random) -> None:
        """Create a fleet without machines; `random` draws their zones and speeds."""
        self._world = world
        self._random = random

    def start(
        self,
        service: str,
        *,
        version: str = "v1",
        failing_share: float = 0.0,
        slow_share: float = 0.0,
    ) -> Machine:
        """Start a machine that sends heartbeats until it ends, and return it."""
        zone = self._random.choice(self._world.zone_names)
        machine = self._world.machines.start(
            service,
            zone,
            version=version,
            work_factor=self._random.choice(WORK_FACTORS),
            failing_share=failing_share,
            slow_share=slow_share,
        )
        self._world.loop.create_task(self._send_heartbeats(machine))
        return machine

    async def _send_heartbeats(self, machine: Machine) -> None:
        while machine.end is None:
            body = machine.next_heartbeat(self._world.loop.time())
            await self.call(CallName.HEARTBEAT, machine.id, body, HEARTBEAT_ATTEMPTS)
            await asyncio.sleep(HEARTBEAT_INTERVAL_S * (0.9 + 0.2 * self._world.traffic_rng.random()))

    async def drain(self, machine: Machine) -> None:
        """End a machine as planned: it drains, continues to serve for a while, and leaves."""
        machine.state = DRAINING
        body = machine.next_heartbeat(self._world.loop.time())
        result = await self.call(CallName.HEARTBEAT, machine.id, body, DRAIN_ATTEMPTS)
        if result.status == HTTPStatus.OK:
            self._world.monitor.requests.on_draining(self._world.loop.time(), machine.id)
        await self.leave(machine, GRACE_S)

    async def leave(self, machine: Machine, grace_s: float) -> None:
        """End a draining machine after it has served for another drain_s plus `grace_s` seconds."""
        await asyncio.sleep(self._world.bounds["drain_s"] + grace_s)
        result = await self.call(CallName.LEAVE, machine.id, {}, LEAVE_ATTEMPTS)
        machine.stop(MachineEnd.LEFT)
        if result.status == HTTPStatus.OK:
            self._world.monitor.proxies.on_retired(self._world.loop.time(), machine.id)

    async def call(self, call: str, subject: str, body: object, max_attempts: int) -> CallResult:
        """Call controllers in random order until one responds, or `max_attempts` were made."""
        controllers = self._world.controllers
        names = self._world.traffic_rng.sample(controllers, len(controllers))
        for attempt in range(max_attempts):
            result = await self._world.ask(names[attempt % len(names)], call, subject, body)
            if result.status != NO_RESPONSE and result.status < HTTPStatus.INTERNAL_SERVER_ERROR:
                return result
            await asyncio.sleep(min(MAX_RETRY_DELAY_S, RETRY_STEP_S * (attempt + 1)))
        return CallResult(NO_RESPONSE, None)
