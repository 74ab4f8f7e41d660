"""Faults of disks: lost, also right after an acknowledgement, slow, hanging, or refusing writes."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from http import HTTPStatus
from random import Random
from typing import TYPE_CHECKING

from honeywood.gateway.controller.call import CallName
from honeywood.lab.emulator.faults.disturbance import (
    RESTART_S,
    disturb_while,
    restart,
    target_controllers,
    target_of,
)
from honeywood.lab.emulator.faults.fault import Fault
from honeywood.lab.emulator.faults.machines import target_machine
from honeywood.lab.emulator.fleet import DRAIN_ATTEMPTS
from honeywood.lab.emulator.loop import HEALTHY_DISK, REFUSING_AFTER_EFFECT, REFUSING_DISK, DiskFault
from honeywood.lab.emulator.machine import DRAINING, READY, Machine, MachineEnd
from honeywood.lab.emulator.rules.orders import ConfigurationOrder, RolloutOrder

if TYPE_CHECKING:
    from typing import Any, TypeAlias

    from honeywood.lab.emulator.emulated_day import EmulatedDay

    Continuation: TypeAlias = Coroutine[Any, Any, None]
    """What goes on after an order was sent and disks were lost."""

HANGING_DISK, SLOW_DISK = DiskFault(slowdown=1000.0), DiskFault(slowdown=30.0)
DISK_FAULTS = (REFUSING_DISK, REFUSING_AFTER_EFFECT, HANGING_DISK, SLOW_DISK)
EARLY_SHARE = 0.3
"""Of losses: they come before the acknowledgement, within MAX_EARLY_S."""
MAX_EARLY_S = 0.3
POWER_LOSS_SHARE = 0.6
"""Of losses of disks: all other controllers lose power, half of these times with all proxies."""
LONG_GRACE_S = 6.0
"""That a machine which drains serves on after drain_s, at times."""
ROLLOUT_S = 3.0


async def wipe_controllers(world: EmulatedDay, fault: Fault) -> None:
    """As many controllers as may fail lose their disks."""
    names = target_controllers(world, fault)
    await restart(world, names, fault.duration_s, True, names)


async def wipe_after_acknowledgement(world: EmulatedDay, fault: Fault) -> None:
    """The controller that acknowledges a version loses its disk at once.

    So do as many others as may fail, while the rest lose power.
    """
    await _send_configuration(world, fault, target_of(world.controllers, fault))
    wiped = target_controllers(world, fault) if fault.variant < 0.5 else []
    await restart(world, world.controllers, RESTART_S, True, wiped)


async def wipe_after_order(world: EmulatedDay, fault: Fault) -> None:
    """A controller loses its disk right after it acknowledged an order, or soon after the order was sent.

    As many others as may fail lose theirs, at times while all lose power. The order is a configuration, a
    rollout, a machine's draining, or its end.
    """
    chance = Random(fault.target)
    controller = target_of(world.controllers, fault)
    send = chance.choice((_send_configuration, _send_rollout, _send_draining, _send_leave))
    is_early = chance.random() < EARLY_SHARE
    sending = world.loop.create_task(send(world, fault, controller))
    if is_early:
        await asyncio.wait((sending,), timeout=MAX_EARLY_S * chance.random())
    else:
        await sending
    wiped = target_controllers(world, fault)
    without_power = list(world.controllers) if fault.variant < POWER_LOSS_SHARE else list(wiped)
    if fault.variant < POWER_LOSS_SHARE / 2:
        without_power += world.proxies
    await restart(world, without_power, RESTART_S, True, wiped)
    continuation = await sending
    if continuation is not None:
        await continuation


async def _send_configuration(world: EmulatedDay, fault: Fault, controller: str) -> Continuation | None:
    version = world.operators.next_version()
    body = world.operators.configuration(version)
    order = ConfigurationOrder.of(version, body)
    await world.operators.send_once(order, CallName.REPLACE_CONFIGURATION, body, controller)
    return None


async def _send_rollout(world: EmulatedDay, fault: Fault, controller: str) -> Continuation | None:
    """Order a rollout of a service of its own, so that it meets no other one."""
    version = world.operators.next_version()
    world.operators.service_versions.append(version)
    if await world.operators.configure(version, timeout_s=fault.duration_s):
        service = f"n{version}"
        body = {"svc": service, "to_ver": "v1", "over_s": ROLLOUT_S}
        order = RolloutOrder(service, "v1")
        await world.operators.send_once(order, CallName.START_ROLLOUT, body, controller)
    return None


def _begin_draining(world: EmulatedDay, fault: Fault) -> Machine | None:
    """Return the machine that drains from now on, another in its place; None where it isn't ready."""
    machine = target_machine(world, fault)
    if machine is None or machine.state != READY:
        return None
    world.fleet.start(machine.service, version=machine.version)
    machine.state = DRAINING
    return machine


async def _send_draining(world: EmulatedDay, fault: Fault, controller: str) -> Continuation | None:
    """Report to one controller that a machine drains; it serves on for long, and leaves."""
    machine = _begin_draining(world, fault)
    if machine is None:
        return None
    body = machine.next_heartbeat(world.loop.time())
    result = await world.ask(controller, CallName.HEARTBEAT, machine.id, body)
    if result.status == HTTPStatus.OK:
        world.monitor.requests.on_draining(world.loop.time(), machine.id)
    return world.fleet.leave(machine, LONG_GRACE_S)


async def _send_leave(world: EmulatedDay, fault: Fault, controller: str) -> Continuation | None:
    """Report to one controller that a machine that has drained has ended."""
    machine = _begin_draining(world, fault)
    if machine is None:
        return None
    body = machine.next_heartbeat(world.loop.time())
    await world.fleet.call(CallName.HEARTBEAT, machine.id, body, DRAIN_ATTEMPTS)
    await asyncio.sleep(world.bounds["drain_s"])
    result = await world.ask(controller, CallName.LEAVE, machine.id, {})
    machine.stop(MachineEnd.LEFT)
    if result.status == HTTPStatus.OK:
        world.monitor.proxies.on_retired(world.loop.time(), machine.id)
    return None


async def refuse_writes(world: EmulatedDay, fault: Fault) -> None:
    """As many disks as may fail refuse all writes to the end of the day; the core is not disturbed."""
    for name in target_controllers(world, fault):
        world.monitor.context.disturb(world.loop.time(), name, False)
        world.set_disk_fault(name, REFUSING_DISK)


async def disturb_disk(world: EmulatedDay, fault: Fault) -> None:
    """A disk refuses writes, perhaps after their effect, hangs, or is slow; the core is not disturbed."""
    name = target_of(world.controllers, fault)
    world.set_disk_fault(name, DISK_FAULTS[int(fault.variant * len(DISK_FAULTS))])
    await disturb_while(world, fault, [name], False)
    world.set_disk_fault(name, HEALTHY_DISK)
