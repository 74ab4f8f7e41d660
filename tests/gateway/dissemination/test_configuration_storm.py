"""Large configurations that follow each other quickly, on a fleet with slow links."""

import random

from slow_fleet import APPLY_S, CONTROLLERS, SlowFleet
from ward import test

ROUTES = 352  # 59 KB packed, the length of 1,680 routes of an operator
CHANGES = 14


RESTARTED_SHARE, OUTAGE_S = 0.55, 2.0


def started_fleet():
    """A fleet that has a large configuration, at 11 s."""
    world = SlowFleet(seed=1)
    for name in (*world.controllers, *world.proxies):
        world.start(name)
    world.run(2.0)
    world.order(CONTROLLERS[0], 1, routes=4)
    world.run(6.0)
    world.order(CONTROLLERS[1], 2, ROUTES)
    world.run(11.0)
    return world


def order_changes(world, gap_s):
    """Orders the changes, one each `gap_s` seconds, and waits until each must be in force."""
    began_at = world.loop.time()
    for change in range(CHANGES):
        world.order(CONTROLLERS[change % len(CONTROLLERS)], 3 + change, ROUTES)
        world.run(began_at + gap_s * (change + 1))
    world.run(world.loop.time() + APPLY_S + 1.0)
    assert len(world.acknowledged) == 2 + CHANGES and not world.unexpected_errors


def check_none_late(world):
    late = world.late()
    assert not late, f"{len(late)} late, at {len({name for _, name, _ in late})} proxies: {late[:5]}"


@test("each acknowledged version is in force at all proxies within apply_s while large ones follow quickly")
def _():
    # Complete versions for all proxies take longer than the time between them, so some proxies get none.
    world = started_fleet()
    try:
        order_changes(world, gap_s=0.28)
        check_none_late(world)
    finally:
        world.close()


@test("proxies that restart while large versions follow have the newest ones when they are in touch again")
def _():
    # A new process has no version to which a difference could be applied: it needs a complete one.
    world = started_fleet()
    try:
        restarted = random.Random(1).sample(world.proxies, int(RESTARTED_SHARE * len(world.proxies)))
        world.fresh = False
        for name in restarted:
            world.kill(name)
        world.run(11.0 + OUTAGE_S)
        for name in restarted:
            world.start(name)
        order_changes(world, gap_s=0.5)
        check_none_late(world)
    finally:
        world.close()
