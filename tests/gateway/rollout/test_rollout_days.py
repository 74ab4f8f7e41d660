"""Rollouts while controllers and proxies are killed or restarted, or their wall clocks are stepped."""

from rollout_fleet import rollout_after
from timeline import World
from ward import each, test

from honeywood.gateway.dissemination.record import Stamp
from honeywood.gateway.rollout import report, transitions
from honeywood.gateway.rollout.record import RolloutStage, RolloutState
from honeywood.gateway.rollout.report import OutcomeCounts, RolloutStatus

ACTIVE, DONE, REVERTED = RolloutState.ACTIVE, RolloutState.DONE, RolloutState.REVERTED
TRIAL, WIDE, FULL = RolloutStage.TRIAL, RolloutStage.WIDE, RolloutStage.FULL
V2, V3 = ("v2", 14.0), ("v3", 14.0)


@test("a proxy that restarts with its wall clock set back still takes part in a rollout")
def _():
    # Incarnations are identified by their wall-clock start time. The report of the proxy's first incarnation
    # was taken for the latest one, and the rollout was never done.
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


@test("two controllers that decide differently publish the same outcome, whichever of them is killed")
def _():
    for seed in range(12):
        world = World(seed=seed)
        try:
            for name in "abc":
                world.start(name)
            world.run(1.0)
            world.execute("a", "order v2 14")
            world.run(2.0)
            stored = world.nodes["a"].store.get("rollout/s")
            for name, state in (("a", DONE), ("b", REVERTED)):
                world.loop.create_task(
                    world.nodes[name].register.change(
                        "rollout/s",
                        lambda value, revision=stored["n"], state=state: transitions.update_stored(
                            value, lambda current: transitions.advance(current, "v2", revision, state=state)
                        ),
                    )
                )
            world.run(2.0 + seed / 500)
            world.execute("ab"[seed % 2], "kill")
            world.run(6.0)
            states = {world.nodes[name].store.get("rollout/s")["state"] for name in world.nodes}
            assert len(states) == 1, f"seed {seed}: {states}"
        finally:
            world.close()


@test(
    "a step of all controllers' wall clocks by {step_s} s after an order does not change its trial's length"
)
def _(step_s=each(3600.0, -3600.0)):
    # When elapsed time was the difference of wall-clock times, a trial ended at once after a step of an hour
    # forwards, and never after one backwards.
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
            world.clock_offsets_s[name] = step_s
        world.run(6.0)
        stored = world.nodes["a"].store.get("rollout/s")
        assert (stored["state"], stored["stage"]) == (ACTIVE, TRIAL), stored
        world.run(10.0)
        assert world.nodes["a"].store.get("rollout/s")["state"] == DONE
    finally:
        world.close()


@test("when all controllers restart during a trial, proxies' monotonic clocks give the elapsed time")
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


@test("a controller ignores counts that a proxy reported before it received the order")
def _():
    # A proxy that was killed, or has not received the order yet, reports counts of the previous trial.
    world = World()
    try:
        world.start("a")
        world.run(0.5)
        controller = world.nodes["a"]
        rollout = transitions.start_rollout(rollout_after((0, V2), (3, "reverted")), "s", "v2", 14.0, 20.0)
        for proxy, revision in (("before", 1), ("after", 3)):
            counts = OutcomeCounts("s", proxy, "v2", 9, 9, ())
            message = report.encode(
                report.ProxyReport((counts,), {"s": RolloutStatus(revision, 0, None, 1.0)})
            )
            controller.store.put(f"count/{proxy}/1", Stamp.of(1), message)
        assert [counts.route for counts in controller.evidence.collect(rollout).outcome_counts] == ["after"]
    finally:
        world.close()
