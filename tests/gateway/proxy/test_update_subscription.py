"""From which peers a proxy receives its first configuration."""

import random

from timeline import World, config
from ward import test

from honeywood.gateway.dissemination.rendezvous import rank

CONTACT_S = 3.0
ROUTES = 352


def long_config(version):
    """A configuration whose packed text doesn't fit into the polls of a proxy that receives its first one."""
    configuration = config(version, ROUTES)
    for number, entry in enumerate(configuration["res"][:-1]):
        entry["spec"]["pfx"] = f"/{random.Random(number).getrandbits(800):x}/"
    return configuration


@test("a starting proxy is not held up by a relay that has no configuration")
def _():
    # It polled the relay only, and had its first configuration from the small polls of controllers.
    world = World(proxies="fg")
    relay, proxy = rank("fg", "z")
    try:
        for name in (*world.controllers, relay, proxy):
            world.start(name)
        world.run(3.0)
        assert world.nodes[proxy].peers.relays, "it has a relay"
        world.partition(relay, "abc")
        world.loop.create_task(world.ask("a", "config.replace", "", long_config(5)))
        world.run(3.0 + CONTACT_S)
        assert world.version(relay) is None and world.version(proxy) == 5
    finally:
        world.close()


@test("a starting proxy and its relay both receive a long configuration before they are in touch")
def _():
    world = World(proxies="fg")
    try:
        for name in (*world.controllers, "f", "g"):
            world.start(name)
        world.run(3.0)
        world.loop.create_task(world.ask("a", "config.replace", "", long_config(5)))
        world.run(3.0 + CONTACT_S)
        assert world.version("f") == 5 and world.version("g") == 5
    finally:
        world.close()
