"""Catching up: long answers of the register come in parts, over slow links and through losses."""

import asyncio
import json
import random

from timeline import World, config
from ward import each, raises, test

from honeywood.gateway.errors import CallFailed, GatewayError
from honeywood.gateway.register import paging as whole
from honeywood.gateway.register import parts, transfer, values
from honeywood.gateway.register.parts import KEPT, OPEN, PART, PartReceiver, PartSender
from honeywood.lab.emulator.boot import BOUNDS

LONG = {"rows": {f"k{n}": [[n, "a"], [n, "a"], "x" * 1000] for n in range(300)}}


def gone_on(teller, hearer, now=0.0, spoil=lambda part: part, most=100):
    """Asks until the answer is whole; None where it isn't after `most` asks."""
    for _ in range(most):
        have = hearer.have("q")
        part = teller.go_on(now, "q", have) or teller.begin(now, "q", LONG)
        found = hearer.take("q", spoil(json.loads(json.dumps(part))))
        if found is not None:
            return found
    return None


@test("a long answer comes in parts and is whole; a short one comes at once")
def _():
    assert gone_on(PartSender(), PartReceiver()) == LONG
    assert PartSender().begin(0.0, "q", {"a": 1}) == {"a": 1} == PartReceiver().take("q", {"a": 1})


def spoiler(draw):
    told = []

    def spoil(part):
        told.append(dict(part))
        what = draw.randrange(6)
        if what == 0:
            return {**part, "part": part["part"][:-1]}
        if what == 1:
            return {**part, "part": part["part"].replace("x", "y", 1)}
        if what == 2:
            return draw.choice(told)
        if what == 3:
            return {**part, "mark": "another"}
        return part

    return spoil


@test("parts that are lost, damaged, cut, told twice or of another answer change nothing")
def _():
    for seed in range(50):
        assert gone_on(PartSender(), PartReceiver(), spoil=spoiler(random.Random(seed)), most=400) == LONG


@test("an answer that is no part and no whole is a failed call that names field and peer")
def _():
    class Peer:
        async def call(self, ip, port, path, body, within, idempotent):
            return {"part": "x", "at": "0", "of": 9, "mark": "m", "sum": 0}

    ask = {"step": "survey", "known": {}}
    with raises(GatewayError) as failed:
        asyncio.run(whole.PagedCaller(Peer()).call("b", 1, "/register", ask, 1.0))
    assert "at must be int" in str(failed.raised) and "with b" in str(failed.raised)


@test("an answer that changed, or is kept no more, begins anew; no more than so many are kept")
def _():
    teller, hearer = PartSender(), PartReceiver()
    hearer.take("q", teller.begin(0.0, "q", LONG))
    assert teller.go_on(KEPT + 1.0, "q", hearer.have("q")) is None
    teller.begin(0.0, "q", {**LONG, "more": 1})
    assert teller.go_on(0.0, "q", hearer.have("q")) is None and gone_on(PartSender(), hearer) == LONG
    for n in range(3 * OPEN):
        hearer.take(n, teller.begin(0.0, n, LONG))
    assert len(teller.open) == OPEN == len(hearer.open)


class Slow(World):
    """ConnectionPool that carry `rate` bytes a second each way between two nodes."""

    rate = 3e5

    async def carry(self, source, target, path, raw, *more):
        await asyncio.sleep(len(raw) / self.rate)
        found = await super().carry(source, target, path, raw, *more)
        await asyncio.sleep(len(json.dumps(found)) / self.rate)
        return found


def large(version, routes=1400):
    """A configuration that packing makes little shorter."""
    made, draw = config(version, routes), random.Random(version)
    for part in made["res"][:-1]:
        part["spec"]["pfx"] = "/" + "".join(draw.choices("abcdefghijklmnopqrstuvwxyz0123456789", k=80)) + "/"
    return made


def caught_up(how, changes, rate=3e5):
    """Seconds that a controller which was killed or wiped takes to be sound and hold the newest version."""
    world = Slow()
    world.rate = 1e9
    try:
        for name in "abc":
            world.start(name)
        world.run(2.0)
        world.fresh = False
        for version in range(1, changes + 1):
            if version == changes // 2:
                getattr(world, how)("c")
            world.loop.create_task(world.ask("a", "config.replace", body=large(version)))
            world.run(world.loop.time() + 0.2)
        world.run(world.loop.time() + 2.0)
        assert world.version("a") == changes
        world.rate, began = rate, world.loop.time()
        world.start("c")
        while world.loop.time() - began < 30.0:
            world.run(world.loop.time() + 0.1)
            node = world.nodes.get("c")
            if node and node.register.sound and world.version("c") == changes:
                return world.loop.time() - began
        return None
    finally:
        world.close()


@test("after {how} a controller catches up inside sync_s on 1,400 routes, at {rate} bytes a second")
def _(how=each("kill", "kill", "wipe", "wipe"), rate=each(300_000, 100_000, 300_000, 100_000)):
    took = caught_up(how, 40, rate)
    assert took is not None and took < BOUNDS["sync_s"], took


@test("without parts it doesn't")
def _():
    # Mutation, and what was: an answer that doesn't fit a step's time is thrown away and asked for again.
    whole_at_once = {
        parts: {"PART": 1 << 30},
        values: {"LARGEST_CHUNK": 1 << 30},
        transfer: {"FIRST_CHUNK": 1 << 30, "SMALLEST_CHUNK": 1 << 30},
    }
    kept = {module: {name: vars(module)[name] for name in names} for module, names in whole_at_once.items()}
    try:
        for module, names in whole_at_once.items():
            vars(module).update(names)
        assert caught_up("wipe", 10, 100_000) is None
    finally:
        for module, names in kept.items():
            vars(module).update(names)


@test("a read counts only what was answered after it began, though an earlier one got stuck half way")
def _():
    # Two reads may ask alike: the second one must not end with the first one's older parts.
    async def play():
        value, fails = ["x" * (3 * PART)], [False]

        class Peer:
            async def call(self, ip, port, path, body, within, idempotent):
                if body["have"] and fails[0]:
                    raise CallFailed(path, "silence", ip)
                return await telling(dict(body), "a")

        async def serve(ask, peer):
            return {"rows": value[0]}

        telling, caller = whole.PagedResponder(serve, lambda: 0.0), whole.PagedCaller(Peer())
        fails[0] = True
        with raises(CallFailed):
            await caller.call("b", 1, "/register", {"step": "survey", "known": {}}, 1.0)
        fails[0], value[0] = False, "y" * (3 * PART)
        found = await caller.call("b", 1, "/register", {"step": "survey", "known": {}}, 1.0)
        assert found == {"rows": value[0]}

    asyncio.run(play())


@test("behind a disk that hangs steps are refused at once, the loop goes on, and all is well after it")
def _():
    # They queued for the lock, each of them held until the disk came back, however long that took.
    world = World()
    try:
        world.play("""
          at   | a     | b     | c
          0    | start | start | start
          1    | put 5 |       |
        """)
        world.run(2.0)
        world.disk("c", 10_000.0)  # a sync takes 20 s
        for version in range(6, 70):
            world.say("ab"[version % 2], f"put {version}")
            world.run(world.loop.time() + 0.2)
        register = world.nodes["c"].register
        assert len(world.acked) > 50 and 0 < len(register.service.waiting) < 10
        assert sum("serve" in repr(task) for task in asyncio.all_tasks(world.loop)) < 20
        world.disk("c", 1.0)
        world.run(45.0)
        world.say("a", "put 99")
        world.run(47.0)
        assert world.version("c") == 99 and register.rows["config"].value["ver"] == 99
        assert not register.service.waiting
    finally:
        world.close()
