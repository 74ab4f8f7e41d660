"""Controllers that are removed for good, and new machines in their place."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from honeywood.lab.emulator.faults.disturbance import RESTART_S, restart, target_controllers
from honeywood.lab.emulator.faults.fault import Fault
from honeywood.lab.emulator.world import SEEDS

if TYPE_CHECKING:
    from honeywood.lab.emulator.emulated_day import EmulatedDay

SYNC_POLL_INTERVAL_S = 0.05
VARIANTS = 8
"""By which the fault's variant chooses the next controller that fails."""


async def remove_controllers(world: EmulatedDay, fault: Fault) -> None:
    """As many controllers as may fail are removed for good."""
    for name in target_controllers(world, fault):
        _remove(world, name)


async def replace_controller(world: EmulatedDay, fault: Fault) -> None:
    """A new machine with an empty disk takes the place of a controller.

    sync_s after its start as many others as may fail lose their disks, or are replaced in turn.
    """
    await _replace(world, target_controllers(world, fault)[0])
    others = len(world.controllers) - 1
    first = int(fault.variant * VARIANTS)
    names = [world.controllers[(first + offset) % others] for offset in range(world.tolerated_failures)]
    if fault.variant < 0.5:
        await restart(world, names, RESTART_S, True, names)
        return
    for name in names:
        await _replace(world, name)


def _remove(world: EmulatedDay, name: str) -> None:
    world.monitor.context.disturb(world.loop.time(), name, True)
    world.wipe(name)
    world.removed.add(name)
    world.controllers = tuple(other for other in world.controllers if other != name)


async def _replace(world: EmulatedDay, name: str) -> None:
    """Replace a controller, and wait until the new one has had its time to take part.

    That is sync_s since its start and since the core was last disturbed: a machine that was slowed or
    partitioned counts as lost for as long.
    """
    _remove(world, name)
    await asyncio.sleep(RESTART_S)
    world.replacements += 1
    replacement = f"c{world.replacements}"
    world.seeds[replacement] = list(world.controllers)[:SEEDS]
    world.controllers = (*world.controllers, replacement)
    world.start(replacement)
    context = world.monitor.context
    context.disturb(world.loop.time(), replacement, True)
    while world.loop.time() - context.core_disturbed_at < world.bounds["sync_s"]:
        await asyncio.sleep(SYNC_POLL_INTERVAL_S)
