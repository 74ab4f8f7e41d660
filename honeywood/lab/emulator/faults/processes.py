"""Faults of processes: killed, frozen, slowed, and clocks that step."""

from random import Random

from honeywood.lab.emulator.faults.fault import RESTART_S, chosen, lasts, lost_controllers, restart
from honeywood.lab.emulator.process import FROZEN

SEEDS = 3  # controllers that every program is told of at the first start
SLOWED = 30.0  # times that a slowed process is slower
LONGEST_STEP_S = 3600.0  # seconds that a clock steps at most


async def kill_front(world, fault):
    """A proxy is killed."""
    await restart(world, [chosen(world.fronts, fault)], RESTART_S, False)


async def kill_controller(world, fault):
    """As many controllers as may be lost are killed, and stay down for a while."""
    await restart(world, lost_controllers(world, fault), fault.for_s, True)


async def kill_all(world, fault):
    """All programs are killed at once."""
    await restart(world, world.controllers + world.fronts, RESTART_S, True)


async def kill_many(world, fault):
    """Many programs go in one moment, by a kill or a loss of power: all controllers; these and half of the
    proxies; the seeds and one proxy; or any of all. Their disks stay."""
    chance = Random(fault.target)
    core, fronts = sorted(world.controllers), sorted(world.fronts)
    everything = core + fronts
    names = (
        core,
        core + chance.sample(fronts, (len(fronts) + 1) // 2),
        core[:SEEDS] + chance.sample(fronts, 1),
        chance.sample(everything, chance.randrange(2, len(everything) + 1)),
    )[int(fault.variant * 4)]
    await restart(world, names, RESTART_S, any(name in core for name in names))


async def _held_back(world, fault, pace):
    """As many controllers as may be lost, or a proxy, or all proxies, run at `pace` for a while."""
    names = lost_controllers(world, fault) if fault.variant < 0.6 else [chosen(world.fronts, fault)]
    names = names if fault.variant < 0.9 else list(world.fronts)
    for name in names:
        world.hold(name, pace)
    await lasts(world, fault, names, fault.variant < 0.6)
    for name in names:
        world.hold(name, 1.0)


async def freeze(world, fault):
    """Processes run no more for a while."""
    await _held_back(world, fault, FROZEN)


async def slow(world, fault):
    """Processes run slowly for a while."""
    await _held_back(world, fault, SLOWED)


async def clock_step(world, fault):
    """A program's time of day steps, back or on, while it runs or is down."""
    name = chosen(world.controllers + world.fronts, fault)
    core = name in world.controllers
    step_s = (1 if fault.variant < 0.5 else -1) * LONGEST_STEP_S ** (2 * fault.variant % 1)
    if int(fault.variant * 20) % 2:
        world.skew[name] = world.skew.get(name, 0.0) + step_s
        world.monitor.core.disturb(world.loop.time(), name, core)
        return
    world.kill(name)
    world.skew[name] = world.skew.get(name, 0.0) + step_s
    await restart(world, [name], RESTART_S, core)
