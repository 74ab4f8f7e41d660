"""Which faults there are, how a day's are drawn by its seed, and how one is brought about at its time."""

import asyncio

from honeywood.lab.emulator.faults import disks, machines, membership, network, orders, processes
from honeywood.lab.emulator.faults.fault import Fault

DRAWN_S = 8.0  # seconds of traffic that get one fault at least, and most_faults of the day at most
ROLLOUTS = ("rollout_good", "rollout_bad", "rollout_after")
# one a day: what is lost stays borne
LARGE = (
    "after_ack",
    "lost_after_order",
    "kill_all",
    "wipe_controller",
    "kill_controller",
    "disk",
    "disk_refuses",
    "remove",
    "replace",
)
CAUSES = {
    cause.__name__: cause
    for cause in (
        processes.kill_front,
        processes.kill_controller,
        processes.kill_all,
        processes.kill_many,
        processes.freeze,
        processes.slow,
        processes.clock_step,
        disks.wipe_controller,
        disks.after_ack,
        disks.lost_after_order,
        disks.disk,
        disks.disk_refuses,
        membership.remove,
        membership.replace,
        network.cut,
        network.sever,
        network.seeds_cut,
        network.lossy,
        network.copies,
        machines.crash,
        machines.drain,
        machines.answers_lost,
        machines.garble,
        machines.ill,
        machines.deaf,
        machines.leaving,
        machines.sluggish,
        orders.configure,
        orders.race,
        orders.orders,
        orders.rollout_good,
        orders.rollout_bad,
        orders.rollout_after,
    )
}


def draw(chance, day):
    """One to `most_faults` faults in each DRAWN_S seconds, drawn by `chance`; of some kinds one a day."""
    found = []
    stretches = max(1, round(day.seconds / DRAWN_S))
    for _ in range(sum(chance.randrange(1, day.most_faults + 1) for _ in range(stretches))):
        kind = chance.choice(sorted(CAUSES))
        at_s, for_s = chance.uniform(0.5, day.seconds - 1.0), chance.uniform(0.5, 3.0)
        if any(kind in group and fault.kind in group for group in (LARGE, ROLLOUTS) for fault in found):
            continue
        found.append(Fault(kind, round(at_s, 3), round(for_s, 3), chance.random(), chance.random()))
    return tuple(sorted(found, key=lambda fault: fault.at_s))


async def cause(world, fault, begun):
    """Brings a fault about at its time, counted from `begun`, when traffic begins."""
    await asyncio.sleep(begun + fault.at_s - world.loop.time())
    await CAUSES[fault.kind](world, fault)
