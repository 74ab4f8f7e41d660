"""Machines that are gone or lost: their records are bounded, and late copies of them change nothing."""

from timeline import World
from ward import test

from honeywood.gateway.controller.heartbeat import Heartbeat
from honeywood.gateway.controller.machine_record import MachineRecord, heartbeat_stamp
from honeywood.gateway.controller.machine_table import DEPARTED_ROW_PREFIX, MachineTable
from honeywood.gateway.dissemination import tombstones
from honeywood.gateway.dissemination.record import Record, Stamp
from honeywood.gateway.dissemination.retired_machines import MAX_RETIRED, RETENTION_S, RetiredMachines
from honeywood.gateway.dissemination.store import Store

BEAT = {"svc": "s", "ip": "m", "port": 1, "zone": "z", "ver": "v1", "slots": 4, "state": "ready", "cold": 0.0}


def begun(fronts="f"):
    world = World(proxies=fronts)
    for name in "abc" + fronts:
        world.start(name)
    world.run(1.0)
    return world


def told(world, name, id):
    store = world.nodes[name].publisher.store
    return [kind for kind in ("machine/", "beat/") if kind + id in store.records]


def leave(world, name, id):
    world.loop.create_task(world.ask(name, "instances.leave", id))


@test("a machine that left is dropped in time, and late heartbeats and records of it change nothing")
def _():
    # Both kinds of notes stood on every store for ever.
    world = begun()
    try:
        world.execute("a", "beat m ready")
        world.run(1.5)
        held = world.nodes["b"].publisher.store.records["machine/m"]
        late = [Record("machine/m", held.stamp, held.value), Record("beat/m", Stamp.of(9, 0), None)]
        assert told(world, "b", "m") == ["machine/", "beat/"] and told(world, "f", "m") == ["machine/"]
        leave(world, "a", "m")
        world.run(3.0)
        assert all(told(world, name, "m") == ["machine/"] for name in "abcf")
        world.execute("b", "beat m ready")  # within the time: its note says that it has left
        world.run(4.0)
        assert all(world.state(name, "m") == "gone" for name in "abcf")
        world.run(RETENTION_S + 5.0)
        assert not any(told(world, name, "m") for name in "abcf")
        world.execute("b", "beat m ready")  # and after it
        world.nodes["c"].publisher.store.merge(late)
        world.run(RETENTION_S + 7.0)
        assert not any(told(world, name, "m") for name in "abcf")
        assert "m" not in world.nodes["b"].machines.last_seen_at
        kept = list(world.nodes["a"].register.state.heartbeats)
        assert kept == [DEPARTED_ROW_PREFIX + tombstones.bucket_key("m")], "its name alone stays on disk"
    finally:
        world.close()


@test("a machine that was lost is dropped too, and its next heartbeat makes it known again")
def _():
    world = begun()
    try:
        world.execute("a", "beat m ready")
        world.run(8.0)
        assert all(world.state(name, "m") == "silent" for name in "abcf")
        world.run(RETENTION_S + 12.0)
        assert not any(told(world, name, "m") for name in "abcf")
        world.execute("b", "beat m ready")
        world.run(RETENTION_S + 13.0)
        assert all(world.state(name, "m") == "ready" for name in "abcf")
    finally:
        world.close()


@test("leaving at a controller that doesn't know the machine is published to all")
def _():
    # It was acknowledged, and nobody was told: fronts went on sending there.
    world = begun()
    try:
        world.partition("a", "bc")
        world.nodes["b"].publisher.store.put("machine/m", Stamp.of(1, 0), BEAT)
        world.run(1.5)
        world.heal()
        leave(world, "a", "m")
        world.run(4.0)
        assert all(world.state(name, "m") == "gone" for name in "abcf")
    finally:
        world.close()


@test("a proxy partitioned for so long that a leaving was published and dropped marks its records as stale")
def _():
    # Nobody tells of a note that was dropped: it would have kept the machine for ever.
    world = begun()
    try:
        world.execute("a", "beat m ready")
        world.execute("a", "beat n ready")
        world.run(1.5)
        world.partition("f", "abc")
        leave(world, "a", "m")
        for second in range(2, int(RETENTION_S) + 30):
            world.run(float(second))
            world.execute("a", "beat n ready")
        assert world.state("f", "m") == "ready" and not told(world, "a", "m")
        world.heal()
        for second in range(int(RETENTION_S) + 30, int(RETENTION_S) + 45):
            world.run(float(second))
            world.execute("a", "beat n ready")
        assert world.state("f", "m") == "silent" and world.state("f", "n") == "ready"
        assert set(world.nodes["f"].endpoints.by_id) == {"n"}
    finally:
        world.close()


@test("after ten thousand incarnations of machines a store has as many records as after two thousand")
def _():
    def merge(key, value):
        if key.startswith("machine/"):
            machines.merge_record(now, key[8:], value)

    def save(id, row):
        if row is None:
            rows.pop(id, None)
        else:
            rows[id] = row

    store, rows, now = Store("x", merge), {}, 0.0
    machines = MachineTable(store, 1.5, save)
    heartbeat = Heartbeat(heartbeat_stamp(1), MachineRecord.decode(BEAT))
    for life in range(10_000):
        now += 0.01
        machines.record_heartbeat(now, f"i-{life}", heartbeat)
        machines.record_departure(f"i-{life}") if life % 2 else None
        if life % 100 == 0:
            machines.expire(now)
    machines.expire(now)
    names = tombstones.BUCKET_COUNT * tombstones.BUCKET_CAPACITY
    assert len(store.records) < 2 * (MAX_RETIRED + 600) + tombstones.BUCKET_COUNT
    assert len(rows) < MAX_RETIRED + 600 and len(machines.last_seen_at) < 600
    assert 1000 < store.tombstone_count <= names
    for life in range(20_000):
        store.drop_machine(f"j-{life}", True)
    assert store.tombstone_count <= names and not store.put("machine/j-19999", Stamp.of(1, 0), BEAT)
    assert store.put("rollout/j-19999", Stamp.of(1), {})  # a service of that name is none of it


@test("a machine that returns is no longer retired")
def _():
    store = Store("x")
    past = RetiredMachines(store)
    for state in ("silent", "ready"):
        past.observe(0.0, "m", state)
    store.put("machine/m", Stamp.of(1, 0), BEAT)
    assert past.evict(RETENTION_S + 1.0) == [] and store.get("machine/m")
