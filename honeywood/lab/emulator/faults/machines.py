"""Faults of service machines and of clients."""

import asyncio

from honeywood.lab.emulator.machines import DARK, REFUSES

SHARE = 0.3  # of all machines that a fault of answers touches


async def crash(world, fault):
    """A machine crashes, and another starts in its place later."""
    machine = chosen_machine(world, fault)
    if machine:
        machine.crash(DARK if fault.variant < 0.5 else REFUSES)
        await asyncio.sleep(fault.for_s)
        world.fleet.start(machine.svc, ver=machine.ver)


async def drain(world, fault):
    """A machine leaves as planned, and another starts in its place."""
    machine = chosen_machine(world, fault)
    if machine and machine.state == "ready":
        world.fleet.start(machine.svc, ver=machine.ver)
        await world.fleet.drain(machine)


def chosen_machine(world, fault):
    """A machine by the fault's target, of a service by its variant; None where few are left."""
    service = "s" if fault.variant < 0.6 else "u"
    alive = sorted(world.machines.alive(service), key=lambda machine: machine.id)
    return alive[int(fault.target * len(alive))] if len(alive) > 2 else None


async def _touch(world, fault, attribute, value, usual=0.0):
    """Sets an attribute of some machines for a while; it is `usual` before and after."""
    machines = sorted(world.machines.alive(), key=lambda machine: machine.id)
    touched = [one for at, one in enumerate(machines) if (at * 0.37 + fault.target) % 1 < SHARE]
    for machine in touched:
        setattr(machine, attribute, value)
    await asyncio.sleep(fault.for_s)
    for machine in touched:
        setattr(machine, attribute, usual)


async def answers_lost(world, fault):
    """Machines run requests and their answers are lost."""
    await _touch(world, fault, "cuts", 0.1 + 0.4 * fault.variant)


async def garble(world, fault):
    """Machines answer with what belongs to another request."""
    await _touch(world, fault, "spoils", 0.1 + 0.4 * fault.variant)


async def ill(world, fault):
    """Machines fail a share of their requests."""
    await _touch(world, fault, "bad", 0.1 + 0.5 * fault.variant)


async def sluggish(world, fault):
    """Machines take many times as long as usual."""
    await _touch(world, fault, "pace", 5.0 + 20.0 * fault.variant, usual=1.0)


async def leaving(world, fault):
    """Clients leave, soon or only just before their time is up, and ask nothing again."""
    clients = world.clients
    clients.leaving, clients.leaves_within_s = 0.2 + 0.6 * fault.variant, 0.02 + 0.6 * fault.target
    await asyncio.sleep(fault.for_s)
    clients.leaving = 0.0


async def deaf(world, fault):
    """Clients don't heed what they are told."""
    world.clients.deaf = 0.3 + 0.6 * fault.variant
    await asyncio.sleep(fault.for_s)
    world.clients.deaf = 0.0
