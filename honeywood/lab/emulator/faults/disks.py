"""Faults of disks: lost, right after an acknowledgement too, slow, hanging, or refusing."""

from honeywood.lab.emulator.faults.fault import RESTART_S, chosen, lasts, lost_controllers, restart
from honeywood.lab.emulator.loop import SPOILT
from honeywood.lab.emulator.rules import ConfigurationOrder

HANGING, SLOW = 1000.0, 30.0  # times that a disk is slower
TROUBLES = (None, SPOILT, HANGING, SLOW)


async def wipe_controller(world, fault):
    """As many controllers as may be lost lose their disks."""
    names = lost_controllers(world, fault)
    await restart(world, names, fault.for_s, True, names)


async def after_ack(world, fault):
    """The one that acknowledges a version loses its disk at once, with as many others as may, while the rest
    lose power."""
    operators, orders = world.operators, world.monitor.orders
    version = operators.next_version()
    wiped = lost_controllers(world, fault) if fault.variant < 0.5 else []
    body = operators.configuration(version)
    order = ConfigurationOrder.of(version, body)
    orders.sent(world.loop.time(), order)
    status, _ = await world.ask(chosen(world.controllers, fault), "config.replace", "", body)
    if status == 200:
        orders.acknowledged(world.loop.time(), order)
    else:
        orders.dropped(order)
    await restart(world, world.controllers, RESTART_S, True, wiped)


async def disk(world, fault):
    """A disk refuses writes, does them and refuses, hangs, or is slow: the core is settled all the while."""
    name = chosen(world.controllers, fault)
    world.disk(name, TROUBLES[int(fault.variant * len(TROUBLES))])
    await lasts(world, fault, [name], False)
    world.disk(name, 1.0)
