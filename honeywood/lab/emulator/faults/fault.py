"""The record of one fault, and what the causes of all kinds share."""

import asyncio
from dataclasses import dataclass

RESTART_S = 0.6  # seconds after which a process that was killed is started again
START_SPREAD_S = 0.3  # seconds within which several machines start, in any order
DISTURBED_EVERY_S = 0.25  # seconds between two notes to the rules that a fault still lasts


@dataclass(frozen=True, slots=True)
class Fault:
    """`kind` at `at_s` seconds of traffic for `for_s`; `target` (0 to 1) says who, `variant` (0 to 1) which
    form, or how strong."""

    kind: str
    at_s: float
    for_s: float
    target: float
    variant: float


def chosen(names, fault):
    """The one of `names` that the fault's target stands for; None where there is none."""
    return sorted(names)[int(fault.target * len(names))] if names else None


def lost_controllers(world, fault):
    """As many controllers as may be lost at once, from the fault's target on."""
    names, first = sorted(world.controllers), int(fault.target * len(world.controllers))
    return [names[(first + offset) % len(names)] for offset in range(world.bear)]


def links(sources, targets):
    """All directed links from some ends to others."""
    return {(source, target) for source in sources for target in targets if source != target}


async def restart(world, names, pause_s, core, wiped=()):
    """Programs end at once, those in `wiped` without their disks, and start again after `pause_s`, several
    of them in any order; `core` says whether the rules count it as trouble of the core."""
    for name in names:
        world.monitor.core.disturb(world.loop.time(), name, core)
        world.wipe(name) if name in wiped else world.kill(name)
    await asyncio.sleep(pause_s)
    await start_spread(world, names)
    for name in names:
        world.monitor.core.disturb(world.loop.time(), name, core)


async def start_spread(world, names):
    """Starts programs within START_SPREAD_S of each other, in any order; one alone starts at once. One that
    another fault has started again meanwhile runs on."""
    spread_s = START_SPREAD_S if len(names) > 1 else 0.0
    starts = sorted((world.starts.uniform(0.0, spread_s), name) for name in names)
    begun = world.loop.time()
    for at_s, name in starts:
        await asyncio.sleep(max(0.0, begun + at_s - world.loop.time()))
        if name not in world.processes:
            world.start(name)


async def lasts(world, fault, names, core):
    """Waits until the fault is over, and tells the rules all the while who is disturbed."""
    until = world.loop.time() + fault.for_s
    while world.loop.time() < until:
        for name in names:
            world.monitor.core.disturb(world.loop.time(), name, core)
        await asyncio.sleep(DISTURBED_EVERY_S)
    for name in names:
        world.monitor.core.disturb(world.loop.time(), name, core)
