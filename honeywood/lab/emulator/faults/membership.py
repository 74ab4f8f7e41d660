"""Membership faults: controllers that are removed permanently, replaced by new ones, or restarted in turn."""

from __future__ import annotations

import asyncio
from enum import IntEnum
from typing import TYPE_CHECKING

from honeywood.lab.emulator.faults.disturbance import (
    MAX_DURATION_S,
    RESTART_DELAY_S,
    restart,
    target_controllers,
)
from honeywood.lab.emulator.faults.fault import Fault
from honeywood.lab.emulator.world import SEED_COUNT

if TYPE_CHECKING:
    from collections.abc import Iterable

    from honeywood.lab.emulator.emulated_day import EmulatedDay

SYNC_POLL_INTERVAL_S = 0.05
VARIANTS = 8
"""The number of values by which the fault's variant selects the next controllers that fail."""

MAX_LEAD_S = 5.0
"""The maximum time by which a successor starts before its predecessor is stopped as planned."""
KILL_AFTER_S = 0.15
"""The time after SIGTERM within which a predecessor that ends in the middle of its handover is killed."""
END_STEPS = 997
"""The number of intervals of the fault's target that select in turn how the predecessor ends."""
RESTART_GAP_S = 3.0
"""The maximum pause between two restarts of controllers in turn."""


class PlannedEnd(IntEnum):
    """How the predecessor ends in a planned replacement."""

    SIGTERM = 0
    SILENT = 1
    KILLED_EARLY = 2
    """By SIGTERM, and is killed before it has handed over its place."""
    RETURNS = 3
    """By SIGTERM, and starts again with its disk after the next loss."""


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


async def replace_controller_as_planned(world: EmulatedDay, fault: Fault) -> None:
    """Start a successor, then stop its predecessor; later, as many other controllers as may fail are lost.

    They are lost once the predecessor has ended and sync_s has passed since the successor's start; after a
    predecessor that wasn't given the time to hand over its place, sync_s after its end.
    """
    predecessor = target_controllers(world, fault)[0]
    end = planned_end(fault.target)
    await _wait_until_undisturbed(world, world.controllers)
    _start_new(world)
    await asyncio.sleep(MAX_LEAD_S * fault.duration_s / MAX_DURATION_S)
    await _wait_until_undisturbed(world, world.controllers[:-1])
    await _end(world, predecessor, end, fault)
    world.controllers = tuple(name for name in world.controllers if name != predecessor)
    if end in (PlannedEnd.SILENT, PlannedEnd.KILLED_EARLY):
        await asyncio.sleep(world.bounds["sync_s"])
    await _wait_until_undisturbed(world, world.controllers)
    await _lose_others(world, fault)
    if end is PlannedEnd.RETURNS:
        world.removed.discard(predecessor)
        world.controllers = (*world.controllers, predecessor)
        world.start(predecessor)


def planned_end(target: float) -> PlannedEnd:
    """Return how the predecessor ends, which is independent of which controller the target selects."""
    return PlannedEnd(int(target * END_STEPS) % len(PlannedEnd))


async def restart_in_turn(world: EmulatedDay, fault: Fault) -> None:
    """Stop each controller with SIGTERM and start it again, one after the other; at times with a spare."""
    await _wait_until_undisturbed(world, world.controllers)
    if fault.target < 0.5:
        _start_new(world)
        await _wait_until_undisturbed(world, world.controllers)
    for name in world.controllers:
        await _terminate(world, name)
        await asyncio.sleep(RESTART_DELAY_S)
        world.start(name)
        world.monitor.context.record_disturbance(world.loop.time(), name, True)
        await asyncio.sleep(RESTART_GAP_S * fault.variant)


async def _end(world: EmulatedDay, name: str, end: PlannedEnd, fault: Fault) -> None:
    """End a predecessor; it doesn't start again."""
    world.removed.add(name)
    if end is PlannedEnd.KILLED_EARLY:
        world.loop.call_later(KILL_AFTER_S * fault.variant, world.kill, name)
    if end is PlannedEnd.SILENT:
        world.monitor.context.record_disturbance(world.loop.time(), name, True)
        world.kill(name)
    else:
        await _terminate(world, name)


async def _terminate(world: EmulatedDay, name: str) -> None:
    context = world.monitor.context
    context.record_disturbance(world.loop.time(), name, True)
    await world.terminate(name)
    context.record_disturbance(world.loop.time(), name, True)


async def _lose_others(world: EmulatedDay, fault: Fault) -> None:
    """Lose the disks of as many controllers as may fail, or replace these one after the other."""
    first = int(fault.variant * VARIANTS)
    names = [
        world.controllers[(first + offset) % len(world.controllers)]
        for offset in range(world.tolerated_failures)
    ]
    if fault.variant < 0.5:
        await restart(world, names, RESTART_DELAY_S, True, names)
        return
    for name in names:
        await _replace(world, name)


def _start_new(world: EmulatedDay) -> str:
    """Start a controller with an empty disk at a new address, and return its name."""
    world.replacements += 1
    name = f"c{world.replacements}"
    world.seeds[name] = list(world.controllers)[:SEED_COUNT]
    world.controllers = (*world.controllers, name)
    world.start(name)
    world.monitor.context.record_disturbance(world.loop.time(), name, True)
    return name


async def _wait_until_undisturbed(world: EmulatedDay, names: Iterable[str]) -> None:
    """Wait until none of the controllers counts as lost: sync_s after its start or latest disturbance."""
    context, names = world.monitor.context, tuple(names)
    while any(world.loop.time() - context.disturbed_at(name) < world.bounds["sync_s"] for name in names):
        await asyncio.sleep(SYNC_POLL_INTERVAL_S)


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
    _start_new(world)
    context = world.monitor.context
    while world.loop.time() - context.core_disturbed_at < world.bounds["sync_s"]:
        await asyncio.sleep(SYNC_POLL_INTERVAL_S)
