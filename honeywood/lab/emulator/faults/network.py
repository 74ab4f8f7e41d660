"""Faults of the network: programs cut off, one way or both, calls that are lost or come twice."""

import asyncio
from random import Random

from honeywood.lab.emulator.faults.fault import RESTART_S, chosen, lasts, links, lost_controllers, restart
from honeywood.lab.emulator.network import OUTSIDE


async def cut(world, fault):
    """A program is cut off from all others, in one direction where the variant is low."""
    names = world.fronts + world.controllers
    name = chosen(names, fault)
    core, others = name in world.controllers, [other for other in names if other != name]
    cut_links = links([name], others)
    if fault.variant > 0.4:
        cut_links |= links(others, [name])
    world.cuts |= cut_links
    await lasts(world, fault, [name], core)
    world.cuts -= cut_links


async def lossy(world, fault):
    """A share of all calls and answers is lost."""
    world.loss = 0.02 + 0.1 * fault.variant
    await lasts(world, fault, world.fronts + world.controllers, True)
    world.loss = 0.0


async def sever(world, fault):
    """Some can't reach others, in one direction or both (see `_severed`)."""
    chance = Random(fault.target)
    one_way = int(fault.variant * 10) % 2
    sources, targets = _severed(world, fault, chance)
    cut_links = links(sources, targets) if chance.random() < 0.5 else links(targets, sources)
    cut_links |= set() if one_way else {(target, source) for source, target in cut_links}
    core = list(world.controllers)
    between = any(source in core and target in core for source, target in cut_links)
    touched = sorted({name for link in cut_links for name in link} - {OUTSIDE})
    world.cuts |= cut_links
    await lasts(world, fault, touched, between)
    world.cuts -= cut_links


def _severed(world, fault, chance):
    """The two sides of a cut: any sets; controllers and all outside; controllers and the other controllers;
    controllers and all proxies; a minority of controllers with half of the proxies, and the rest."""
    core, fronts = list(world.controllers), list(world.fronts)
    few = lost_controllers(world, fault)
    rest = [name for name in core if name not in few]
    form = int(fault.variant * 10) // 2
    if form == 0:
        names = core + fronts + [OUTSIDE]
        sources = chance.sample(names, chance.randrange(1, 3))
        return sources, chance.sample(names, chance.randrange(1, len(names)))
    half = chance.sample(fronts, len(fronts) // 2)
    if form == 4:
        return few + half, rest + [name for name in fronts if name not in half]
    return few, {1: [OUTSIDE], 2: rest, 3: fronts}[form]


async def seeds_cut(world, fault):
    """A controller is cut off from all but the outside; a proxy, or another controller, starts anew whose
    seeds begin with it, or it starts anew itself meanwhile."""
    name = chosen(world.controllers, fault)
    names = [other for other in world.controllers + world.fronts if other != name]
    others = [other for other in world.controllers if other != name]
    restarted = (name, others[0], world.fronts[0])[int(fault.variant * 3)]
    cut_links = links([name], names) | links(names, [name])
    world.cuts |= cut_links
    world.seeds[restarted] = [name, *others][:3]
    core = restarted in world.controllers
    restarting = world.loop.create_task(restart(world, [restarted], RESTART_S, core))
    await lasts(world, fault, [name, restarted], True)
    await restarting
    world.cuts -= cut_links
    world.monitor.core.disturb(world.loop.time(), name, True)


async def copies(world, fault):
    """Calls come a second time, seconds later."""
    world.copies = 0.05 + 0.4 * fault.variant
    await asyncio.sleep(fault.for_s)
    world.copies = 0.0
