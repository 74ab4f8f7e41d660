"""Disk faults: loss, also right after an acknowledgement, and disks that are slow, hang or refuse writes."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from http import HTTPStatus
from random import Random
from typing import TYPE_CHECKING

from honeywood.gateway.controller.call import CallName
from honeywood.lab.emulator.faults.disturbance import (
    RESTART_DELAY_S,
    record_until_fault_ends,
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
    """The steps that follow after an order was sent and disks were lost."""

HANGING_DISK, SLOW_DISK = DiskFault(slowdown=1000.0), DiskFault(slowdown=30.0)
DISK_FAULTS = (REFUSING_DISK, REFUSING_AFTER_EFFECT, HANGING_DISK, SLOW_DISK)
EARLY_SHARE = 0.3
"""The share of losses that occur within MAX_EARLY_S, without waiting for the acknowledgement."""
MAX_EARLY_S = 0.3
POWER_LOSS_SHARE = 0.6
"""The share of disk losses with which all controllers lose power; in half of these all proxies do as well."""
LONG_GRACE_S = 6.0
"""How much longer than drain_s a draining machine continues to serve in some days."""
ROLLOUT_S = 3.0


async def wipe_controllers(world: EmulatedDay, fault: Fault) -> None:
    """Delete the disks of as many controllers as may fail, and restart these after the fault's duration."""
    names = target_controllers(world, fault)
    await restart(world, names, fault.duration_s, True, names)


async def wipe_after_acknowledgement(world: EmulatedDay, fault: Fault) -> None:
    """Cut the power of all controllers once one of them acknowledges a configuration, and delete some disks.

    For a low variant, as many controllers as may fail lose their disks, starting with the one that was sent
    the configuration.
    """
    await _send_configuration(world, fault, target_of(world.controllers, fault))
    wiped = target_controllers(world, fault) if fault.variant < 0.5 else []
    await restart(world, world.controllers, RESTART_DELAY_S, True, wiped)


async def wipe_after_order(world: EmulatedDay, fault: Fault) -> None:
    """Delete a controller's disk right after it acknowledged an order, or soon after the order was sent.

    As many controllers as may fail lose their disks, including that one. For a low variant all controllers
    lose power at the same time. The order is a configuration, a rollout, a machine's draining, or its end.
    """
    rng = Random(fault.target)
    controller = target_of(world.controllers, fault)
    send = rng.choice((_send_configuration, _send_rollout, _send_draining, _send_leave))
    is_early = rng.random() < EARLY_SHARE
    sending = world.loop.create_task(send(world, fault, controller))
    if is_early:
        await asyncio.wait((sending,), timeout=MAX_EARLY_S * rng.random())
    else:
        await sending
    wiped = target_controllers(world, fault)
    without_power = list(world.controllers) if fault.variant < POWER_LOSS_SHARE else list(wiped)
    if fault.variant < POWER_LOSS_SHARE / 2:
        without_power += world.proxies
    await restart(world, without_power, RESTART_DELAY_S, True, wiped)
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
    """Order a rollout of a new service, so that it does not conflict with other rollouts."""
    version = world.operators.next_version()
    world.operators.service_versions.append(version)
    if await world.operators.configure(version, timeout_s=fault.duration_s):
        service = f"n{version}"
        body = {"svc": service, "to_ver": "v1", "over_s": ROLLOUT_S}
        order = RolloutOrder(service, "v1")
        await world.operators.send_once(order, CallName.START_ROLLOUT, body, controller)
    return None


def _begin_draining(world: EmulatedDay, fault: Fault) -> Machine | None:
    """Start to drain a machine and start its replacement; return the former, or None if it is not ready."""
    machine = target_machine(world, fault)
    if machine is None or machine.state != READY:
        return None
    world.fleet.start(machine.service, version=machine.version)
    machine.state = DRAINING
    return machine


async def _send_draining(world: EmulatedDay, fault: Fault, controller: str) -> Continuation | None:
    """Report to one controller that a machine drains; it continues to serve for LONG_GRACE_S and leaves."""
    machine = _begin_draining(world, fault)
    if machine is None:
        return None
    body = machine.next_heartbeat(world.loop.time())
    result = await world.ask(controller, CallName.HEARTBEAT, machine.id, body)
    if result.status == HTTPStatus.OK:
        world.monitor.requests.on_draining(world.loop.time(), machine.id)
    return world.fleet.leave(machine, LONG_GRACE_S)


async def _send_leave(world: EmulatedDay, fault: Fault, controller: str) -> Continuation | None:
    """Report to one controller that a drained machine has ended."""
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
    """Make as many disks as may fail refuse all writes until the end of the day.

    The core does not count as disturbed.
    """
    for name in target_controllers(world, fault):
        world.monitor.context.record_disturbance(world.loop.time(), name, False)
        world.set_disk_fault(name, REFUSING_DISK)


async def degrade_disk(world: EmulatedDay, fault: Fault) -> None:
    """Make a disk refuse writes (before or after they take effect), hang, or be slow for a while.

    The core does not count as disturbed.
    """
    name = target_of(world.controllers, fault)
    world.set_disk_fault(name, DISK_FAULTS[int(fault.variant * len(DISK_FAULTS))])
    await record_until_fault_ends(world, fault, [name], False)
    world.set_disk_fault(name, HEALTHY_DISK)
