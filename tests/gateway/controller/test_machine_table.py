"""Heartbeats and departures of machines that arrive late, after a restart, or with a wrong clock."""

from timeline import World
from ward import each, test


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


def send_heartbeats(world, started_at, until, on_check):
    """Have six machines send a heartbeat to every controller, each machine every 1.5 s."""
    next_at = {f"m{number}": started_at + 0.25 * number for number in range(6)}
    while world.loop.time() < until:
        for id, at in next_at.items():
            if world.loop.time() >= at:
                next_at[id] = at + 1.5
                for controller in "abc":
                    world.execute(controller, f"beat {id} ready")
        world.run(world.loop.time() + 0.05, on_check)


@test("machines whose heartbeats every controller refused for {cut_s} s are not lost afterwards")
def _(cut_s=each(4.0, 8.0, 30.0)):
    # All machines were lost at once, for up to a heartbeat interval: silence counted while they were refused.
    world, states = started_world(), set()
    try:
        send_heartbeats(world, 1.0, 4.0, lambda: None)
        world.partition("a", "bc")
        world.partition("b", "c")

        def record_states():
            states.update(world.state(name, f"m{number}") for name in "abcf" for number in range(6))

        send_heartbeats(world, 4.0, 4.0 + cut_s, record_states)
        world.heal()
        send_heartbeats(world, 4.0 + cut_s, 14.0 + cut_s, record_states)
        assert states == {"ready"}
    finally:
        world.close()


@test("a machine that ended while no controller was in quorum is lost soon after there is a quorum again")
def _():
    world = started_world()
    try:
        world.execute("a", "beat m ready")
        world.run(2.0)
        world.partition("a", "bc")
        world.partition("b", "c")
        world.run(12.0)
        assert world.state("f", "m") == "ready"
        world.heal()
        world.run(12.0 + 8.0)
        assert world.state("f", "m") == "silent"
    finally:
        world.close()
