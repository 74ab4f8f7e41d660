"""Convergence: every connected proxy gets a version in time, whichever relay is killed or partitioned, and no
program returns to an older version."""

from timeline import World, config
from ward import test

APPLY_S = 2.0  # as in the settings of these worlds


def connected_world(proxies="fghijk"):
    """A world whose proxies have found one another."""
    world = World(proxies=proxies)
    for name in world.controllers + proxies:
        world.start(name)
    world.run(3.0)
    return world


def root_relay(world):
    """The proxy at the root of the zone's tree of relays."""
    from honeywood.gateway.dissemination.rendezvous import rank

    return rank(world.proxies, "z")[0]


@test("proxies poll relays, and one relay polls a controller")
def _():
    world = connected_world()
    try:
        subscribers = {name: world.nodes[name].subscription.subscriber for name in world.proxies}
        polled_ports = {
            name: {port for _, port in subscriber.positions} for name, subscriber in subscribers.items()
        }
        assert [name for name in world.proxies if 7000 not in polled_ports[name]] == [
            root_relay(world)
        ], polled_ports
    finally:
        world.close()


@test("a relay is killed at the moment of a change: all others have it in time")
def _():
    world = connected_world()
    try:
        world.execute("a", "put 5")
        world.execute(root_relay(world), "kill")
        world.run(3.0 + APPLY_S)
        assert "5" in world.acked
        assert {world.version(name) for name in world.nodes} == {5}
    finally:
        world.close()


@test("a proxy that is partitioned from its relay, not from the controllers, has a change in time")
def _():
    world = connected_world()
    try:
        for name in world.proxies.replace(root_relay(world), ""):
            world.partition(name, root_relay(world))
        world.execute("a", "put 5")
        world.run(3.0 + APPLY_S)
        assert {world.version(name) for name in world.nodes} == {5}
    finally:
        world.close()


@test("a controller that gets no responses acknowledges nothing, and its changes are not accepted")
def _():
    # A controller that was partitioned in one direction still received polls, considered itself to be in
    # quorum, and held the polls of proxies that waited for its changes.
    world = connected_world()
    try:
        for other in "bc":
            world.partitions.add((other, "a"))
            world.partitions.add(("a", other))
            world.partitions.discard((other, "a"))
        world.run(5.0)
        world.play("""
          at  | a              | b
          5   | put 4          | put 5
          5.5 | beat m ready   |
          7   | acked 4 not, acked m/ready not | acked 5
        """)
        assert {world.version(name) for name in world.proxies} == {5}
    finally:
        world.close()


@test("a controller that has just started and knows few proxies makes no proxy take more than its share")
def _():
    # After all controllers were killed, each proxy considered itself the only one, and machines reset the
    # connections above their limit.
    world, counts = connected_world(), set()
    try:
        proxy = world.nodes["f"]
        world.run(4.0)
        assert proxy.fleet.count() == 6
        for name in "abc":
            world.kill(name)
        world.run(4.6)
        for name in "abc":
            world.start(name)
        world.run(7.0, lambda: counts.add(proxy.fleet.count()))
        assert counts == {6}
        world.kill("g")
        world.start("g")
        world.run(7.02)
        assert world.nodes["g"].fleet.count() > 6
        world.run(12.0)
        assert world.nodes["g"].fleet.count() == 6
    finally:
        world.close()


@test("a proxy is sent a version once, not by its relay and by each controller")
def _():
    # A configuration of 370 routes was sent across zones four times for each proxy.
    world, sent_versions = connected_world(), {}
    try:
        for name in world.nodes:
            since = world.nodes[name].publisher.feed.since

            def counting_since(
                incarnation, revision, include_controller_only, known=None, since=since, name=name
            ):
                records = since(incarnation, revision, include_controller_only, known)
                sent_versions[name] = sent_versions.get(name, 0) + sum(
                    record.key == "config" for record in records
                )
                return records

            world.nodes[name].publisher.feed.since = counting_since
        world.execute("a", "put 5")
        world.run(6.0)
        assert {world.version(name) for name in world.nodes} == {5}
        assert sum(sent_versions.values()) <= 2 * len(world.nodes), sent_versions
    finally:
        world.close()


@test("many versions within a short time: no program returns to an older one, and all end at the newest")
def _():
    world, latest = connected_world(), {}

    def check_versions():
        for name in world.nodes:
            version = world.version(name) or 0
            assert version >= latest.get(name, 0), f"{name} returned to an older version"
            latest[name] = version

    try:
        for at in range(30):
            world.execute("abc"[at % 3], f"put {1 + (at * 7) % 31}")
            world.run(3.0 + at * 0.05, check_versions)
        world.run(7.0, check_versions)
        newest = max(int(version) for version in world.acked)
        assert newest >= 28 and set(latest.values()) == {newest}
    finally:
        world.close()


@test("a draining state is acknowledged only when enough others have it, and outlives the first controller")
def _():
    world = connected_world()
    try:
        world.play("""
          at   | a              | b | c
          3    | beat m ready   |   |
          4    | beat m draining |  |
          4.2  | acked m/draining, kill | |
          5.5  |                | sees m draining | sees m draining
        """)
        assert {world.state(name, "m") for name in world.proxies} == {"draining"}
    finally:
        world.close()


@test("a late heartbeat changes nothing; a silent machine is lost, and known again with its next heartbeat")
def _():
    world = connected_world("f")
    try:
        world.play("""
          at  | a               | b            | f
          3   | beat m ready    |              |
          3.1 | beat m draining |              |
          4   |                 |              | sees m draining
        """)
        world.heartbeat_sequences["m"] = 0
        world.play("""
          at  | a               | b            | f
          4.1 |                 | beat m ready |
          5   | sees m draining |              | sees m draining
          10  | sees m silent   |              | sees m silent
        """)
        world.heartbeat_sequences["m"] = 5
        world.play("""
          at   | a             | b             | f
          10.1 |               | beat m ready  |
          11   | sees m ready  |               | sees m ready
        """)
    finally:
        world.close()


@test("all controllers are killed: proxies keep their records, and return machines to those that start")
def _():
    world = connected_world("fg")
    try:
        world.play("""
          at  | a            | b    | c    | f
          3   | beat m ready, put 5 | |    |
          4   | kill         | kill | kill |
          4.5 |              |      |      | = 5, sees m ready
        """)
        world.fresh = False
        world.play("""
          at  | a     | b     | c     | f
          5   | start | start | start |
          8   | = 5   | = 5   | = 5   | = 5, sees m ready
        """)
    finally:
        world.close()


@test("all programs are killed: machines are known before their next heartbeats, a draining one as draining")
def _():
    # After such a fault, proxies knew machines only with their next heartbeats, up to 1.5 s later, and sent
    # all requests to the first few.
    world = connected_world("f")
    try:
        world.play("""
          at  | a             | b            | c    | f
          3   | beat m ready  | beat n ready |      |
          4   | beat m draining |            |      |
          4.1 | acked m/draining, kill | kill | kill | kill
        """)
        world.fresh = False
        world.play("""
          at  | a     | b     | c     | f
          4.5 | start | start | start | start
          5   | sees m draining |     | sees n ready | sees n ready, sees m draining
          11  | sees n silent   |     |       | sees n silent
        """)
    finally:
        world.close()


@test("all proxies start at once: each is sent the configuration and the machines once")
def _():
    # After a power loss of all programs with 1,100 additional routes, three controllers sent each proxy all
    # machines three times and the configuration one and a half times, for 1.2 s on links of 30 Mbit/s.
    world = connected_world("")
    try:
        world.loop.create_task(world.ask("a", "config.replace", body=config(5, routes=400)))
        for n in range(40):
            world.execute("abc"[n % 3], f"beat m{n} ready")
        world.run(6.0)
        publishers = [world.nodes[name].publisher for name in world.controllers]
        before = [
            publisher.sent_bytes["config"] + publisher.sent_bytes["machine"] for publisher in publishers
        ]
        world.proxies = "fghijklm"
        for name in world.proxies:
            world.start(name)
        world.run(6.5)
        assert {world.version(name) for name in world.nodes} == {5}
        after = [publisher.sent_bytes["config"] + publisher.sent_bytes["machine"] for publisher in publishers]
        encoded_size = publishers[0].feed.encoded_size
        full_size = encoded_size("config") + sum(encoded_size(f"machine/m{n}") for n in range(40))
        sent_times = (sum(after) - sum(before)) / full_size / len(world.proxies)
        assert sent_times < 1.5, f"sent {sent_times:.2f} times"
    finally:
        world.close()
