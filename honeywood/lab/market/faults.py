"""What goes wrong in a day, drawn by seed and caused on its clock. All faults are within what must be
borne: at most `bear` disks are lost or down for long at once, the rest comes back."""

import asyncio
import json
from dataclasses import dataclass


AGAIN_S = 0.6  # seconds after which a process that was killed is started again


@dataclass(frozen=True, slots=True)
class Fault:
    """`kind` at `at` seconds of traffic for `for_s`; `pick` (0 to 1) says who, `x` how strong or which
    form."""

    kind: str
    at: float
    for_s: float
    pick: float
    x: float


def version_of(text):
    return json.loads(text)["ver"]


def draw(chance, day):
    """One to six faults."""
    found = []
    for _ in range(chance.randrange(1, 7)):
        kind = chance.choice(sorted(CAUSES))
        if any(kind in group and fault.kind in group for group in (LARGE, ROLLOUTS) for fault in found):
            continue
        at, for_s = chance.uniform(0.5, day.seconds - 1.0), chance.uniform(0.5, 3.0)
        found.append(Fault(kind, round(at, 3), round(for_s, 3), chance.random(), chance.random()))
    return tuple(sorted(found, key=lambda fault: fault.at))


def one(names, fault):
    return sorted(names)[int(fault.pick * len(names))] if names else None


async def down(world, names, for_s, core, wiped=()):
    """Programs end at once, those in `wiped` without their disks, and start again."""
    for name in names:
        world.book.disturb(world.loop.time(), name, core)
        world.wipe(name) if name in wiped else world.kill(name)
    await asyncio.sleep(for_s)
    for name in names:
        world.start(name)
        world.book.disturb(world.loop.time(), name, core)


async def kill_front(world, fault):
    await down(world, [one(world.fronts, fault)], AGAIN_S, False)


def lost(world, fault):
    """As many bourses as may be lost at once."""
    names, first = sorted(world.bourses), int(fault.pick * len(world.bourses))
    return [names[(first + n) % len(names)] for n in range(world.bear)]


async def kill_bourse(world, fault):
    await down(world, lost(world, fault), fault.for_s, True)


async def wipe_bourse(world, fault):
    names = lost(world, fault)
    await down(world, names, fault.for_s, True, names)


async def after_ack(world, fault):
    """The one that acknowledges a version loses its disk at once, with as many others as may, while the rest
    lose power."""
    version, wiped = 100 + int(fault.x * 100), lost(world, fault) if fault.x < 0.5 else []
    name = one(world.bourses, fault)
    status, _ = await world.ask(name, "config.replace", "", world.configuration(version))
    if status == 200:
        world.book.acknowledged(world.loop.time(), version)
    await down(world, world.bourses, AGAIN_S, True, wiped)


async def kill_all(world, fault):
    await down(world, world.bourses + world.fronts, AGAIN_S, True)


async def cut(world, fault):
    """A program is cut off from all others, in one direction where x is low."""
    names = world.fronts + world.bourses
    name = one(names, fault)
    core, others = name in world.bourses, [other for other in names if other != name]
    pairs = {(name, other) for other in others}
    if fault.x > 0.4:
        pairs |= {(other, name) for other in others}
    world.cuts |= pairs
    await _during(world, fault, [name], core)
    world.cuts -= pairs


async def _during(world, fault, names, core):
    until = world.loop.time() + fault.for_s
    while world.loop.time() < until:
        for name in names:
            world.book.disturb(world.loop.time(), name, core)
        await asyncio.sleep(0.25)
    for name in names:
        world.book.disturb(world.loop.time(), name, core)


async def lossy(world, fault):
    world.loss = 0.02 + 0.1 * fault.x
    await _during(world, fault, world.fronts + world.bourses, True)
    world.loss = 0.0


async def disk(world, fault):
    """A disk is slow, hangs, or refuses writes."""
    name = one(world.bourses, fault)
    world.disk(name, None if fault.x < 0.3 else 1000.0 if fault.x < 0.6 else 30.0)
    await _during(world, fault, [name], True)
    world.disk(name, 1.0)


async def crash(world, fault):
    machine = one_machine(world, fault)
    if machine:
        machine.crash("dark" if fault.x < 0.5 else "refuses")
        await asyncio.sleep(fault.for_s)
        world.machine(machine.svc, ver=machine.ver)


async def drain(world, fault):
    machine = one_machine(world, fault)
    if machine and machine.state == "ready":
        world.machine(machine.svc, ver=machine.ver)
        await world.drain(machine)


def one_machine(world, fault):
    alive = sorted(world.hall.alive("s" if fault.x < 0.6 else "u"), key=lambda machine: machine.id)
    return alive[int(fault.pick * len(alive))] if len(alive) > 2 else None


async def _some(world, fault, **how):
    machines = sorted(world.hall.alive(), key=lambda machine: machine.id)
    some = [m for n, m in enumerate(machines) if (n * 0.37 + fault.pick) % 1 < 0.3]
    for machine in some:
        for key, value in how.items():
            setattr(machine, key, value)
    await asyncio.sleep(fault.for_s)
    for machine in some:
        for key in how:
            setattr(machine, key, 0.0)


async def answers_lost(world, fault):
    await _some(world, fault, cuts=0.1 + 0.4 * fault.x)


async def garble(world, fault):
    await _some(world, fault, spoils=0.1 + 0.4 * fault.x)


async def ill(world, fault):
    await _some(world, fault, bad=0.1 + 0.5 * fault.x)


async def deaf(world, fault):
    """Clients that don't heed what they are told."""
    world.deaf = 0.3 + 0.6 * fault.x
    await asyncio.sleep(fault.for_s)
    world.deaf = 0.0


async def configure(world, fault):
    """Two operators at once, and a late older change."""
    version = 10 + int(fault.x * 80)
    await asyncio.gather(world.configure(version), world.configure(version + 1))
    await world.configure(version - 3)


async def rollout_good(world, fault):
    await world.rollout("s", "v2", 6.0, {})


async def rollout_bad(world, fault):
    await world.rollout("s", "v2", 6.0, {"bad": 0.5} if fault.x < 0.5 else {"slow": 0.6})


ROLLOUTS = ("rollout_good", "rollout_bad")
LARGE = ("after_ack", "kill_all", "wipe_bourse", "kill_bourse", "disk")  # one a day: what is lost stays borne
CAUSES = {
    cause.__name__: cause
    for cause in (
        kill_front,
        kill_bourse,
        wipe_bourse,
        after_ack,
        kill_all,
        cut,
        lossy,
        disk,
        crash,
        drain,
        answers_lost,
        garble,
        ill,
        deaf,
        configure,
        rollout_good,
        rollout_bad,
    )
}


async def cause(world, fault, begun):
    """Brings a fault about at its time."""
    await asyncio.sleep(begun + fault.at - world.loop.time())
    await CAUSES[fault.kind](world, fault)
