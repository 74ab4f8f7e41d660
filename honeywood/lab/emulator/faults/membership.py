"""Controllers that go for good, and new machines in their place."""

import asyncio

from honeywood.lab.emulator.faults.fault import RESTART_S, lost_controllers, restart


async def remove(world, fault):
    """As many controllers as may be lost go for good."""
    for name in lost_controllers(world, fault):
        _leave(world, name)


async def replace(world, fault):
    """A controller goes for good and a new machine comes in its place, with an empty disk; sync_s after its
    start as many others as may be lost lose their disks, or are replaced in turn."""
    await _exchange(world, lost_controllers(world, fault)[0])
    others = len(world.controllers) - 1
    names = [world.controllers[(int(fault.variant * 8) + at) % others] for at in range(world.bear)]
    if fault.variant < 0.5:
        return await restart(world, names, RESTART_S, True, names)
    for name in names:
        await _exchange(world, name)


def _leave(world, name):
    world.monitor.core.disturb(world.loop.time(), name, True)
    world.wipe(name)
    world.gone.add(name)
    world.controllers = tuple(other for other in world.controllers if other != name)


async def _exchange(world, name):
    """Another machine in place of `name`, until it has had its time to take part: sync_s since its start, and
    since the last trouble of the core, for a machine that was slowed or cut off is lost as long."""
    _leave(world, name)
    await asyncio.sleep(RESTART_S)
    world.spares += 1
    spare = f"c{world.spares}"
    world.seeds[spare] = list(world.controllers)[:3]
    world.controllers += (spare,)
    world.start(spare)
    core = world.monitor.core
    core.disturb(world.loop.time(), spare, True)
    while world.loop.time() - core.settled_at < world.bounds["sync_s"]:
        await asyncio.sleep(0.05)
