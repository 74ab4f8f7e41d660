"""Faults of service machines and of clients."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from honeywood.lab.emulator.faults.fault import Fault
from honeywood.lab.emulator.machine import READY, Machine, MachineEnd

if TYPE_CHECKING:
    from collections.abc import Callable

    from honeywood.lab.emulator.emulated_day import EmulatedDay

AFFECTED_SHARE = 0.3
"""The share of all machines that is affected by a fault of responses."""
SPREAD_STEP = 0.37
"""Distributes the affected machines evenly over all machines."""
MIN_MACHINES = 3
"""No machine of a service with fewer running machines is stopped."""
USUAL_WORK_FACTOR = 1.0


async def crash(world: EmulatedDay, fault: Fault) -> None:
    """Crash a machine, and start a replacement after the fault's duration."""
    machine = target_machine(world, fault)
    if machine is not None:
        machine.stop(MachineEnd.SILENT if fault.variant < 0.5 else MachineEnd.REFUSES)
        await asyncio.sleep(fault.duration_s)
        world.fleet.start(machine.service, version=machine.version)


async def drain(world: EmulatedDay, fault: Fault) -> None:
    """Drain a machine as planned, and start a replacement."""
    machine = target_machine(world, fault)
    if machine is not None and machine.state == READY:
        world.fleet.start(machine.service, version=machine.version)
        await world.fleet.drain(machine)


def target_machine(world: EmulatedDay, fault: Fault) -> Machine | None:
    """Return the machine selected by a fault; None if too few are running.

    The fault's variant selects the service and its target the machine.
    """
    service = "s" if fault.variant < 0.6 else "u"
    running = sorted(world.machines.running(service), key=lambda machine: machine.id)
    return running[int(fault.target * len(running))] if len(running) >= MIN_MACHINES else None


async def _change_machines(
    world: EmulatedDay, fault: Fault, change: Callable[[Machine], None], restore: Callable[[Machine], None]
) -> None:
    """Change a share of the machines for the fault's duration, and then restore them."""
    machines = sorted(world.machines.running(), key=lambda machine: machine.id)
    affected = [
        machine
        for index, machine in enumerate(machines)
        if (index * SPREAD_STEP + fault.target) % 1 < AFFECTED_SHARE
    ]
    for machine in affected:
        change(machine)
    await asyncio.sleep(fault.duration_s)
    for machine in affected:
        restore(machine)


async def lose_responses(world: EmulatedDay, fault: Fault) -> None:
    """Make machines lose a share of their responses after they executed the requests."""

    def set_share(machine: Machine, share: float) -> None:
        machine.lost_share = share

    await _set_share(world, fault, set_share, 0.1 + 0.4 * fault.variant)


async def send_stray_responses(world: EmulatedDay, fault: Fault) -> None:
    """Make machines send responses that carry the id of another request."""

    def set_share(machine: Machine, share: float) -> None:
        machine.stray_share = share

    await _set_share(world, fault, set_share, 0.1 + 0.4 * fault.variant)


async def fail_responses(world: EmulatedDay, fault: Fault) -> None:
    """Make machines fail a share of their requests."""

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
    """Make machines 5 to 25 times as slow as usual."""

    def slow(machine: Machine) -> None:
        machine.work_factor = 5.0 + 20.0 * fault.variant

    def restore(machine: Machine) -> None:
        machine.work_factor = USUAL_WORK_FACTOR

    await _change_machines(world, fault, slow, restore)


async def disconnect_clients(world: EmulatedDay, fault: Fault) -> None:
    """Make clients disconnect, early or only shortly before their deadline, without a retry."""
    clients = world.clients
    clients.disconnecting_share = 0.2 + 0.6 * fault.variant
    clients.max_disconnect_after_s = 0.02 + 0.6 * fault.target
    await asyncio.sleep(fault.duration_s)
    clients.disconnecting_share = 0.0


async def ignore_retry_limits(world: EmulatedDay, fault: Fault) -> None:
    """Make clients ignore Retry-After and retry limits."""
    world.clients.non_compliant_share = 0.3 + 0.6 * fault.variant
    await asyncio.sleep(fault.duration_s)
    world.clients.non_compliant_share = 0.0
