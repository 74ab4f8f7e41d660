"""Rollouts by controllers and proxies that are killed, cut off, or whose clocks step."""

from rollout_fleet import played
from timeline import World
from ward import each, test

from honeywood.gateway.dissemination.record import Stamp
from honeywood.gateway.rollout import report, transitions
from honeywood.gateway.rollout.record import RolloutStage, RolloutState
from honeywood.gateway.rollout.report import OutcomeCounts, RolloutStatus

ACTIVE, DONE, REVERTED = RolloutState.ACTIVE, RolloutState.DONE, RolloutState.REVERTED
TRIAL, WIDE, FULL = RolloutStage.TRIAL, RolloutStage.WIDE, RolloutStage.FULL
V2, V3 = ("v2", 14.0), ("v3", 14.0)


@test("a proxy that starts again with its clock set back still counts in a rollout")
def _():
    # Lives are told apart by the time of day: the earlier one's word stood for the front, and a version was
    # never done.
    world = World(proxies="fg")
    try:
        for name in "abcfg":
            world.start(name)
        world.play("""
          at  | a              | b
          2   | put 5          |
          2.5 | beat m ready   |
          3   | order v2 3     |
        """)
        world.run(3.6)
        world.kill("f")
        world.clock_offsets_s["f"] = -3600.0
        world.start("f")
        world.run(9.0)
        assert world.nodes["a"].store.get("rollout/s")["state"] == DONE
    finally:
        world.close()


@test("two controllers that decide differently tell one outcome, whichever is killed")
def _():
    for seed in range(12):
        world = World(seed=seed)
        try:
            for name in "abc":
                world.start(name)
            world.run(1.0)
            world.execute("a", "order v2 14")
            world.run(2.0)
            held = world.nodes["a"].store.get("rollout/s")
            for name, state in (("a", DONE), ("b", REVERTED)):
                world.loop.create_task(
                    world.nodes[name].register.change(
                        "rollout/s",
                        lambda value, n=held["n"], state=state: transitions.update_stored(
                            value, lambda now: transitions.advance(now, "v2", n, state=state)
                        ),
                    )
                )
            world.run(2.0 + seed / 500)
            world.execute("ab"[seed % 2], "kill")
            world.run(6.0)
            told = {world.nodes[name].store.get("rollout/s")["state"] for name in world.nodes}
            assert len(told) == 1, f"seed {seed}: {told}"
        finally:
            world.close()


@test("the time of day of all controllers steps by {skew} s after an order: its trial lasts as ever")
def _(skew=each(3600.0, -3600.0)):
    # Time was told by `wall() - began`: an hour ahead, a trial was over at once; an hour behind, never.
    world = World(proxies="fg")
    try:
        for name in "abcfg":
            world.start(name)
        world.play("""
          at  | a              | b
          2   | put 5          |
          2.5 | beat m ready   |
          3   | order v2 6     |
        """)
        world.run(3.5)
        for name in "abc":
            world.clock_offsets_s[name] = skew
        world.run(6.0)
        held = world.nodes["a"].store.get("rollout/s")
        assert (held["state"], held["stage"]) == (ACTIVE, TRIAL), held
        world.run(10.0)
        assert world.nodes["a"].store.get("rollout/s")["state"] == DONE
    finally:
        world.close()


@test("all controllers begin anew during a trial: proxies' steady clocks tell for how long it has lasted")
def _():
    world = World(proxies="fg")
    try:
        for name in "abcfg":
            world.start(name)
        world.play("""
          at  | a              | b
          2   | put 5          |
          2.5 | beat m ready   |
          3   | order v2 10    |
        """)
        world.run(8.0)
        world.fresh = False
        for name in "abc":
            world.kill(name)
        world.run(8.5)
        for name in "abc":
            world.start(name)
        world.run(13.6)
        assert world.nodes["a"].store.get("rollout/s")["state"] == DONE
    finally:
        world.close()


@test("a controller counts no rows that a proxy told before it had heard of the order")
def _():
    # A front that died, or has not heard yet, told counts of the trial before.
    world = World()
    try:
        world.start("a")
        world.run(0.5)
        controller = world.nodes["a"]
        held = transitions.start_rollout(played((0, V2), (3, "reverted")), "s", "v2", 14.0, 20.0)
        for front, n in (("before", 1), ("after", 3)):
            tally = OutcomeCounts("s", front, "v2", 9, 9, ())
            told = report.encode(report.ProxyReport((tally,), {"s": RolloutStatus(n, 0, None, 1.0)}))
            controller.store.put(f"count/{front}/1", Stamp.of(1), told)
        assert [tally.route for tally in controller.evidence.collect(held).outcome_counts] == ["after"]
    finally:
        world.close()
