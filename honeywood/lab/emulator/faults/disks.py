"""Faults of disks: lost, right after an acknowledgement too, slow, hanging, or refusing."""

import asyncio
from random import Random

from honeywood.lab.emulator.faults.fault import RESTART_S, chosen, lasts, lost_controllers, restart
from honeywood.lab.emulator.faults.machines import chosen_machine
from honeywood.lab.emulator.fleet import DRAIN_TURNS
from honeywood.lab.emulator.loop import SPOILT
from honeywood.lab.emulator.machines import LEFT
from honeywood.lab.emulator.rules import ConfigurationOrder, RolloutOrder

HANGING, SLOW = 1000.0, 30.0  # times that a disk is slower
TROUBLES = (None, SPOILT, HANGING, SLOW)
EARLY_SHARE, EARLY_S = (
    0.3,
    0.3,
)  # share of losses that come before the acknowledgement, within so many seconds
POWER_SHARE = 0.6  # of losses of disks while all other controllers lose power, half of them with all proxies
LINGERS_S = 6.0  # seconds that a machine which leaves serves on after drain_s, at times


async def wipe_controller(world, fault):
    """As many controllers as may be lost lose their disks."""
    names = lost_controllers(world, fault)
    await restart(world, names, fault.for_s, True, names)


async def after_ack(world, fault):
    """The one that acknowledges a version loses its disk at once, with as many others as may, while the rest
    lose power."""
    await _send_configuration(world, fault, chosen(world.controllers, fault))
    wiped = lost_controllers(world, fault) if fault.variant < 0.5 else []
    await restart(world, world.controllers, RESTART_S, True, wiped)


async def lost_after_order(world, fault):
    """Right after an order's acknowledgement, or soon after it was sent, the controller that it was sent to
    loses its disk with as many others as may, at times while all others lose power: a configuration, a
    rollout, a machine that says that it leaves, or one that has left."""
    chance = Random(fault.target)
    controller = chosen(world.controllers, fault)
    send = chance.choice((_send_configuration, _send_rollout, _send_draining, _send_leave))
    early = chance.random() < EARLY_SHARE
    sending = world.loop.create_task(send(world, fault, controller))
    if early:
        await asyncio.wait((sending,), timeout=EARLY_S * chance.random())
    else:
        await sending
    wiped = lost_controllers(world, fault)
    without_power = world.controllers if fault.variant < POWER_SHARE else wiped
    if fault.variant < POWER_SHARE / 2:
        without_power += world.fronts
    await restart(world, without_power, RESTART_S, True, wiped)
    after = await sending
    if after is not None:
        await after


async def _send_configuration(world, fault, controller):
    version = world.operators.next_version()
    body = world.operators.configuration(version)
    order = ConfigurationOrder.of(version, body)
    await world.operators.send_once(order, "config.replace", body, controller)


async def _send_rollout(world, fault, controller):
    """A rollout of a service of its own, so that it meets no other one."""
    version = world.operators.next_version()
    world.operators.brought.append(version)
    if await world.operators.configure(version, for_s=fault.for_s):
        body = {"svc": f"n{version}", "to_ver": "v1", "over_s": 3.0}
        order = RolloutOrder(f"n{version}", "v1")
        await world.operators.send_once(order, "rollouts.start", body, controller)


def _begin_draining(world, fault):
    """The machine that drains from now on, another in its place; None where the chosen one isn't ready."""
    machine = chosen_machine(world, fault)
    if machine is None or machine.state != "ready":
        return None
    world.fleet.start(machine.svc, ver=machine.ver)
    machine.state = "draining"
    return machine


async def _send_draining(world, fault, controller):
    """A machine that says to one controller that it leaves, and serves on for long; what it does then."""
    machine = _begin_draining(world, fault)
    if machine is None:
        return None
    body = machine.heartbeat(world.loop.time())
    status, _ = await world.ask(controller, "instances.heartbeat", machine.id, body)
    if status == 200:
        world.monitor.requests.left(world.loop.time(), machine.id)
    return world.fleet.leave(machine, LINGERS_S)


async def _send_leave(world, fault, controller):
    """A machine that has drained says to one controller that it has ended."""
    machine = _begin_draining(world, fault)
    if machine is None:
        return None
    body = machine.heartbeat(world.loop.time())
    await world.fleet.call("instances.heartbeat", machine.id, body, DRAIN_TURNS)
    await asyncio.sleep(world.bounds["drain_s"])
    status, _ = await world.ask(controller, "instances.leave", machine.id, {})
    machine.crash(LEFT)
    if status == 200:
        world.monitor.proxies.left(world.loop.time(), machine.id)
    return None


async def disk_refuses(world, fault):
    """As many disks as may be lost refuse all writes from now on, to the end of the day: the core is settled
    all the while."""
    for name in lost_controllers(world, fault):
        world.monitor.core.disturb(world.loop.time(), name, False)
        world.disk(name, None)


async def disk(world, fault):
    """A disk refuses writes, does them and refuses, hangs, or is slow: the core is settled all the while."""
    name = chosen(world.controllers, fault)
    world.disk(name, TROUBLES[int(fault.variant * len(TROUBLES))])
    await lasts(world, fault, [name], False)
    world.disk(name, 1.0)
