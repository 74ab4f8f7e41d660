"""Machines' heartbeats and departures as controllers know them: late, after a restart, by a wrong clock."""

from timeline import World
from ward import test


def started_world():
    """Return a world of three controllers and a proxy that know each other."""
    world = World(proxies="f")
    for name in "abcf":
        world.start(name)
    world.run(1.0)
    return world


def leave(world, name, id):
    world.loop.create_task(world.ask(name, "instances.leave", id))


@test("a beat that was overtaken changes nothing, at whichever controller it comes")
def _():
    world = started_world()
    try:
        for name, state in zip("abc", ("ready", "ready", "draining")):
            world.execute(name, f"beat m {state}")
            world.run(world.loop.time() + 1.0)
        world.heartbeat_sequences["m"] = 0  # the first two come once more, late
        for name in "bc":
            world.execute(name, "beat m ready")
            world.run(world.loop.time() + 1.0)
            assert all(world.state(one, "m") == "draining" for one in "abcf")
    finally:
        world.close()


@test("what a controller's disk says of a machine is older than what others know: it changes nothing")
def _():
    world, seen = started_world(), []
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
        world.run(6.0, lambda: seen.append((world.state("f", "m"), world.state("b", "n"))))
        assert set(seen) == {("draining", "gone")}
        assert world.state("a", "m") == "draining" and world.state("a", "n") == "gone"
    finally:
        world.close()


@test("a controller whose clock was set back tells and is told as before")
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
