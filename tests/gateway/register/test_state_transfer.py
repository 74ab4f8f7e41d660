"""Catching up over slow links."""

import asyncio
import json
import random

from timeline import World, config
from ward import each, test

from honeywood.gateway.register import chunk_size, pages, values
from honeywood.lab.emulator.boot import BOUNDS


class SlowWorld(World):
    """ConnectionPool that carry `rate` bytes a second each way between two nodes."""

    rate = 3e5

    async def send(self, message):
        await asyncio.sleep(len(message.body) / self.rate)
        found = await super().send(message)
        await asyncio.sleep(len(json.dumps(found)) / self.rate)
        return found


def large_configuration(version, routes=1400):
    """A configuration that packing makes little shorter."""
    made, draw = config(version, routes), random.Random(version)
    for part in made["res"][:-1]:
        part["spec"]["pfx"] = "/" + "".join(draw.choices("abcdefghijklmnopqrstuvwxyz0123456789", k=80)) + "/"
    return made


def seconds_to_catch_up(how, changes, rate=3e5):
    """Seconds that a controller which was killed or wiped takes to be sound and hold the newest version."""
    world = SlowWorld()
    world.rate = 1e9
    try:
        for name in "abc":
            world.start(name)
        world.run(2.0)
        world.fresh = False
        for version in range(1, changes + 1):
            if version == changes // 2:
                getattr(world, how)("c")
            world.loop.create_task(world.ask("a", "config.replace", body=large_configuration(version)))
            world.run(world.loop.time() + 0.2)
        world.run(world.loop.time() + 2.0)
        assert world.version("a") == changes
        world.rate, began = rate, world.loop.time()
        world.start("c")
        while world.loop.time() - began < 30.0:
            world.run(world.loop.time() + 0.1)
            node = world.nodes.get("c")
            if node and node.register.membership.intact and world.version("c") == changes:
                return world.loop.time() - began
        return None
    finally:
        world.close()


@test("after {how} a controller catches up inside sync_s on 1,400 routes, at {rate} bytes a second")
def _(how=each("kill", "kill", "wipe", "wipe"), rate=each(300_000, 100_000, 300_000, 100_000)):
    took = seconds_to_catch_up(how, 40, rate)
    assert took is not None and took < BOUNDS["sync_s"], took


@test("without parts it doesn't")
def _():
    # Mutation, and what was: an answer that doesn't fit a step's time is thrown away and asked for again.
    without_pages = {
        pages: {"PAGE_CHARACTERS": 1 << 30},
        values: {"MAX_CHUNK_CHARACTERS": 1 << 30},
        chunk_size: {"FIRST_CHUNK_CHARACTERS": 1 << 30, "MIN_CHUNK_CHARACTERS": 1 << 30},
    }
    kept = {module: {name: vars(module)[name] for name in names} for module, names in without_pages.items()}
    try:
        for module, names in without_pages.items():
            vars(module).update(names)
        assert seconds_to_catch_up("wipe", 10, 100_000) is None
    finally:
        for module, names in kept.items():
            vars(module).update(names)
