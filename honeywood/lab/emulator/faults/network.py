"""Faults of the network: partitions, one way or both, and calls that are lost or duplicated."""

from __future__ import annotations

import asyncio
from random import Random
from typing import TYPE_CHECKING

from honeywood.lab.emulator.faults.disturbance import (
    RESTART_S,
    disturb_while,
    links,
    restart,
    target_controllers,
    target_of,
)
from honeywood.lab.emulator.faults.fault import Fault
from honeywood.lab.emulator.network import OUTSIDE
from honeywood.lab.emulator.world import SEEDS

if TYPE_CHECKING:
    from honeywood.lab.emulator.emulated_day import EmulatedDay

ONE_WAY_BELOW_VARIANT = 0.4


async def partition_program(world: EmulatedDay, fault: Fault) -> None:
    """A program is cut off from all others, in one direction where the variant is low."""
    names = [*world.proxies, *world.controllers]
    name = target_of(names, fault)
    others = [other for other in names if other != name]
    cut = links([name], others)
    if fault.variant > ONE_WAY_BELOW_VARIANT:
        cut |= links(others, [name])
    world.partitions |= cut
    await disturb_while(world, fault, [name], name in world.controllers)
    world.partitions -= cut


async def lose_messages(world: EmulatedDay, fault: Fault) -> None:
    """A share of all calls and responses is lost."""
    world.loss_share = 0.02 + 0.1 * fault.variant
    await disturb_while(world, fault, [*world.proxies, *world.controllers], True)
    world.loss_share = 0.0


async def partition_links(world: EmulatedDay, fault: Fault) -> None:
    """Some programs can't reach others, in one direction or both (see `_sides`)."""
    chance = Random(fault.target)
    is_one_way = int(fault.variant * 10) % 2 == 1
    sources, targets = _sides(world, fault, chance)
    cut = links(sources, targets) if chance.random() < 0.5 else links(targets, sources)
    if not is_one_way:
        cut |= {(target, source) for source, target in cut}
    core = set(world.controllers)
    affects_core = any(source in core and target in core for source, target in cut)
    touched = sorted({name for link in cut for name in link} - {OUTSIDE})
    world.partitions |= cut
    await disturb_while(world, fault, touched, affects_core)
    world.partitions -= cut


def _sides(world: EmulatedDay, fault: Fault, random: Random) -> tuple[list[str], list[str]]:
    """Return the two sides of a partition.

    They are any sets; or controllers and the outside, the other controllers, or all proxies; or a minority of
    controllers with half of the proxies, and the rest.
    """
    core, proxies = list(world.controllers), list(world.proxies)
    minority = target_controllers(world, fault)
    majority = [name for name in core if name not in minority]
    form = int(fault.variant * 10) // 2
    if form == 0:
        names = [*core, *proxies, OUTSIDE]
        sources = random.sample(names, random.randrange(1, 3))
        return sources, random.sample(names, random.randrange(1, len(names)))
    half = random.sample(proxies, len(proxies) // 2)
    if form == 4:
        other_half = [name for name in proxies if name not in half]
        return [*minority, *half], [*majority, *other_half]
    return minority, {1: [OUTSIDE], 2: majority, 3: proxies}[form]


async def partition_seed(world: EmulatedDay, fault: Fault) -> None:
    """A controller is cut off from all but the outside while a program with it as first seed is restarted.

    That is a proxy, another controller, or the partitioned one.
    """
    name = target_of(world.controllers, fault)
    names = [other for other in (*world.controllers, *world.proxies) if other != name]
    others = [other for other in world.controllers if other != name]
    restarted = (name, others[0], world.proxies[0])[int(fault.variant * 3)]
    cut = links([name], names) | links(names, [name])
    world.partitions |= cut
    world.seeds[restarted] = [name, *others][:SEEDS]
    affects_core = restarted in world.controllers
    restarting = world.loop.create_task(restart(world, [restarted], RESTART_S, affects_core))
    await disturb_while(world, fault, [name, restarted], True)
    await restarting
    world.partitions -= cut
    world.monitor.context.disturb(world.loop.time(), name, True)


async def duplicate_calls(world: EmulatedDay, fault: Fault) -> None:
    """Calls arrive a second time, seconds later."""
    world.duplicate_share = 0.05 + 0.4 * fault.variant
    await asyncio.sleep(fault.duration_s)
    world.duplicate_share = 0.0
