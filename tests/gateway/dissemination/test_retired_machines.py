"""Machines that are gone or lost: the number of their records is bounded, and late copies change nothing."""

from timeline import World
from ward import test

from honeywood.gateway.controller.heartbeat import Heartbeat
from honeywood.gateway.controller.machine_record import MachineRecord, heartbeat_stamp
from honeywood.gateway.controller.machine_table import DEPARTED_ROW_PREFIX, MachineTable
from honeywood.gateway.dissemination import tombstones
from honeywood.gateway.dissemination.record import Record, Stamp
from honeywood.gateway.dissemination.retired_machines import MAX_RETIRED, RETENTION_S, RetiredMachines
from honeywood.gateway.dissemination.store import Store

MACHINE = {
    "svc": "s",
    "ip": "m",
    "port": 1,
    "zone": "z",
    "ver": "v1",
    "slots": 4,
    "state": "ready",
    "cold": 0.0,
}


def started_world(proxies="f"):
    world = World(proxies=proxies)
    for name in "abc" + proxies:
        world.start(name)
    world.run(1.0)
    return world


def record_kinds(world, name, id):
    store = world.nodes[name].publisher.store
    return [kind for kind in ("machine/", "beat/") if kind + id in store.records]


def announce_departure(world, name, id):
    world.loop.create_task(world.ask(name, "instances.leave", id))


@test("the records of a machine that left are dropped in time, and late copies of them change nothing")
def _():
    # Every store kept both kinds of records forever.
    world = started_world()
    try:
        world.execute("a", "beat m ready")
        world.run(1.5)
        stored = world.nodes["b"].publisher.store.records["machine/m"]
        late_copies = [
            Record("machine/m", stored.stamp, stored.value),
            Record("beat/m", Stamp.of(9, 0), None),
        ]
        assert record_kinds(world, "b", "m") == ["machine/", "beat/"] and record_kinds(world, "f", "m") == [
            "machine/"
        ]
        announce_departure(world, "a", "m")
        world.run(3.0)
        assert all(record_kinds(world, name, "m") == ["machine/"] for name in "abcf")
        world.execute("b", "beat m ready")  # before RETENTION_S: its record says that it has left
        world.run(4.0)
        assert all(world.state(name, "m") == "gone" for name in "abcf")
        world.run(RETENTION_S + 5.0)
        assert not any(record_kinds(world, name, "m") for name in "abcf")
        world.execute("b", "beat m ready")  # after RETENTION_S
        world.nodes["c"].publisher.store.merge(late_copies)
        world.run(RETENTION_S + 7.0)
        assert not any(record_kinds(world, name, "m") for name in "abcf")
        assert "m" not in world.nodes["b"].machines.last_seen_at
        rows_kept = list(world.nodes["a"].register.state.heartbeats)
        assert rows_kept == [
            DEPARTED_ROW_PREFIX + tombstones.bucket_key("m")
        ], "only its tombstone stays on disk"
    finally:
        world.close()


@test("the records of a lost machine are dropped too, and its next heartbeat makes it known again")
def _():
    world = started_world()
    try:
        world.execute("a", "beat m ready")
        world.run(8.0)
        assert all(world.state(name, "m") == "silent" for name in "abcf")
        world.run(RETENTION_S + 12.0)
        assert not any(record_kinds(world, name, "m") for name in "abcf")
        world.execute("b", "beat m ready")
        world.run(RETENTION_S + 13.0)
        assert all(world.state(name, "m") == "ready" for name in "abcf")
    finally:
        world.close()


@test("a departure announced to a controller that doesn't know the machine is published to all")
def _():
    # The departure was acknowledged but not published, and proxies kept sending requests to the machine.
    world = started_world()
    try:
        world.partition("a", "bc")
        world.nodes["b"].publisher.store.put("machine/m", Stamp.of(1, 0), MACHINE)
        world.run(1.5)
        world.heal()
        announce_departure(world, "a", "m")
        world.run(4.0)
        assert all(world.state(name, "m") == "gone" for name in "abcf")
    finally:
        world.close()


@test("a proxy partitioned until a departure was published and dropped marks its machine records as stale")
def _():
    # No peer sends a record that was dropped, so the proxy would have kept the machine forever.
    world = started_world()
    try:
        world.execute("a", "beat m ready")
        world.execute("a", "beat n ready")
        world.run(1.5)
        world.partition("f", "abc")
        announce_departure(world, "a", "m")
        for second in range(2, int(RETENTION_S) + 30):
            world.run(float(second))
            world.execute("a", "beat n ready")
        assert world.state("f", "m") == "ready" and not record_kinds(world, "a", "m")
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
            machines.observe_record(now, key[8:], value)

    def save(id, row):
        if row is None:
            rows.pop(id, None)
        else:
            rows[id] = row

    store, rows, now = Store("x", merge), {}, 0.0
    machines = MachineTable(store, 1.5, save)
    heartbeat = Heartbeat(heartbeat_stamp(1), MachineRecord.decode(MACHINE))
    for incarnation in range(10_000):
        now += 0.01
        machines.record_heartbeat(now, f"i-{incarnation}", heartbeat)
        machines.record_departure(f"i-{incarnation}") if incarnation % 2 else None
        if incarnation % 100 == 0:
            machines.expire(now, accepting_since=0.0)
    machines.expire(now, accepting_since=0.0)
    tombstone_limit = tombstones.BUCKET_COUNT * tombstones.BUCKET_CAPACITY
    assert len(store.records) < 2 * (MAX_RETIRED + 600) + tombstones.BUCKET_COUNT
    assert len(rows) < MAX_RETIRED + 600 and len(machines.last_seen_at) < 600
    assert 1000 < store.tombstone_count <= tombstone_limit
    for incarnation in range(20_000):
        store.drop_machine(f"j-{incarnation}", True)
    assert store.tombstone_count <= tombstone_limit and not store.put(
        "machine/j-19999", Stamp.of(1, 0), MACHINE
    )
    assert store.put("rollout/j-19999", Stamp.of(1), {})  # the rollout of a service of that name is accepted


@test("a machine that returns is no longer retired")
def _():
    store = Store("x")
    retired = RetiredMachines(store)
    for state in ("silent", "ready"):
        retired.observe(0.0, "m", state)
    store.put("machine/m", Stamp.of(1, 0), MACHINE)
    assert retired.evict(RETENTION_S + 1.0) == [] and store.get("machine/m")
