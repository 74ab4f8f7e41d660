"""Orders of operators that meet one another: configurations and rollouts, late, twice, or at odds."""

import asyncio

COPIES = 8  # of one order at once, to any controllers
BAD_ANSWERS = {"bad": 0.5}  # what is wrong with the machines of a bad version
SLOW_ANSWERS = {"slow": 0.6}


async def configure(world, fault):
    """Two operators at once, and a late older change."""
    operators = world.operators
    version = operators.next_version(9)
    operators.next_version()
    await asyncio.gather(operators.configure(version), operators.configure(version + 1))
    await operators.configure(version - 3)


async def race(world, fault):
    """Two operators send two contents under one number, each until it is answered; answers may be lost."""
    operators = world.operators
    version, operators.unheard = operators.next_version(2), fault.variant / 2
    for_s = 4.0 + fault.for_s
    await asyncio.gather(*[operators.configure(version, mark, for_s=for_s) for mark in "xy"])
    operators.unheard = 0.0


async def orders(world, fault):
    """Eight copies of one order at once to all controllers, and answers are lost: a configuration that
    brings a service, then a rollout of that service at any controller."""
    operators = world.operators
    version, operators.unheard = operators.next_version(), 0.2 + fault.variant / 2
    operators.brought.append(version)
    if await operators.configure(version, copies=COPIES):
        await operators.start_rollout(f"n{version}", "v1", 3.0, copies=COPIES)
        await operators.configure(version)
    operators.unheard = 0.0


async def rollout_good(world, fault):
    """A rollout of a version that is well."""
    await world.operators.rollout("s", "v2", 6.0, {}, COPIES if fault.variant < 0.3 else 1)


async def rollout_bad(world, fault):
    """A rollout of a version whose answers fail or are slow."""
    await world.operators.rollout("s", "v2", 6.0, BAD_ANSWERS if fault.variant < 0.5 else SLOW_ANSWERS)


async def rollout_after(world, fault):
    """A version, soon another, and copies of the first order that come late, while they may (ack_s)."""
    operators, begun = world.operators, world.loop.time()
    wrong = BAD_ANSWERS if fault.variant < 0.5 else {}
    first = world.loop.create_task(operators.rollout("s", "v2", 5.0, wrong))
    await asyncio.sleep(0.2 + fault.for_s / 2)
    second = world.loop.create_task(operators.rollout("s", "v3", 5.0, {}))
    while world.loop.time() < begun + world.bounds["ack_s"] - 2.0:
        await asyncio.sleep(0.5)
        await operators.start_rollout("s", "v2", 5.0, for_s=0.5)
    await asyncio.gather(first, second)
