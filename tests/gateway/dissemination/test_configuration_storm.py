"""Large configurations that follow each other quickly, on a fleet with slow links."""

from slow_fleet import APPLY_S, CONTROLLERS, SlowFleet
from ward import test

ROUTES = 352  # 59 KB packed, the length of 1,680 routes of an operator
CHANGES, GAP_S = 14, 0.28


@test("each acknowledged version is in force at all proxies within apply_s while large ones follow quickly")
def _():
    # Complete versions for all proxies take longer than the time between them, so some proxies get none.
    world = SlowFleet(seed=1)
    try:
        for name in (*world.controllers, *world.proxies):
            world.start(name)
        world.run(2.0)
        world.order(CONTROLLERS[0], 1, routes=4)
        world.run(6.0)
        world.order(CONTROLLERS[1], 2, ROUTES)
        world.run(11.0)
        for change in range(CHANGES):
            world.order(CONTROLLERS[change % len(CONTROLLERS)], 3 + change, ROUTES)
            world.run(11.0 + GAP_S * (change + 1))
        world.run(11.0 + GAP_S * CHANGES + APPLY_S + 1.0)
        assert len(world.acknowledged) == 2 + CHANGES and not world.unexpected_errors
        late = world.late()
        assert not late, f"{len(late)} late, at {len({name for _, name, _ in late})} proxies: {late[:5]}"
    finally:
        world.close()
