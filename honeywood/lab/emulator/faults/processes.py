"""Process faults: programs that are killed, frozen or slowed, and wall clocks that step."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING

from honeywood.lab.emulator.faults.disturbance import (
    RESTART_DELAY_S,
    record_until_fault_ends,
    restart,
    target_controllers,
    target_of,
)
from honeywood.lab.emulator.faults.fault import Fault
from honeywood.lab.emulator.process import FROZEN, FULL_SPEED
from honeywood.lab.emulator.world import SEED_COUNT

if TYPE_CHECKING:
    from honeywood.lab.emulator.emulated_day import EmulatedDay

SLOWDOWN = 30.0
MAX_CLOCK_STEP_S = 3600.0
CONTROLLERS_BELOW_VARIANT, ONE_PROXY_BELOW_VARIANT = 0.6, 0.9


async def kill_proxy(world: EmulatedDay, fault: Fault) -> None:
    """Kill and restart a proxy."""
    await restart(world, [target_of(world.proxies, fault)], RESTART_DELAY_S, False)


async def kill_controllers(world: EmulatedDay, fault: Fault) -> None:
    """Kill as many controllers as may fail, and restart them after the fault's duration."""
    await restart(world, target_controllers(world, fault), fault.duration_s, True)


async def kill_all(world: EmulatedDay, fault: Fault) -> None:
    """Kill all programs at once and restart them."""
    await restart(world, [*world.controllers, *world.proxies], RESTART_DELAY_S, True)


async def kill_many(world: EmulatedDay, fault: Fault) -> None:
    """Kill many programs at once, as in a power failure, and restart them with their disks.

    The variant selects all controllers; all controllers and half of the proxies; the seed controllers and one
    proxy; or a random subset of all programs.
    """
    rng = Random(fault.target)
    core, proxies = sorted(world.controllers), sorted(world.proxies)
    everything = core + proxies
    names = (
        core,
        core + rng.sample(proxies, (len(proxies) + 1) // 2),
        core[:SEED_COUNT] + rng.sample(proxies, 1),
        rng.sample(everything, rng.randrange(2, len(everything) + 1)),
    )[int(fault.variant * 4)]
    await restart(world, names, RESTART_DELAY_S, any(name in core for name in names))


async def freeze(world: EmulatedDay, fault: Fault) -> None:
    """Freeze processes for a while."""
    await _slow_down(world, fault, FROZEN)


async def slow(world: EmulatedDay, fault: Fault) -> None:
    """Slow processes down for a while."""
    await _slow_down(world, fault, SLOWDOWN)


async def _slow_down(world: EmulatedDay, fault: Fault, slowdown: float) -> None:
    """Slow down as many controllers as may fail, one proxy, or all proxies for the fault's duration."""
    affects_core = fault.variant < CONTROLLERS_BELOW_VARIANT
    if affects_core:
        names = target_controllers(world, fault)
    elif fault.variant < ONE_PROXY_BELOW_VARIANT:
        names = [target_of(world.proxies, fault)]
    else:
        names = list(world.proxies)
    for name in names:
        world.set_slowdown(name, slowdown)
    await record_until_fault_ends(world, fault, names, affects_core)
    for name in names:
        world.set_slowdown(name, FULL_SPEED)


async def step_clock(world: EmulatedDay, fault: Fault) -> None:
    """Step a program's wall clock backward or forward, either while it runs or during a restart."""
    name = target_of([*world.controllers, *world.proxies], fault)
    affects_core = name in world.controllers
    direction = 1 if fault.variant < 0.5 else -1
    step_s = direction * MAX_CLOCK_STEP_S ** (2 * fault.variant % 1)
    offset_s = world.clock_offsets_s.get(name, 0.0) + step_s
    is_running = int(fault.variant * 20) % 2 == 1
    if is_running:
        world.clock_offsets_s[name] = offset_s
        world.monitor.context.record_disturbance(world.loop.time(), name, affects_core)
        return
    world.kill(name)
    world.clock_offsets_s[name] = offset_s
    await restart(world, [name], RESTART_DELAY_S, affects_core)
