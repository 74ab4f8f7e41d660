"""Tombstones converge, and prevent late copies of machines' records from being accepted."""

import json
import random
from binascii import b2a_base64

from timeline import World, machine
from ward import each, test

from honeywood.gateway.dissemination import tombstones
from honeywood.gateway.dissemination.change_feed import ChangeFeed
from honeywood.gateway.dissemination.keys import RecordKind
from honeywood.gateway.dissemination.record import Record, Stamp
from honeywood.gateway.dissemination.store import Store


def round_trip(records):
    """The records after they were encoded and decoded."""
    return [Record.decode(one, "notes") for one in json.loads(json.dumps([one.encode() for one in records]))]


@test("buckets of tombstones converge in any order, and keep the newest")
def _():
    rng = random.Random(1)
    names = [f"i-{n}" for n in range(3 * tombstones.BUCKET_CAPACITY)]
    one = two = None
    for name in names:
        one = tombstones.add(one, name)
    for name in reversed(names[: tombstones.BUCKET_CAPACITY]):
        two = tombstones.add(two, name)
    both = tombstones.merge(one, two)
    assert both == tombstones.merge(two, one) == tombstones.merge(both, two)
    assert tombstones.contains(one, names[-1]) and not tombstones.contains(one, names[0])
    assert [tombstones.contains(one, name) for name in names] == [
        tombstones.machine_hash(name) in tombstones.decode(one) for name in names
    ]
    entry = tombstones.ENTRY.pack(0, 1)
    across = entry[4:] + entry[:4]  # the bytes at the end of one entry
    entries = b"\0" * 4 + tombstones.machine_hash("i-1").to_bytes(8, "little") + across
    assert not tombstones.contains(b2a_base64(entries).decode(), "i-1")
    entries += tombstones.ENTRY.pack(tombstones.machine_hash("i-1"), 3)
    assert tombstones.contains(b2a_base64(entries).decode(), "i-1")
    stores = [Store(n) for n in "abc"]
    for n in range(2000):
        store = rng.choice(stores)
        store.drop_machine(f"i-{n}", True)
        if n % 7 == 0:
            for other in stores:
                other.merge(round_trip(ChangeFeed(store).since("", 0, True)))
    for _ in range(2):
        for store in stores:
            for other in stores:
                other.merge(ChangeFeed(store).since("", 0, True))
    buckets = [dict(store.items_of(RecordKind.TOMBSTONES)) for store in stores]
    assert buckets[0] == buckets[1] == buckets[2] and stores[0].tombstone_count > 1900


@test("a tombstone outlives {what}: a late copy of a heartbeat restores no machine")
def _(what=each("a restart of a controller", "the loss of its disk", "a restart of all")):
    # With tombstones in memory only, a controller that had restarted accepted such a copy and published it.
    world = World(proxies="f")
    try:
        for name in "abcf":
            world.start(name)
        world.run(1.0)
        world.execute("a", "beat m ready")
        world.run(1.5)
        world.loop.create_task(world.ask("a", "instances.leave", "m"))
        world.run(130.0)
        assert not any("m" in key.split("/")[1] for key in world.nodes["b"].store.records if "machine" in key)
        world.fresh = False
        for name in "abc" if what == "a restart of all" else "b":
            world.wipe(name) if what == "the loss of its disk" else world.kill(name)
        for name in "abc":
            if name not in world.nodes:
                world.start(name)
        world.run(133.0)
        world.heartbeat_sequences["m"] = 0
        world.execute("b", "beat m ready")
        world.run(136.0)
        assert [world.state(name, "m") for name in "abcf"] == ["unknown"] * 4
        assert all(world.nodes[name].store.tombstone_count == 1 for name in "abc")
    finally:
        world.close()


@test("a copy accepted before a controller had the machine's tombstone is withdrawn everywhere")
def _():
    world = World(proxies="f")
    try:
        for name in "abcf":
            world.start(name)
        world.run(1.0)
        for name in "ab":
            world.nodes[name].store.drop_machine("m", True)
        world.nodes["c"].store.put("machine/m", Stamp.of(1, 0), machine("m"))
        proxy_store = world.nodes["f"].publisher.store
        proxy_store.put("machine/m", Stamp.of(1, 0), machine("m"))
        world.run(4.0)
        assert world.state("c", "m") == world.state("f", "m") == "gone"
        assert world.nodes["f"].endpoints.by_id == {}
    finally:
        world.close()
