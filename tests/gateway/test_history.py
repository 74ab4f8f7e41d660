"""Records of machines at controllers: on their disks, and where beats come late."""

import asyncio

from timeline import World
from ward import test

from honeywood.gateway.controller.machine_row_writer import MachineRowWriter
from honeywood.gateway.errors import Unavailable

BEAT = {"svc": "s", "ip": "m", "port": 1, "zone": "z", "ver": "v1", "slots": 4, "state": "ready", "cold": 0.0}


def begun(fronts="f"):
    world = World(fronts=fronts)
    for name in "abc" + fronts:
        world.start(name)
    world.run(1.0)
    return world


def leave(world, name, id):
    world.loop.create_task(world.ask(name, "instances.leave", id))


@test("behind a disk that hangs one write of notes waits, with all that changed; one refused is tried again")
def _():
    async def play():
        gate, writes = asyncio.Event(), []

        async def write(changed):
            writes.append(changed)
            await gate.wait()
            if len(writes) == 1:
                raise Unavailable("register", "the disk refuses", "a")

        rows, found = MachineRowWriter(write), []
        for n in range(50):
            rows.update(f"i-{n}", [[1, 0], BEAT])
            found.append(asyncio.ensure_future(rows.flush()))
            await asyncio.sleep(0)
            await asyncio.sleep(0)
        assert len(writes) == 1 and len(asyncio.all_tasks()) <= 53
        gate.set()
        done = await asyncio.gather(*found, return_exceptions=True)
        assert len(writes) == 2 and len(writes[1]) == 50
        assert isinstance(done[0], Unavailable) and done[-1] is None

    asyncio.run(play())


@test("a beat that was overtaken changes nothing, at whichever controller it comes")
def _():
    world = begun()
    try:
        for name, state in zip("abc", ("ready", "ready", "draining")):
            world.say(name, f"beat m {state}")
            world.run(world.loop.time() + 1.0)
        world.beats["m"] = 0  # the first two come once more, late
        for name in "bc":
            world.say(name, "beat m ready")
            world.run(world.loop.time() + 1.0)
            assert all(world.state(one, "m") == "draining" for one in "abcf")
    finally:
        world.close()


@test("what a controller's disk says of a machine is older than what others know: it changes nothing")
def _():
    world, seen = begun(), []
    try:
        world.say("a", "beat m ready")
        world.say("a", "beat n ready")
        world.run(2.5)
        world.kill("a")
        world.say("b", "beat m draining")
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
    world = begun()
    try:
        world.say("a", "beat m ready")
        world.run(2.0)
        world.kill("a")
        world.fresh, world.skew["a"] = False, -3600.0
        world.start("a")
        world.run(4.0)
        world.say("a", "beat m draining")
        world.run(5.0)
        assert "m/draining" in world.acked and all(world.state(one, "m") == "draining" for one in "abcf")
    finally:
        world.close()
