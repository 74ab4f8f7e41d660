"""Tests of catching up over slow links."""

import asyncio
import json
import random

from timeline import World, config
from ward import each, test

from honeywood.gateway.register import chunk_size, pages, values
from honeywood.lab.emulator.boot import BOUNDS


class SlowWorld(World):
    """A world whose links carry `rate` bytes per second each way between two nodes."""

    rate = 3e5

    async def send(self, message):
        await asyncio.sleep(len(message.body) / self.rate)
        response = await super().send(message)
        await asyncio.sleep(len(json.dumps(response)) / self.rate)
        return response


def large_configuration(version, routes=1400):
    """Returns a configuration that compresses badly."""
    configuration, rng = config(version, routes), random.Random(version)
    for route in configuration["res"][:-1]:
        route["spec"]["pfx"] = "/" + "".join(rng.choices("abcdefghijklmnopqrstuvwxyz0123456789", k=80)) + "/"
    return configuration


def seconds_to_catch_up(fault, changes, rate=3e5):
    """Returns how long a killed or wiped controller takes to be intact and to have the newest version.

    `fault` is "kill" or "wipe". Returns None if the controller has not caught up after 30 s.
    """
    world = SlowWorld()
    world.rate = 1e9
    try:
        for name in "abc":
            world.start(name)
        world.run(2.0)
        world.fresh = False
        for version in range(1, changes + 1):
            if version == changes // 2:
                getattr(world, fault)("c")
            world.loop.create_task(world.ask("a", "config.replace", body=large_configuration(version)))
            world.run(world.loop.time() + 0.2)
        world.run(world.loop.time() + 2.0)
        assert world.version("a") == changes
        world.rate, started_at = rate, world.loop.time()
        world.start("c")
        while world.loop.time() - started_at < 30.0:
            world.run(world.loop.time() + 0.1)
            node = world.nodes.get("c")
            if node and node.register.membership.intact and world.version("c") == changes:
                return world.loop.time() - started_at
        return None
    finally:
        world.close()


@test("after a {fault} a controller catches up with 1,400 routes within sync_s, at {rate} bytes per second")
def _(fault=each("kill", "kill", "wipe", "wipe"), rate=each(300_000, 100_000, 300_000, 100_000)):
    elapsed = seconds_to_catch_up(fault, 40, rate)
    assert elapsed is not None and elapsed < BOUNDS["sync_s"], elapsed


@test("without pages and chunks a wiped controller doesn't catch up over a slow link")
def _():
    # Mutation, which is the former behaviour: a response that takes longer than the timeout of a request is
    # discarded and requested again.
    without_pages = {
        pages: {"PAGE_CHARACTERS": 1 << 30},
        values: {"MAX_CHUNK_CHARACTERS": 1 << 30},
        chunk_size: {"FIRST_CHUNK_CHARACTERS": 1 << 30, "MIN_CHUNK_CHARACTERS": 1 << 30},
    }
    originals = {
        module: {name: vars(module)[name] for name in names} for module, names in without_pages.items()
    }
    try:
        for module, names in without_pages.items():
            vars(module).update(names)
        assert seconds_to_catch_up("wipe", 10, 100_000) is None
    finally:
        for module, names in originals.items():
            vars(module).update(names)
