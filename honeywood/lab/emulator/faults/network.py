"""Network faults: partitions in one or both directions, and calls that are lost or duplicated."""

from __future__ import annotations

import asyncio
from random import Random
from typing import TYPE_CHECKING

from honeywood.lab.emulator.faults.disturbance import (
    RESTART_DELAY_S,
    links,
    record_until_fault_ends,
    restart,
    target_controllers,
    target_of,
)
from honeywood.lab.emulator.faults.fault import Fault
from honeywood.lab.emulator.network import OUTSIDE
from honeywood.lab.emulator.world import SEED_COUNT

if TYPE_CHECKING:
    from honeywood.lab.emulator.emulated_day import EmulatedDay

ONE_WAY_BELOW_VARIANT = 0.4


async def partition_program(world: EmulatedDay, fault: Fault) -> None:
    """Partition a program from all others; for a low variant only the messages that it sends are blocked."""
    names = [*world.proxies, *world.controllers]
    name = target_of(names, fault)
    others = [other for other in names if other != name]
    cut = links([name], others)
    if fault.variant > ONE_WAY_BELOW_VARIANT:
        cut |= links(others, [name])
    world.partitions |= cut
    await record_until_fault_ends(world, fault, [name], name in world.controllers)
    world.partitions -= cut


async def lose_messages(world: EmulatedDay, fault: Fault) -> None:
    """Lose a share of all calls and responses."""
    world.loss_share = 0.02 + 0.1 * fault.variant
    await record_until_fault_ends(world, fault, [*world.proxies, *world.controllers], True)
    world.loss_share = 0.0


async def partition_links(world: EmulatedDay, fault: Fault) -> None:
    """Block the links between two sets of programs, in one or both directions (see `_sides`)."""
    rng = Random(fault.target)
    is_one_way = int(fault.variant * 10) % 2 == 1
    sources, targets = _sides(world, fault, rng)
    cut = links(sources, targets) if rng.random() < 0.5 else links(targets, sources)
    if not is_one_way:
        cut |= {(target, source) for source, target in cut}
    core = set(world.controllers)
    affects_core = any(source in core and target in core for source, target in cut)
    affected = sorted({name for link in cut for name in link} - {OUTSIDE})
    world.partitions |= cut
    await record_until_fault_ends(world, fault, affected, affects_core)
    world.partitions -= cut


def _sides(world: EmulatedDay, fault: Fault, random: Random) -> tuple[list[str], list[str]]:
    """Return the two sides of a partition.

    The variant selects one of these forms: two random sets; a minority of the controllers against the
    outside, the other controllers, or all proxies; or a minority of the controllers with half of the proxies
    against all other programs.
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
    """Partition a controller from all programs while a program that has it as first seed is restarted.

    The restarted program is a proxy, another controller, or the partitioned one. Links to the outside stay.
    """
    name = target_of(world.controllers, fault)
    names = [other for other in (*world.controllers, *world.proxies) if other != name]
    others = [other for other in world.controllers if other != name]
    restarted = (name, others[0], world.proxies[0])[int(fault.variant * 3)]
    cut = links([name], names) | links(names, [name])
    world.partitions |= cut
    world.seeds[restarted] = [name, *others][:SEED_COUNT]
    affects_core = restarted in world.controllers
    restarting = world.loop.create_task(restart(world, [restarted], RESTART_DELAY_S, affects_core))
    await record_until_fault_ends(world, fault, [name, restarted], True)
    await restarting
    world.partitions -= cut
    world.monitor.context.record_disturbance(world.loop.time(), name, True)


async def duplicate_calls(world: EmulatedDay, fault: Fault) -> None:
    """Deliver a share of all calls a second time, seconds later."""
    world.duplicate_share = 0.05 + 0.4 * fault.variant
    await asyncio.sleep(fault.duration_s)
    world.duplicate_share = 0.0
