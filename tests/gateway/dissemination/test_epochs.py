"""Records whose owners have ended expire by an epoch that all programs agree on: they pile up nowhere, and
come back from no store."""

import json
import random

from timeline import World
from ward import each, test

from honeywood.gateway.controller.count_retention import is_count_needed
from honeywood.gateway.dissemination import epochs
from honeywood.gateway.dissemination.change_feed import ChangeFeed
from honeywood.gateway.dissemination.keys import RecordKind
from honeywood.gateway.dissemination.local_records import LocalRecords
from honeywood.gateway.dissemination.record import Record, Stamp
from honeywood.gateway.dissemination.store import Store
from honeywood.gateway.rollout.report import OutcomeCounts, ProxyReport

STEP = 10.0  # seconds between exchanges of the stores below
DAY = 86400.0


def carried(records):
    """Records as they come out of a message."""
    return [Record.decode(one, "notes") for one in json.loads(json.dumps([one.encode() for one in records]))]


class Peer:
    """A controller's store, its own records and its epoch clock, without any I/O."""

    def __init__(self, ip, incarnation, n):
        self.ip, self.heard, self.proxies = ip, {}, {}
        self.store = Store(f"{ip}.{n}", self.hear, is_count_needed)
        self.own = LocalRecords(self.store, incarnation, self.mine)
        self.clock = epochs.EpochClock()
        self.own.publish(f"bourse/{ip}", ip)

    def hear(self, key, value):
        self.own.on_update(key)

    def mine(self, key):
        return key == f"bourse/{self.ip}" or key.startswith(f"fleet/{self.ip}/")

    def ask(self, other):
        """Hears what the other has to tell, as an ask of /news does."""
        other.store.observe_epoch(self.store.epoch)
        life, rev = self.heard.get(other.ip, ("", 0))
        self.store.merge(carried(ChangeFeed(other.store).since(life, rev, True)))
        self.heard[other.ip] = other.store.incarnation, other.store.revision

    def look(self, now, in_quorum):
        for node, (at, place) in list(self.proxies.items()):
            place = place if now - at < 2 * STEP else None
            if self.store.get(f"fleet/{self.ip}/{node}") != place:
                self.own.publish(f"fleet/{self.ip}/{node}", place)
            if place is None:
                del self.proxies[node]
        self.store.observe_epoch(self.clock.advance(now, self.store.epoch, in_quorum))
        self.own.refresh()
        self.store.prune()


class Site:
    """Controllers, of which some are cut off, and proxies that are started anew again and again."""

    def __init__(self, seed, ips="abc"):
        self.random, self.now, self.starts = random.Random(seed), 0.0, 0
        self.peers, self.cut, self.rollout = {}, set(), None
        self.proxies, self.counted = {}, []  # {node: [life, told, epoch told in]}; counts of the rollout
        for ip in ips:
            self.start(ip)

    def start(self, ip):
        """Begins a controller; its time of day may have been set back by up to a day."""
        self.starts += 1
        incarnation = int(1e9 + self.now - self.random.choice((0.0, DAY)) * self.random.random())
        self.peers[ip] = Peer(ip, incarnation, self.starts)

    def restart_proxy(self, node):
        self.starts += 1
        self.proxies[node] = [f"{self.starts:06x}", 0, -1]

    def connected(self):
        return [peer for ip, peer in self.peers.items() if ip not in self.cut]

    def step(self):
        self.now += STEP
        peers = self.connected()
        for node, proxy in self.proxies.items():
            peer = self.random.choice(peers)
            peer.proxies[node] = self.now, ["z", node]
            known = {} if self.rollout is None else {"s": [self.rollout["n"], 1.0]}
            if proxy[2] != peer.store.epoch or known and proxy[0] not in [life for life, _ in self.counted]:
                proxy[1:] = proxy[1] + 1, peer.store.epoch
                if known:
                    self.counted.append((proxy[0], node))
            key, stamp = f"count/{node}/{proxy[0]}", Stamp.of(proxy[1], proxy[2])
            peer.store.put(key, stamp, {"rows": [1] * 50, "known": known})
        if self.rollout:
            peers[0].store.put("rollout/s", Stamp.of(self.rollout["n"]), self.rollout)
        self.exchange()
        for ip, peer in self.peers.items():
            peer.look(self.now, ip not in self.cut)

    def exchange(self):
        for peer in self.connected():
            for other in self.connected():
                if other is not peer:
                    peer.ask(other)

    def run(self, seconds):
        until = self.now + seconds
        while self.now < until:
            self.step()

    def sizes(self):
        """Records and bytes of the largest full retelling."""
        stores = [peer.store for peer in self.connected()]
        found = [[ChangeFeed(store).encoded_size(key) for key in store.records] for store in stores]
        return max(map(len, found)), max(map(sum, found))

    def check(self):
        """All that are connected hold the same records, none of a life that ended long ago."""
        self.exchange()
        self.exchange()
        stores = [peer.store for peer in self.connected()]
        held = [{key: (one.stamp, one.value) for key, one in store.records.items()} for store in stores]
        assert all(one == held[0] for one in held), held
        assert len({store.digest for store in stores}) == 1
        alive = {f"count/{node}/{proxy[0]}" for node, proxy in self.proxies.items()}
        kept = {key for key in held[0] if key.startswith("count/")}
        needed = {f"count/{node}/{life}" for life, node in self.counted} if self.rollout_active() else set()
        assert kept == alive | needed, (kept, alive, needed)
        controllers = {key for key in held[0] if key.startswith("bourse/")}
        assert controllers == {f"bourse/{peer.ip}" for peer in self.connected()}

    def rollout_active(self):
        return self.rollout is not None and self.rollout["state"] == "active"


LONG = (epochs.EXPIRY_EPOCHS + 2) * epochs.EPOCH_S  # seconds after which whatever has ended must have lapsed


@test(
    "two days with hundreds of restarts, clocks set back, long partitions: records stay as few (seed {seed})"
)
def _(seed=each(1, 2, 3)):
    # Counts of each life of each proxy, and lists of removed controllers, stood on every store for ever.
    site, sizes = Site(seed), []
    for node in ("p1", "p2"):
        site.restart_proxy(node)
    for hour in range(48):
        for _ in range(10):
            site.restart_proxy(site.random.choice(("p1", "p2", f"p-{site.starts}")))
            for gone in [node for node in site.proxies if node.startswith("p-")][:-2]:
                del site.proxies[gone]
            site.run(120.0)
        if hour % 4 == 1:
            site.start(site.random.choice("abc"))
        if hour % 6 == 2:
            site.cut = {site.random.choice("abc")}
        if hour % 6 == 5:
            site.cut = set()  # it comes back with all that it held three hours before
        site.run(LONG)
        site.check()
        sizes.append(site.sizes())
    assert site.starts > 480
    first, last = sizes[:24], sizes[24:]
    assert max(notes for notes, _ in last) <= max(notes for notes, _ in first) < 30, sizes
    bytes_first, bytes_last = (max(size for _, size in part) for part in (first, last))
    assert bytes_last < 1.1 * bytes_first < 3000, sizes  # the numbers in stamps get more digits


@test(
    "counts of a proxy that has ended are retained as long as the rollout that they count for, and no longer"
)
def _():
    site = Site(4)
    site.rollout = {"n": 3, "order": 3, "state": "active"}
    site.restart_proxy("p1")
    for _ in range(6):
        site.run(60.0)
        site.restart_proxy("p1")
    site.run(2 * LONG)
    site.check()
    assert len(site.counted) > 5
    site.cut = {"c"}
    site.rollout = {"n": 5, "order": 3, "state": "done"}
    site.run(LONG)
    site.check()
    assert any(site.peers["c"].store.get(f"count/p1/{life}") for life, _ in site.counted[:5])
    site.cut = set()  # where the end wasn't heard they stand still, and go to nobody else
    site.run(60.0)
    site.check()


@test("the records of a controller that was removed expire, with all that it published of proxies")
def _():
    site = Site(5, "abcd")
    site.restart_proxy("p1")
    site.run(LONG)
    assert all(peer.store.get("bourse/d") for peer in site.peers.values())
    site.cut = {"d"}
    site.run(LONG)
    assert not any("/d" in key for peer in site.connected() for key in peer.store.records)
    site.cut = set()
    site.run(60.0)
    site.check()


@test("the epoch advances in quorum after its duration, by a steady clock; after a freeze by one")
def _():
    clock = epochs.EpochClock()
    assert clock.advance(0.0, 7, True) == clock.advance(epochs.EPOCH_S - 1, 7, True) == 7
    assert clock.advance(10 * epochs.EPOCH_S, 7, False) == 7
    assert clock.advance(20 * epochs.EPOCH_S, 7, True) == clock.advance(20 * epochs.EPOCH_S + 1, 8, True) == 8
    assert clock.advance(20 * epochs.EPOCH_S + 2, 30, True) == 30


@test("records with a stamp without an epoch, or with an invalid one, never expire and advance none")
def _():
    stamps = (
        ("fleet/a/p", Stamp.of(5, 1)),
        ("count/p/l", Stamp.of(3)),
        ("machine/m", Stamp.of(3, 0)),
        ("bourse/a", Stamp.of(5, 1, -1)),
    )
    for key, stamp in stamps:
        assert epochs.published_in(key, stamp) is None and not epochs.is_expired(None, 99)
    store = Store("l")
    store.put("fleet/a/p", Stamp.of(5, 1, epochs.MAX_EPOCH + 1), ["z", "p"])
    assert store.epoch == 0 and store.get("fleet/a/p")


@test("expired records are taken from no one, and give way to their owner whose clock was set back")
def _():
    store = Store("l")
    assert store.put("bourse/a", Stamp.of(900, 7, 1), "a") and store.put("bourse/b", Stamp.of(900, 7, 1), "b")
    assert store.put("bourse/a", Stamp.of(100, 1, 5), "a"), "the higher incarnation of before has lapsed"
    assert store.prune() == ["bourse/b"]
    for stamp in (Stamp.of(900, 9, 1), Stamp.of(900, 9, 3)):
        assert not store.put("bourse/b", stamp, "b") and store.get("bourse/b") is None
    assert not store.put("bourse/a", Stamp.of(900, 8, 3), "a") and store.stamp("bourse/a") == (100, 1, 5)
    assert store.put("bourse/b", Stamp.of(100, 1, 4), "b")
    other = Store("o")
    other.merge(ChangeFeed(store).since("", 0, True))
    assert other.digest == store.digest and other.epoch == 5


@test("programs: hundreds of starts of proxies leave as many records and bytes as a few")
def _():
    before, epochs.EPOCH_S = epochs.EPOCH_S, 8.0
    names = "ghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"
    world, sizes = World(proxies="f" + names), []

    def count(name):
        told = ProxyReport((OutcomeCounts("s", "r", "v1", 0, 9, ()),), {})
        world.nodes[name].traffic_policy.report = lambda now: told

    try:
        for name in "abcf":
            world.start(name)
        world.run(2.0)
        count("f")
        for turn in range(120):
            name = names[turn % len(names)]
            world.start(name)
            if turn % 30 == 7:
                world.kill("b")
                world.clock_offsets_s["b"], world.fresh = -3600.0 * turn, False
                world.start("b")
            world.run(world.loop.time() + 0.1)
            count(name)
            world.run(world.loop.time() + 1.4)
            world.kill(name)
            stores = [world.nodes[one].publisher.store for one in "abc"]
            sizes.append(
                max(sum(ChangeFeed(store).encoded_size(key) for key in store.records) for store in stores)
            )
        world.run(world.loop.time() + 60.0)
        held = {name: set(world.nodes[name].publisher.store.records) for name in "abcf"}
        life = world.nodes["f"].incarnation
        shared = {"bourse/a", "bourse/b", "bourse/c"}
        assert held["f"] == shared, held["f"]
        fleet = {f"fleet/{ip}/f" for ip in "abc"}
        assert all(held[name] == shared | fleet | {f"count/f/{life}"} for name in "abc"), held
        assert not set(world.nodes["a"].fleet.sightings) - {"f"}
        assert max(sizes[80:]) <= max(sizes[40:80]) * 1.1 and max(sizes) < 6000, sizes[::10]
        assert len({world.nodes[name].publisher.store.digest for name in "abcf"}) == 1
    finally:
        epochs.EPOCH_S = before
        world.close()


@test("programs: controllers that all start again, clocks set back, get the epoch from proxies")
def _():
    before, epochs.EPOCH_S = epochs.EPOCH_S, 8.0
    world = World(proxies="fg")
    try:
        for name in "abcfg":
            world.start(name)
        world.run(40.0)
        store = world.nodes["f"].publisher.store
        epoch = store.epoch
        assert epoch >= 4
        for name in "abc":
            world.kill(name)
            world.clock_offsets_s[name] = -9999.0
        world.fresh = False
        for name in "abc":
            world.start(name)
        world.run(43.0)
        stores = [world.nodes[name].publisher.store for name in "abcfg"]
        assert all(one.epoch >= epoch for one in stores)
        world.run(70.0)  # what proxies hold of the higher incarnations before has lapsed
        assert len({one.digest for one in stores}) == 1
        assert len({str(one.stamp("bourse/a")) for one in stores}) == 1
        assert all(len([key for key, _ in one.items_of(RecordKind.CONTROLLER)]) == 3 for one in stores)
        assert {len(world.nodes[name].fleet.proxies) for name in "abc"} == {2}
    finally:
        epochs.EPOCH_S = before
        world.close()


@test("programs: a controller that was removed is no longer polled, and found again if it returns")
def _():
    # Each was called once a second by every proxy and controller for ever.
    before, epochs.EPOCH_S = epochs.EPOCH_S, 8.0
    world = World("abcd", proxies="f")

    def known(name):
        program = world.nodes[name]
        return program.peers.controllers if name == "f" else program.peers.addresses

    def asked():
        found = {name: "".join(sorted(known(name))) for name in "abcf"}
        tasks = {name: len(world.nodes[name].peers.polled) for name in "abc"}
        return set(found.values()), set(tasks.values())

    try:
        for name in "abcdf":
            world.start(name)
        world.run(4.0)
        assert asked() == ({"abcd"}, {3})
        world.kill("d")
        world.run(40.0)
        assert asked() == ({"abc"}, {2})
        assert "d" not in world.nodes["a"].contacts.peers
        assert "d" not in world.nodes["f"].poller.subscriber.backoff.delays
        world.kill("b")  # a seed and a member
        world.run(80.0)
        assert known("f").count("b") == known("a").count("b") == 1
        world.fresh = False
        world.start("b")
        world.start("d")
        world.run(84.0)
        assert asked() == ({"abcd"}, {3})
    finally:
        epochs.EPOCH_S = before
        world.close()
