"""What the causes of faults share: targets, restarts, and notes to the rules of what is disturbed."""

from __future__ import annotations

import asyncio
from collections.abc import Collection, Iterable, Sequence
from typing import TYPE_CHECKING

from honeywood.lab.emulator.faults.fault import Fault

if TYPE_CHECKING:
    from honeywood.lab.emulator.emulated_day import EmulatedDay
    from honeywood.lab.emulator.network import Link

RESTART_S = 0.6
"""After which a program that was killed is started again."""
START_SPREAD_S = 0.3
"""Within which several programs start, in any order."""
DISTURBANCE_INTERVAL_S = 0.25
"""Between two notes to the rules that a fault still lasts."""


def target_of(names: Iterable[str], fault: Fault) -> str:
    """Return the name that the fault's target stands for."""
    ordered = sorted(names)
    return ordered[int(fault.target * len(ordered))]


def target_controllers(world: EmulatedDay, fault: Fault) -> list[str]:
    """Return as many controllers as may fail at once, from the fault's target on."""
    names = sorted(world.controllers)
    first = int(fault.target * len(names))
    return [names[(first + offset) % len(names)] for offset in range(world.tolerated_failures)]


def links(sources: Iterable[str], targets: Collection[str]) -> set[Link]:
    """Return all directed links from some ends to others."""
    return {(source, target) for source in sources for target in targets if source != target}


async def restart(
    world: EmulatedDay,
    names: Sequence[str],
    pause_s: float,
    affects_core: bool,
    wiped: Collection[str] = (),
) -> None:
    """Terminate programs, lose the disks of those in `wiped`, and start them again after `pause_s`.

    `affects_core` tells whether the core counts as disturbed.
    """
    for name in names:
        world.monitor.context.disturb(world.loop.time(), name, affects_core)
        if name in wiped:
            world.wipe(name)
        else:
            world.kill(name)
    await asyncio.sleep(pause_s)
    await start_spread(world, names)
    for name in names:
        world.monitor.context.disturb(world.loop.time(), name, affects_core)


async def start_spread(world: EmulatedDay, names: Sequence[str]) -> None:
    """Start programs within START_SPREAD_S, in any order; one alone starts at once.

    One that another fault has started again meanwhile runs on.
    """
    spread_s = START_SPREAD_S if len(names) > 1 else 0.0
    starts = sorted((world.start_chance.uniform(0.0, spread_s), name) for name in names)
    began_at = world.loop.time()
    for delay_s, name in starts:
        await asyncio.sleep(max(0.0, began_at + delay_s - world.loop.time()))
        if name not in world.processes:
            world.start(name)


async def disturb_while(world: EmulatedDay, fault: Fault, names: Collection[str], affects_core: bool) -> None:
    """Wait until the fault is over, and note all the while which programs are disturbed."""
    end = world.loop.time() + fault.duration_s
    while world.loop.time() < end:
        _disturb(world, names, affects_core)
        await asyncio.sleep(DISTURBANCE_INTERVAL_S)
    _disturb(world, names, affects_core)


def _disturb(world: EmulatedDay, names: Collection[str], affects_core: bool) -> None:
    for name in names:
        world.monitor.context.disturb(world.loop.time(), name, affects_core)
