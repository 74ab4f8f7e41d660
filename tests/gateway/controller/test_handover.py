"""Replacements of controllers, planned and unplanned, that are followed by the loss of another one."""

import asyncio
import json

from register_histories import configurations
from timeline import World, config
from ward import each, test

from honeywood.lab.emulator.loop import REFUSING_DISK, DiskFault

CONTACT_S, SYNC_S, GRACE_S = 3.0, 4.0, 6.0
HANGING_DISK = DiskFault(slowdown=1e9)


def started_world(controllers="abcdef", members="abc", **options):
    """Returns a world at 2 s in which the members are in epoch 1 and version 1 was acknowledged."""
    world = World(controllers, **options)
    for name in members:
        world.start(name)
    world.run(1.0)
    world.execute("a", "put 1")
    world.run(2.0)
    assert world.acked
    world.fresh = False
    return world


def members_of(world):
    """Returns the members that each running controller knows; a set with one item if all agree."""
    return {"".join(configuration.members) for configuration in configurations(world)}


def put(world, name, version):
    world.execute(name, f"put {version}")
    world.run(world.loop.time() + 1.0)
    assert (
        str(version) in world.acked
    ), f"{version} at {name}, {world.loop.time():.2f}: {configurations(world)}"


def assert_survives_loss(world, lost, wait_s=CONTACT_S):
    """Loses disks for good; within contact_s all that was acknowledged is read, and changes are taken."""
    newest = max(int(version) for version in world.acked)
    for name in lost:
        world.wipe(name)
        world.removed.add(name)
    world.run(world.loop.time() + wait_s)
    for name in sorted(world.nodes):
        reading = world.loop.create_task(read_until_answered(world, name))
        world.run(world.loop.time() + 1.0)
        assert (
            reading.done() and int(json.loads(reading.result())["ver"], 16) >= newest
        ), f"{name}: {reading}, {configurations(world)}"
    put(world, sorted(world.nodes)[0], newest + 1)


async def read_until_answered(world, name):
    """Asks as operators do: again after a refusal, which a change of members may cause for 0.1 s."""
    while True:
        status, response = await world.ask(name, "config.read", body={})
        if status == 200:
            return response
        await asyncio.sleep(0.1)


@test("a planned replacement, then the loss of {lost} of {members}: nothing is lost or blocked")
def _(members=each("abc", "abc", "abc", "abcde"), lost=each("b", "c", "f", "bc")):
    # In planned work the successor starts first. Its predecessor stayed a member for 21 s after its end, and
    # the next loss left no majority for good.
    world = started_world(members=members, tolerated_failures=len(members) // 2)
    try:
        world.start("f")
        world.run(2.0 + SYNC_S)
        world.terminate("a")
        world.run(2.0 + SYNC_S + 1.0)
        assert "a" not in world.nodes and members_of(world) == {members[1:] + "f"}
        put(world, "b", 2)
        assert_survives_loss(world, lost)
    finally:
        world.close()


@test("a member that gets SIGTERM {after_s} s after its successor's start is replaced within sync_s")
def _(after_s=each(-1.0, -0.3, 0.0, 0.01, 0.1, 0.3, 1.0, 2.0, 3.0)):
    for seed in range(3):
        world = started_world(seed=seed)
        try:
            started_at = 2.0 + max(0.0, -after_s)
            world.loop.call_at(started_at + after_s, world.terminate, "a")
            world.run(started_at)
            world.start("d")
            world.run(started_at + SYNC_S)
            assert "a" not in world.nodes and members_of(world) == {"bcd"}, seed
            assert_survives_loss(world, "bcd"[seed])
        finally:
            world.close()


@test("a member that is killed {step} ms after SIGTERM leaves either the old or the new members")
def _(step=each(2, 5, 10, 20, 30, 40, 60, 80)):
    for lost in "bcd":
        world = started_world()
        try:
            world.start("d")
            world.run(6.0)
            world.terminate("a")
            world.run(6.0 + step / 1000)
            world.kill("a")
            world.run(6.0 + SYNC_S)
            assert members_of(world) == {"bcd"}
            assert_survives_loss(world, lost)
        finally:
            world.close()


@test("without a spare a member that gets SIGTERM ends at once, and is a member again after its restart")
def _():
    world = started_world()
    try:
        for name in "abc":
            at = world.loop.time()
            world.terminate(name)
            world.run(at + 0.05)
            assert name not in world.nodes
            world.run(at + 1.0)
            world.start(name)
            world.run(at + 3.0)
        assert members_of(world) == {"abc"} and {c.epoch for c in configurations(world)} == {1}
        assert_survives_loss(world, "a")
    finally:
        world.close()


@test("members that restart one after the other with a spare: every change is acknowledged (seed {seed})")
def _(seed=each(*range(6))):
    world = started_world(seed=seed)
    versions = iter(range(2, 1000))

    async def change_all_the_time():
        while True:
            version = next(versions)
            for name in "bcad" * 4:
                status, _ = await world.ask(name, "config.replace", body=config(version))
                if status == 200:
                    world.acked[str(version)] = world.loop.time()
                    break
            else:
                raise AssertionError(f"version {version} was not taken at {world.loop.time()}")
            await asyncio.sleep(0.05)

    try:
        world.start("d")
        world.run(6.0)
        changing = world.loop.create_task(change_all_the_time())
        for name in "abcd":
            at = world.loop.time()
            world.terminate(name)
            world.run(at + 1.0 + 0.2 * seed)
            world.start(name)
            world.run(at + 1.5 + 0.5 * seed)
        world.run(world.loop.time() + SYNC_S)
        assert not changing.done(), changing
        changing.cancel()
        assert len(members_of(world)) == 1
        assert_survives_loss(world, members_of(world).pop()[seed % 3])
    finally:
        world.close()


@test("a member that was replaced just before its SIGTERM stays until it isn't needed; {lost} is lost next")
def _(lost=each("b", "c", "d")):
    # It ended at once, before any other had entered the new epoch; after the next loss no majority of the old
    # epoch was left, for good.
    world = started_world()
    try:
        world.start("d")
        world.run(6.0)
        world.partition("a", "bcd")
        memberships = {name: world.nodes[name].register.membership for name in "abcd"}
        while all(membership.newest_known.epoch == 1 for membership in memberships.values()):
            world.run(world.loop.time() + 0.001)
        world.heal()
        while "a" in memberships["a"].newest_known.members:
            world.run(world.loop.time() + 0.001)
        assert {memberships[name].epoch for name in "bcd"} == {1}, "no successor has entered epoch 2"
        world.terminate("a")
        while "a" in world.nodes:
            world.run(world.loop.time() + 0.001)
        assert_survives_loss(world, lost)
    finally:
        world.close()


@test("a member that missed two changes of members is needed after the loss of {lost}, while all lose power")
def _(lost=each("d", "e")):
    # It waited for a majority of the other members of the newest epoch, of which only one was left, for good.
    world = started_world()
    try:
        world.start("d")
        world.start("e")
        world.run(6.0)
        world.kill("c")
        world.terminate("a")
        world.run(6.5)
        world.terminate("b")
        world.run(7.0)
        assert members_of(world) == {"cde"}, configurations(world)
        assert world.nodes.keys() == set("de")
        world.wipe(lost)
        for name in "abcde":
            world.kill(name)
        for name in "cde":
            world.start(name)
        world.run(7.0 + SYNC_S)
        assert members_of(world) == {"cde"} and {c.epoch for c in configurations(world)} == {3}
        assert_survives_loss(world, lost)
    finally:
        world.close()


@test("two members that get SIGTERM {apart_s} s apart are both replaced")
def _(apart_s=each(0.0, 0.01, 0.03, 0.1, 0.3, 0.6)):
    for lost in "cde":
        world = started_world()
        try:
            world.start("d")
            world.start("e")
            world.run(6.0)
            world.loop.call_at(6.0 + apart_s, world.terminate, "b")
            world.terminate("a")
            world.run(6.0 + apart_s + 2.0)
            assert world.nodes.keys() == set("cde") and members_of(world) == {"cde"}, configurations(world)
            assert_survives_loss(world, lost)
        finally:
            world.close()


@test("a spare that is leaving, refuses writes or hangs is not chosen as successor: {fault}")
def _(fault=each("leaving", "refuses", "hangs")):
    world = started_world()
    try:
        world.start("d")
        world.start("e")
        world.run(6.0)
        if fault == "leaving":
            world.nodes["d"].membership.is_leaving = True
        else:
            world.set_disk_fault("d", REFUSING_DISK if fault == "refuses" else HANGING_DISK)
            world.run(8.5)  # a trial write a second finds it
        world.terminate("a")
        world.run(10.0)
        world.kill("d")
        assert "a" not in world.nodes and members_of(world) == {"bce"}, configurations(world)
        assert_survives_loss(world, "c")
    finally:
        world.close()


@test("a member that gets SIGTERM {after_s} s after its own disk {fault} ends in time, and is replaced")
def _(
    fault=each("refuses writes", "refuses writes", "hangs", "hangs", "hangs"),
    after_s=each(0.0, 2.0, 0.0, 0.02, 2.0),
):
    world = started_world()
    try:
        world.start("d")
        world.run(6.0)
        world.set_disk_fault("a", REFUSING_DISK if fault == "refuses writes" else HANGING_DISK)
        world.run(6.0 + after_s)
        ending = world.terminate("a")
        world.run(6.0 + after_s + GRACE_S - 1.5)
        assert ending.done() and "a" not in world.nodes and not world.unexpected_errors
        world.run(6.0 + after_s + GRACE_S)
        assert members_of(world) == {"bcd"}, configurations(world)
        assert_survives_loss(world, "b")
    finally:
        world.close()


@test("all controllers get SIGTERM within {spread_s} s, and restart: nothing is lost")
def _(spread_s=each(0.0, 0.05, 0.3, 1.0)):
    for seed in range(3):
        world = started_world(seed=seed)
        try:
            world.start("d")
            world.run(6.0)
            put(world, "a", 2)
            for index, name in enumerate("cadb"):
                world.loop.call_at(7.5 + spread_s * index / 3, world.terminate, name)
            world.run(7.5 + spread_s + GRACE_S / 2)
            assert not world.nodes and not world.unexpected_errors
            for name in "abcd":
                world.start(name)
            world.run(world.loop.time() + SYNC_S)
            assert len(members_of(world)) == 1, configurations(world)
            assert_survives_loss(world, members_of(world).pop()[seed])
        finally:
            world.close()


@test("a successor that is lost {after_ms} ms after the predecessor's SIGTERM is replaced in turn")
def _(after_ms=each(5, 15, 25, 40, 60, 100)):
    world = started_world()
    try:
        world.start("d")
        world.run(6.0)
        world.terminate("a")
        world.run(6.0 + after_ms / 1000)
        world.wipe("d")
        world.removed.add("d")
        world.run(7.0)
        world.start("e")
        world.run(7.0 + SYNC_S + GRACE_S)
        assert "a" not in world.nodes and members_of(world) == {"bce"}, configurations(world)
        assert_survives_loss(world, "b")
    finally:
        world.close()


@test("SIGTERM while {sides} are cut apart: a majority remains, and all are replaced after the cut")
def _(sides=each("a|bcd", "ad|bc", "abc|d", "ab|cd"), members=each("bcd", "bcd", "bcd", "bcd")):
    world = started_world()
    try:
        world.start("d")
        world.run(6.0)
        near, far = sides.split("|")
        for name in near:
            world.partition(name, far)
        world.run(6.5)
        world.terminate("a")
        world.run(6.5 + GRACE_S)
        assert "a" not in world.nodes
        world.heal()
        world.run(6.5 + GRACE_S + CONTACT_S + SYNC_S)
        assert members_of(world) == {members}
        assert_survives_loss(world, "c")
    finally:
        world.close()


@test("a member whose disk starts to refuse writes just before its SIGTERM ends in order, and is replaced")
def _():
    # The handover raised the disk's error: the program broke off the calls that were in progress.
    world = started_world()
    try:
        world.start("d")
        world.run(6.0)
        world.set_disk_fault("a", REFUSING_DISK)
        leaving = world.processes["a"].run(world.nodes["a"].leave())
        world.run(6.0 + GRACE_S / 2 + 0.1)
        assert leaving.done() and leaving.exception() is None, leaving
        world.kill("a")
        world.run(world.loop.time() + CONTACT_S + SYNC_S)
        assert members_of(world) == {"bcd"}
        assert_survives_loss(world, "c")
    finally:
        world.close()


@test("a predecessor that returns after {pause_s} s, with its disk {kept}, is a spare, and replaces the next")
def _(pause_s=each(0.1, 2.0, 10.0, 0.1, 10.0), kept=each("kept", "kept", "kept", "lost", "lost")):
    world = started_world()
    try:
        world.start("d")
        world.run(6.0)
        world.terminate("a")
        world.run(7.0 + pause_s)
        put(world, "b", 2)
        if kept == "lost":
            world.wipe("a")
        world.start("a")
        world.run(world.loop.time() + SYNC_S)
        assert members_of(world) == {"bcd"} and not world.nodes["a"].register.membership.is_voter
        world.terminate("b")
        world.run(world.loop.time() + 1.0)
        assert members_of(world) == {"acd"}
        assert_survives_loss(world, "c")
    finally:
        world.close()


@test("while two links are cut, members are exchanged at most once in contact_s")
def _():
    # Guards against a spare that the proposer reaches and another member does not: each of the two replaced
    # it at once after the other had made it a member.
    world = started_world()
    try:
        world.start("d")
        world.run(6.0)
        world.partition("a", "b")
        world.partition("c", "d")
        world.run(26.0)
        epochs = max(configuration.epoch for configuration in configurations(world)) - 1
        assert epochs <= 20.0 / CONTACT_S, f"{epochs} changes"
        world.heal()
        world.run(26.0 + CONTACT_S + SYNC_S)
        assert len(members_of(world)) == 1
        assert_survives_loss(world, members_of(world).pop()[0])
    finally:
        world.close()
