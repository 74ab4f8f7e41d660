"""Faults of service machines and of clients."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from honeywood.lab.emulator.faults.fault import Fault
from honeywood.lab.emulator.machine import READY, Machine, MachineEnd

if TYPE_CHECKING:
    from collections.abc import Callable

    from honeywood.lab.emulator.emulated_day import EmulatedDay

TOUCHED_SHARE = 0.3
"""Of all machines, by a fault of responses."""
SPREAD_STEP = 0.37
"""Spreads the touched machines over all."""
MIN_MACHINES = 3
"""Of a service, with fewer of which none is stopped."""
USUAL_WORK_FACTOR = 1.0


async def crash(world: EmulatedDay, fault: Fault) -> None:
    """A machine crashes, and another starts in its place later."""
    machine = target_machine(world, fault)
    if machine is not None:
        machine.stop(MachineEnd.SILENT if fault.variant < 0.5 else MachineEnd.REFUSES)
        await asyncio.sleep(fault.duration_s)
        world.fleet.start(machine.service, version=machine.version)


async def drain(world: EmulatedDay, fault: Fault) -> None:
    """A machine leaves as planned, and another starts in its place."""
    machine = target_machine(world, fault)
    if machine is not None and machine.state == READY:
        world.fleet.start(machine.service, version=machine.version)
        await world.fleet.drain(machine)


def target_machine(world: EmulatedDay, fault: Fault) -> Machine | None:
    """Return a machine by the fault's target, of a service by its variant; None where few are left."""
    service = "s" if fault.variant < 0.6 else "u"
    running = sorted(world.machines.running(service), key=lambda machine: machine.id)
    return running[int(fault.target * len(running))] if len(running) >= MIN_MACHINES else None


async def _change_machines(
    world: EmulatedDay, fault: Fault, change: Callable[[Machine], None], restore: Callable[[Machine], None]
) -> None:
    """Change some machines for the fault's duration."""
    machines = sorted(world.machines.running(), key=lambda machine: machine.id)
    touched = [
        machine
        for index, machine in enumerate(machines)
        if (index * SPREAD_STEP + fault.target) % 1 < TOUCHED_SHARE
    ]
    for machine in touched:
        change(machine)
    await asyncio.sleep(fault.duration_s)
    for machine in touched:
        restore(machine)


async def lose_responses(world: EmulatedDay, fault: Fault) -> None:
    """Machines execute requests and their responses are lost."""

    def set_share(machine: Machine, share: float) -> None:
        machine.lost_share = share

    await _set_share(world, fault, set_share, 0.1 + 0.4 * fault.variant)


async def send_stray_responses(world: EmulatedDay, fault: Fault) -> None:
    """Machines respond with what belongs to another request."""

    def set_share(machine: Machine, share: float) -> None:
        machine.stray_share = share

    await _set_share(world, fault, set_share, 0.1 + 0.4 * fault.variant)


async def fail_responses(world: EmulatedDay, fault: Fault) -> None:
    """Machines fail a share of their requests."""

    def set_share(machine: Machine, share: float) -> None:
        machine.failing_share = share

    await _set_share(world, fault, set_share, 0.1 + 0.5 * fault.variant)


async def _set_share(
    world: EmulatedDay, fault: Fault, set_share: Callable[[Machine, float], None], share: float
) -> None:
    await _change_machines(
        world, fault, lambda machine: set_share(machine, share), lambda machine: set_share(machine, 0.0)
    )


async def slow_machines(world: EmulatedDay, fault: Fault) -> None:
    """Machines take many times as long as usual."""

    def slow(machine: Machine) -> None:
        machine.work_factor = 5.0 + 20.0 * fault.variant

    def restore(machine: Machine) -> None:
        machine.work_factor = USUAL_WORK_FACTOR

    await _change_machines(world, fault, slow, restore)


async def disconnect_clients(world: EmulatedDay, fault: Fault) -> None:
    """Clients leave, soon or only just before their deadline, and don't retry."""
    clients = world.clients
    clients.disconnecting_share = 0.2 + 0.6 * fault.variant
    clients.max_stay_s = 0.02 + 0.6 * fault.target
    await asyncio.sleep(fault.duration_s)
    clients.disconnecting_share = 0.0


async def ignore_retry_limits(world: EmulatedDay, fault: Fault) -> None:
    """Clients ignore Retry-After and retry limits."""
    world.clients.non_compliant_share = 0.3 + 0.6 * fault.variant
    await asyncio.sleep(fault.duration_s)
    world.clients.non_compliant_share = 0.0
