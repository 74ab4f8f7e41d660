"""Functions that faults share: selection of targets, restarts, and recording of disturbances."""

from __future__ import annotations

import asyncio
from collections.abc import Collection, Iterable, Sequence
from typing import TYPE_CHECKING

from honeywood.lab.emulator.faults.fault import Fault

if TYPE_CHECKING:
    from honeywood.lab.emulator.emulated_day import EmulatedDay
    from honeywood.lab.emulator.network import Link

MIN_DURATION_S, MAX_DURATION_S = 0.5, 3.0
"""The range from which the durations of faults are drawn."""
RESTART_DELAY_S = 0.6
"""The time after which a killed program is restarted."""
START_SPREAD_S = 0.3
"""The time within which several programs start, in random order."""
DISTURBANCE_INTERVAL_S = 0.25
"""The interval at which the rules are notified that a fault still lasts."""


def target_of(names: Iterable[str], fault: Fault) -> str:
    """Return the name that is selected by the fault's target."""
    ordered = sorted(names)
    return ordered[int(fault.target * len(ordered))]


def target_controllers(world: EmulatedDay, fault: Fault) -> list[str]:
    """Return as many controllers as may fail at once, starting at the one selected by the fault's target."""
    names = sorted(world.controllers)
    first = int(fault.target * len(names))
    return [names[(first + offset) % len(names)] for offset in range(world.tolerated_failures)]


def links(sources: Iterable[str], targets: Collection[str]) -> set[Link]:
    """Return all directed links from `sources` to `targets`."""
    return {(source, target) for source in sources for target in targets if source != target}


async def restart(
    world: EmulatedDay,
    names: Sequence[str],
    pause_s: float,
    affects_core: bool,
    wiped: Collection[str] = (),
) -> None:
    """Terminate programs, delete the disks of those in `wiped`, and restart all of them after `pause_s`.

    With `affects_core`, the core, that is the controllers as a group, counts as disturbed.
    """
    for name in names:
        world.monitor.context.record_disturbance(world.loop.time(), name, affects_core)
        if name in wiped:
            world.wipe(name)
        else:
            world.kill(name)
    await asyncio.sleep(pause_s)
    await start_spread(world, names)
    for name in names:
        world.monitor.context.record_disturbance(world.loop.time(), name, affects_core)


async def start_spread(world: EmulatedDay, names: Sequence[str]) -> None:
    """Start programs within START_SPREAD_S, in random order; a single program starts at once.

    A program that another fault has restarted in the meantime is not started again.
    """
    spread_s = START_SPREAD_S if len(names) > 1 else 0.0
    starts = sorted((world.start_rng.uniform(0.0, spread_s), name) for name in names)
    began_at = world.loop.time()
    for delay_s, name in starts:
        await asyncio.sleep(max(0.0, began_at + delay_s - world.loop.time()))
        if name not in world.processes:
            world.start(name)


async def record_until_fault_ends(
    world: EmulatedDay, fault: Fault, names: Collection[str], affects_core: bool
) -> None:
    """Wait until the fault is over, and record periodically that the programs are disturbed."""
    end = world.loop.time() + fault.duration_s
    while world.loop.time() < end:
        _record_disturbance(world, names, affects_core)
        await asyncio.sleep(DISTURBANCE_INTERVAL_S)
    _record_disturbance(world, names, affects_core)


def _record_disturbance(world: EmulatedDay, names: Collection[str], affects_core: bool) -> None:
    for name in names:
        world.monitor.context.record_disturbance(world.loop.time(), name, affects_core)
