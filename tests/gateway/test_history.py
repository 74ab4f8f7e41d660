"""Machines that left: their notes are bounded, and nothing of them that comes late changes anything."""

import asyncio

from timeline import World
from ward import test

from honeywood.gateway.controller.machine_records import MachineRecords
from honeywood.gateway.controller.machines import DEPARTED_ROW, Machines
from honeywood.gateway.dissemination import departed
from honeywood.gateway.dissemination.history import KEEP, MOST, History
from honeywood.gateway.dissemination.record import Record
from honeywood.gateway.dissemination.store import Store
from honeywood.gateway.errors import Unavailable

BEAT = {"svc": "s", "ip": "m", "port": 1, "zone": "z", "ver": "v1", "slots": 4, "state": "ready", "cold": 0.0}


def begun(fronts="f"):
    world = World(fronts=fronts)
    for name in "abc" + fronts:
        world.start(name)
    world.run(1.0)
    return world


def told(world, name, id):
    store = world.nodes[name].publisher.store
    return [kind for kind in ("machine/", "beat/") if kind + id in store.records]


def leave(world, name, id):
    world.loop.create_task(world.ask(name, "instances.leave", id))


@test("a machine that left is forgotten in time, and late beats and news of it change nothing")
def _():
    # Both kinds of notes stood on every store for ever.
    world = begun()
    try:
        world.say("a", "beat m ready")
        world.run(1.5)
        held = world.nodes["b"].publisher.store.records["machine/m"]
        late = [Record("machine/m", held.stamp, held.value), Record("beat/m", [9, 0], None)]
        assert told(world, "b", "m") == ["machine/", "beat/"] and told(world, "f", "m") == ["machine/"]
        leave(world, "a", "m")
        world.run(3.0)
        assert all(told(world, name, "m") == ["machine/"] for name in "abcf")
        world.say("b", "beat m ready")  # within the time: its note says that it has left
        world.run(4.0)
        assert all(world.state(name, "m") == "gone" for name in "abcf")
        world.run(KEEP + 5.0)
        assert not any(told(world, name, "m") for name in "abcf")
        world.say("b", "beat m ready")  # and after it
        world.nodes["c"].publisher.store.hear(late)
        world.run(KEEP + 7.0)
        assert not any(told(world, name, "m") for name in "abcf")
        assert "m" not in world.nodes["b"].machines.heard
        kept = list(world.nodes["a"].register.state.heartbeats)
        assert kept == [DEPARTED_ROW + departed.key_of("m")], "its name alone stays on disk"
    finally:
        world.close()


@test("a machine that fell silent is forgotten too, and its next beat makes it known anew")
def _():
    world = begun()
    try:
        world.say("a", "beat m ready")
        world.run(8.0)
        assert all(world.state(name, "m") == "silent" for name in "abcf")
        world.run(KEEP + 12.0)
        assert not any(told(world, name, "m") for name in "abcf")
        world.say("b", "beat m ready")
        world.run(KEEP + 13.0)
        assert all(world.state(name, "m") == "ready" for name in "abcf")
    finally:
        world.close()


@test("leaving at a controller that hasn't heard of the machine is told to all")
def _():
    # It was acknowledged, and nobody was told: fronts went on sending there.
    world = begun()
    try:
        world.cut("a", "bc")
        world.nodes["b"].publisher.store.put("machine/m", [1, 0], BEAT)
        world.run(1.5)
        world.join()
        leave(world, "a", "m")
        world.run(4.0)
        assert all(world.state(name, "m") == "gone" for name in "abcf")
    finally:
        world.close()


@test("a front that was cut off for so long that a leaving was told and forgotten doubts what it knows")
def _():
    # Nobody tells of a note that was dropped: it would have kept the machine for ever.
    world = begun()
    try:
        world.say("a", "beat m ready")
        world.say("a", "beat n ready")
        world.run(1.5)
        world.cut("f", "abc")
        leave(world, "a", "m")
        for second in range(2, int(KEEP) + 30):
            world.run(float(second))
            world.say("a", "beat n ready")
        assert world.state("f", "m") == "ready" and not told(world, "a", "m")
        world.join()
        for second in range(int(KEEP) + 30, int(KEEP) + 45):
            world.run(float(second))
            world.say("a", "beat n ready")
        assert world.state("f", "m") == "silent" and world.state("f", "n") == "ready"
        assert set(world.nodes["f"].endpoints.by_id) == {"n"}
    finally:
        world.close()


@test("after ten thousand lives of machines a store holds as much as after two thousand")
def _():
    store = Store("x", lambda key, value: key.startswith("machine/") and machines.hear(now, key[8:], value))
    machines, rows, now = Machines(store, 1.5), {}, 0.0
    machines.changed = lambda id, note: rows.pop(id, None) if note is None else rows.__setitem__(id, note)
    for life in range(10_000):
        now += 0.01
        machines.beat(now, f"i-{life}", [1, 0], BEAT)
        machines.leave(f"i-{life}") if life % 2 else None
        if life % 100 == 0:
            machines.look(now)
    machines.look(now)
    names = departed.BUCKETS * departed.MOST
    assert len(store.records) < 2 * (MOST + 600) + departed.BUCKETS
    assert len(rows) < MOST + 600 and len(machines.heard) < 600
    assert 1000 < store.departed <= names
    for life in range(20_000):
        store.forget(f"j-{life}", True)
    assert store.departed <= names and not store.put("machine/j-19999", [1, 0], BEAT)
    assert store.put("rollout/j-19999", [1], {})  # a service of that name is none of it


@test("what comes back is no longer over")
def _():
    store = Store("x")
    past = History(store)
    for state in ("silent", "ready"):
        past.hear(0.0, "m", state)
    store.put("machine/m", [1, 0], BEAT)
    assert past.look(KEEP + 1.0) == [] and store.get("machine/m")


@test("behind a disk that hangs one write of notes waits, with all that changed; one refused is tried again")
def _():
    async def play():
        gate, writes = asyncio.Event(), []

        async def write(changed):
            writes.append(changed)
            await gate.wait()
            if len(writes) == 1:
                raise Unavailable("register", "the disk refuses", "a")

        notes, found = MachineRecords(write), []
        for n in range(50):
            notes.change(f"i-{n}", [[1, 0], BEAT])
            found.append(asyncio.ensure_future(notes.keep()))
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
