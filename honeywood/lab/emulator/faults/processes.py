"""Faults of processes: killed, frozen, slowed, and wall clocks that step."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING

from honeywood.lab.emulator.faults.disturbance import (
    RESTART_S,
    disturb_while,
    restart,
    target_controllers,
    target_of,
)
from honeywood.lab.emulator.faults.fault import Fault
from honeywood.lab.emulator.process import FROZEN, FULL_SPEED
from honeywood.lab.emulator.world import SEEDS

if TYPE_CHECKING:
    from honeywood.lab.emulator.emulated_day import EmulatedDay

SLOWDOWN = 30.0
MAX_CLOCK_STEP_S = 3600.0
CONTROLLERS_BELOW_VARIANT, ONE_PROXY_BELOW_VARIANT = 0.6, 0.9


async def kill_proxy(world: EmulatedDay, fault: Fault) -> None:
    """A proxy is killed."""
    await restart(world, [target_of(world.proxies, fault)], RESTART_S, False)


async def kill_controllers(world: EmulatedDay, fault: Fault) -> None:
    """As many controllers as may fail are killed, and stay down for a while."""
    await restart(world, target_controllers(world, fault), fault.duration_s, True)


async def kill_all(world: EmulatedDay, fault: Fault) -> None:
    """All programs are killed at once."""
    await restart(world, [*world.controllers, *world.proxies], RESTART_S, True)


async def kill_many(world: EmulatedDay, fault: Fault) -> None:
    """Many programs are killed, or lose power, at once; their disks stay.

    They are all controllers; these and half of the proxies; the seeds and one proxy; or any of all.
    """
    chance = Random(fault.target)
    core, proxies = sorted(world.controllers), sorted(world.proxies)
    everything = core + proxies
    names = (
        core,
        core + chance.sample(proxies, (len(proxies) + 1) // 2),
        core[:SEEDS] + chance.sample(proxies, 1),
        chance.sample(everything, chance.randrange(2, len(everything) + 1)),
    )[int(fault.variant * 4)]
    await restart(world, names, RESTART_S, any(name in core for name in names))


async def freeze(world: EmulatedDay, fault: Fault) -> None:
    """Processes don't run for a while."""
    await _slow_down(world, fault, FROZEN)


async def slow(world: EmulatedDay, fault: Fault) -> None:
    """Processes run slowly for a while."""
    await _slow_down(world, fault, SLOWDOWN)


async def _slow_down(world: EmulatedDay, fault: Fault, slowdown: float) -> None:
    """Slow down as many controllers as may fail, or a proxy, or all proxies, for a while."""
    affects_core = fault.variant < CONTROLLERS_BELOW_VARIANT
    if affects_core:
        names = target_controllers(world, fault)
    elif fault.variant < ONE_PROXY_BELOW_VARIANT:
        names = [target_of(world.proxies, fault)]
    else:
        names = list(world.proxies)
    for name in names:
        world.set_slowdown(name, slowdown)
    await disturb_while(world, fault, names, affects_core)
    for name in names:
        world.set_slowdown(name, FULL_SPEED)


async def step_clock(world: EmulatedDay, fault: Fault) -> None:
    """A program's wall clock steps, back or forward, while it runs or is down."""
    name = target_of([*world.controllers, *world.proxies], fault)
    affects_core = name in world.controllers
    direction = 1 if fault.variant < 0.5 else -1
    step_s = direction * MAX_CLOCK_STEP_S ** (2 * fault.variant % 1)
    offset_s = world.clock_offsets_s.get(name, 0.0) + step_s
    is_running = int(fault.variant * 20) % 2 == 1
    if is_running:
        world.clock_offsets_s[name] = offset_s
        world.monitor.context.disturb(world.loop.time(), name, affects_core)
        return
    world.kill(name)
    world.clock_offsets_s[name] = offset_s
    await restart(world, [name], RESTART_S, affects_core)
