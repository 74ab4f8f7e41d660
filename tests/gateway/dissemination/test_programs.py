"""Whole programs on slow links, with peers that fail and clocks that were set back."""

import asyncio
import random

from timeline import World, config
from ward import each, test

from honeywood.gateway.errors import CallFailed
from honeywood.gateway.rollout.report import OutcomeCounts, ProxyReport, RolloutStatus


def met(fronts="fghijk", until=4.0, **more):
    world = World(proxies=fronts, **more)
    for name in world.controllers + fronts:
        world.start(name)
    world.run(until)
    return world


@test("a proxy partitioned amid a long configuration continues where it was, at any peer that answers")
def _():
    world, taken = met("f", until=3.0), []
    try:
        for program in world.nodes.values():
            program.publisher.max_response_bytes = 1500
        world.run(4.5)
        pieces = world.nodes["f"].assembler
        add = pieces.add

        def cut_off(piece):
            if not taken:
                world.partition("f", "abc")
            taken.append(piece.content.offset)
            return add(piece)

        pieces.add = cut_off
        text = config(5, routes=60)
        for entry in text["res"][:-1]:  # texts that hardly pack
            entry["spec"]["pfx"] = f"/{random.Random(entry['hdr']['name']).getrandbits(400):x}/"
        world.loop.create_task(world.ask("a", "config.replace", "", text))
        world.run(6.0)
        assert world.version("f") is None and pieces.progress()
        world.heal()
        world.run(9.0)
        assert world.version("f") == 5
        assert len(taken) > 3 and taken.count(0) == 1 and len(set(taken)) >= len(taken) - 2, taken
    finally:
        world.close()


@test("a proxy without responses polls less and less often, and is back within a second of the first one")
def _():
    world = met("f")
    try:
        calls, call = [], world.nodes["f"].caller.call
        refuse = [True]

        async def counted(ip, port, path, body, within, **more):
            calls.append(world.loop.time())
            if refuse[0]:
                raise CallFailed(path, "refused", ip)
            return await call(ip, port, path, body, within, **more)

        world.nodes["f"].caller.call = counted
        world.run(14.0)
        assert sum(12 <= at < 14 for at in calls) < 40, "without backoff 400 and more"
        refuse[0] = False
        world.run(15.2)
        assert world.loop.time() - world.nodes["f"].stage.controller_contact_at < 0.6
    finally:
        world.close()


def told(world, names):
    """Bytes of notes told so far by these programs, by kind."""
    found = {}
    for name in names:
        for kind, size in world.nodes[name].publisher.sent_bytes.items():
            found[kind] = found.get(kind, 0) + size
    return found


@test("what a proxy is sent doesn't grow with their number, and without changes nothing is sent")
def _():
    # Seen on the grown sites: names of all fronts from each controller to every front; counts of fronts
    # without a rollout, 64 x 2.5 a second, woke whoever waited.
    each_front, calm = {}, {}
    for n in (6, 24):
        fronts = "fghijklmnopqrstuvwxyzABCDEFGH"[:n]
        world = met(fronts, until=5.0)
        try:
            before = told(world, world.nodes)
            world.run(9.0)
            after = told(world, world.nodes)
            calm[n] = sum(after.values()) - sum(before.values())
            assert "count" not in after, after
            assert all(program.fleet.count() == n for name, program in world.nodes.items() if name in fronts)
            world.execute("a", "put 5")
            world.execute("b", "beat m ready")
            world.run(12.0)
            each_front[n] = (sum(told(world, world.nodes).values()) - sum(after.values())) / n
            assert {world.version(name) for name in world.nodes} == {5}
            kinds = {key.partition("/")[0] for key in world.nodes["f"].publisher.store.records}
            assert kinds == {"config", "machine", "bourse"}, kinds
        finally:
            world.close()
    assert calm[6] == calm[24] == 0, calm
    assert each_front[24] <= each_front[6], each_front


@test("all controllers have the counts of a proxy, once it has sent them to one")
def _():
    world = met("fg")
    try:
        front = world.nodes["f"]
        told = ProxyReport((OutcomeCounts("s", "r", "v1", 0, 9, ()),), {"s": RolloutStatus(1, 0, None, 2.0)})
        front.stage.report = lambda now: told
        world.run(6.0)
        held = {name: world.nodes[name].store.get(f"count/f/{front.incarnation}") for name in "abc"}
        assert all(note and note["rows"][0][4] == 9 for note in held.values()), held
        own, asked = front.poller.subscriber.records_for, []
        front.poller.subscriber.records_for = lambda ip: asked.append(own(ip)) or asked[-1]
        world.run(9.0)
        assert asked and not any(asked), "what hasn't changed is told again"
    finally:
        world.close()


@test("a controller whose clock was set back since its last incarnation has its proxies' locations believed")
def _():
    # Stamps were the time of day: all it told lost against its own notes from before, and fronts that died
    # since were counted for ever, so that no rollout left them.
    world = met("fg")
    try:
        assert all(set(world.nodes[name].fleet.proxies) == {"f", "g"} for name in "abc")
        world.kill("a")
        world.kill("g")
        world.clock_offsets_s["a"], world.fresh = -1000.0, False
        world.start("a")
        world.run(9.0)
        assert all(set(world.nodes[name].fleet.proxies) == {"f"} for name in "abc")
        stamps = {name: world.nodes[name].store.stamp("fleet/a/f") for name in "abc"}
        assert len({str(stamp) for stamp in stamps.values()}) == 1, stamps
    finally:
        world.close()


@test("a controller without contact keeps no proxy alive")
def _():
    world = met("fg")
    try:
        world.kill("a")
        world.kill("g")
        world.run(12.0)
        assert [set(world.nodes[name].fleet.proxies) for name in "bc"] == [{"f"}, {"f"}]
        assert world.nodes["f"].fleet.count() == 1
    finally:
        world.close()


@test("a response with {what} renews a lease only if complete; a first contact ends no partition")
def _(
    what=each("nothing", "a part", "all"),
    answer=each({"later": 0.2}, {"more": True}, {}),
    renewed=each(False, False, True),
):
    # Found by review: a stage's end may be among what was not told; on a clock that doesn't begin at 0 each
    # start looked like the end of a long cut, whose machines are all in doubt.
    world = met("f", until=100.0)
    try:
        front = world.nodes["f"]
        before, doubted = front.stage.controller_contact_at, front.revalidation.started_at

        async def call(*given, **more):
            await asyncio.sleep(0.01)
            told = {"life": "x", "rev": 0, "notes": [], "joined": True, "fleet": [1, []], "counted": 0}
            return {**told, **answer}

        front.caller.call = call
        world.run(104.0)
        assert (front.stage.controller_contact_at > before + 3.0) == renewed
        world.kill("f")
        world.start("f")
        world.run(106.0)
        again = world.nodes["f"]
        assert doubted is None and again.readiness.met_quorum and again.revalidation.started_at is None
    finally:
        world.close()


@test("incomplete responses of others make no machine lost that beats there: {lost} lost")
def _(told=each({"more": True}, {}), lost=each(False, True)):
    world = met("", until=4.0)
    try:
        beat = {"svc": "s", "addr": "10.0.0.1:1", "state": "ready", "seq": 1}
        world.loop.create_task(world.ask("b", "instances.heartbeat", "m", beat))
        world.run(5.0)
        controller, call = world.nodes["a"], world.nodes["a"].caller.call

        async def partly(ip, port, path, body, within, **more):
            reply = await call(ip, port, path, body, within, **more)
            return {**reply, "notes": [], **told} if path == "/news" else reply

        controller.caller.call = partly
        world.run(14.0)
        assert controller.in_quorum and (world.state("a", "m") == "silent") == lost
    finally:
        world.close()
