"""Membership faults: controllers that are removed permanently or replaced by new ones."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from honeywood.lab.emulator.faults.disturbance import RESTART_DELAY_S, restart, target_controllers
from honeywood.lab.emulator.faults.fault import Fault
from honeywood.lab.emulator.world import SEED_COUNT

if TYPE_CHECKING:
    from honeywood.lab.emulator.emulated_day import EmulatedDay

SYNC_POLL_INTERVAL_S = 0.05
VARIANTS = 8
"""The number of values by which the fault's variant selects the next controllers that fail."""


async def remove_controllers(world: EmulatedDay, fault: Fault) -> None:
    """Remove as many controllers as may fail permanently."""
    for name in target_controllers(world, fault):
        _remove(world, name)


async def replace_controller(world: EmulatedDay, fault: Fault) -> None:
    """Replace a controller by a new one with an empty disk.

    sync_s after its start, as many other controllers as may fail lose their disks, or are replaced one after
    the other.
    """
    await _replace(world, target_controllers(world, fault)[0])
    others = len(world.controllers) - 1
    first = int(fault.variant * VARIANTS)
    names = [world.controllers[(first + offset) % others] for offset in range(world.tolerated_failures)]
    if fault.variant < 0.5:
        await restart(world, names, RESTART_DELAY_S, True, names)
        return
    for name in names:
        await _replace(world, name)


def _remove(world: EmulatedDay, name: str) -> None:
    world.monitor.context.record_disturbance(world.loop.time(), name, True)
    world.wipe(name)
    world.removed.add(name)
    world.controllers = tuple(other for other in world.controllers if other != name)


async def _replace(world: EmulatedDay, name: str) -> None:
    """Replace a controller, and wait for the time in which the new one must have joined.

    This is sync_s after its start and after the last disturbance of the core, because a controller that was
    slowed or partitioned counts as lost for the same time.
    """
    _remove(world, name)
    await asyncio.sleep(RESTART_DELAY_S)
    world.replacements += 1
    replacement = f"c{world.replacements}"
    world.seeds[replacement] = list(world.controllers)[:SEED_COUNT]
    world.controllers = (*world.controllers, replacement)
    world.start(replacement)
    context = world.monitor.context
    context.record_disturbance(world.loop.time(), replacement, True)
    while world.loop.time() - context.core_disturbed_at < world.bounds["sync_s"]:
        await asyncio.sleep(SYNC_POLL_INTERVAL_S)
