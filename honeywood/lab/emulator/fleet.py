"""The lives of service machines: they start, call the controllers of themselves, and leave as planned."""

import asyncio

from honeywood.lab.emulator.machines import HEARTBEAT_S, LEFT, SERVES_ON_S

PACES = (0.8, 1.0, 1.0, 1.4)  # how many times a machine's work takes
HEARTBEAT_TURNS, DRAIN_TURNS, LEAVE_TURNS = 3, 8, 4  # controllers that a call is tried at


class Fleet:
    """Starts machines in a world's zones and speaks for them to its controllers."""

    def __init__(self, world, chance):
        """`chance` draws zones and paces."""
        self.world, self.chance = world, chance

    def start(self, service, **more):
        """A machine that starts now and beats until it ends."""
        zone = self.chance.choice(self.world.zone_names)
        machine = self.world.machines.open(service, zone, pace=self.chance.choice(PACES), **more)
        self.world.loop.create_task(self._heartbeats(machine))
        return machine

    async def _heartbeats(self, machine):
        while not machine.gone:
            body = machine.heartbeat(self.world.loop.time())
            await self.call("instances.heartbeat", machine.id, body, HEARTBEAT_TURNS)
            await asyncio.sleep(HEARTBEAT_S * (0.9 + 0.2 * self.world.chance.random()))

    async def drain(self, machine):
        """A planned end: draining until acknowledged, then on for a while, then gone."""
        machine.state = "draining"
        body = machine.heartbeat(self.world.loop.time())
        status, _ = await self.call("instances.heartbeat", machine.id, body, DRAIN_TURNS)
        if status == 200:
            self.world.monitor.requests.left(self.world.loop.time(), machine.id)
        await self.leave(machine, SERVES_ON_S)

    async def leave(self, machine, serves_on_s):
        """The rest of a planned end: the machine serves on for drain_s and `serves_on_s`, and ends."""
        await asyncio.sleep(self.world.bounds["drain_s"] + serves_on_s)
        status, _ = await self.call("instances.leave", machine.id, {}, LEAVE_TURNS)
        machine.crash(LEFT)
        if status == 200:
            self.world.monitor.proxies.left(self.world.loop.time(), machine.id)

    async def call(self, call, of, body, turns):
        """A caller of ctl: one controller after the other until one answers; (status, answer)."""
        controllers = self.world.controllers
        names = self.world.chance.sample(controllers, len(controllers))
        for turn in range(turns):
            status, found = await self.world.ask(names[turn % len(names)], call, of, body)
            if status and status < 500:
                return status, found
            await asyncio.sleep(min(0.5, 0.05 * (turn + 1)))
        return 0, None
