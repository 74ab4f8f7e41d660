"""Heartbeats and departures of machines that arrive late, after a restart, or with a wrong clock."""

from timeline import World
from ward import test


def started_world():
    """Return a running world of three controllers and a proxy that know each other."""
    world = World(proxies="f")
    for name in "abcf":
        world.start(name)
    world.run(1.0)
    return world


def leave(world, name, id):
    world.loop.create_task(world.ask(name, "instances.leave", id))


@test("a heartbeat older than the latest one changes nothing, whichever controller receives it")
def _():
    world = started_world()
    try:
        for name, state in zip("abc", ("ready", "ready", "draining")):
            world.execute(name, f"beat m {state}")
            world.run(world.loop.time() + 1.0)
        world.heartbeat_sequences["m"] = 0  # the first two sequence numbers arrive once more
        for name in "bc":
            world.execute(name, "beat m ready")
            world.run(world.loop.time() + 1.0)
            assert all(world.state(one, "m") == "draining" for one in "abcf")
    finally:
        world.close()


@test("a machine's row on a restarted controller's disk does not replace newer records of others")
def _():
    world, states = started_world(), []
    try:
        world.execute("a", "beat m ready")
        world.execute("a", "beat n ready")
        world.run(2.5)
        world.kill("a")
        world.execute("b", "beat m draining")
        leave(world, "b", "n")
        world.run(4.0)
        world.fresh = False
        world.start("a")
        world.run(6.0, lambda: states.append((world.state("f", "m"), world.state("b", "n"))))
        assert set(states) == {("draining", "gone")}
        assert world.state("a", "m") == "draining" and world.state("a", "n") == "gone"
    finally:
        world.close()


@test("a controller whose clock was set back still sends and receives changes of machines")
def _():
    world = started_world()
    try:
        world.execute("a", "beat m ready")
        world.run(2.0)
        world.kill("a")
        world.fresh, world.clock_offsets_s["a"] = False, -3600.0
        world.start("a")
        world.run(4.0)
        world.execute("a", "beat m draining")
        world.run(5.0)
        assert "m/draining" in world.acked and all(world.state(one, "m") == "draining" for one in "abcf")
    finally:
        world.close()
