"""Tests of the bootstrap of the members, their replacement, and the rebuilding of lost disks."""

import asyncio

from register_histories import configurations, play_history, random_schedule
from timeline import World, config
from ward import each, test

from honeywood.gateway.register.membership_configuration import MembershipConfiguration
from honeywood.gateway.register.membership_manager import MembershipManager
from honeywood.lab.emulator.loop import HEALTHY_DISK, REFUSING_DISK, DiskFault


def bootstrap_partitioned(seed=0):
    """Starts seven controllers, of which five become members, in a network partition that heals later.

    A majority of the seeds is on one side of the partition. Returns the configuration of each controller.
    """
    world = World("abcdefg", tolerated_failures=2, seed=seed)
    try:
        for separated in "ade":
            world.partition(separated, "bcfg")
        for name in world.controllers:
            world.start(name)
        world.run(4.0)
        world.heal()
        world.run(8.0)
        return configurations(world)
    finally:
        world.close()


@test("controllers that are partitioned at their first start agree on one set of members")
def _():
    # Guards against two faults: controllers on each side of the partition settle on the first five that they
    # know, which are abcde for a, d and e, and abcfg for the others; and right after the partition a
    # controller that has contact with some members and a spare replaces a member that it has no contact with
    # yet.
    for seed in range(4):
        results = bootstrap_partitioned(seed)
        assert results == [MembershipConfiguration(1, tuple("abcfg"))] * 7, seed


async def agree_alone(self, members):
    configuration = MembershipConfiguration(self._membership.epoch + 1, tuple(members))
    await self._membership.adopt(configuration)
    return configuration


@test("without agreement, partitioned controllers have different members")
def _():
    # Mutation: each controller adopts the members that it proposes.
    original, MembershipManager._agree = MembershipManager._agree, agree_alone
    try:
        assert len({configuration.members for configuration in bootstrap_partitioned()}) > 1
    finally:
        MembershipManager._agree = original


REPLACED = """
  at   | a       | b     | c     | d
  0    | start   | start | start |
  1    | put 1   |       |       |
  1.5  | acked 1 |       | kill  |
"""


@test("after a dead member is replaced, another one may fail without losing versions or blocking changes")
def _():
    # Guards against d never becoming a member: after the second failure one of three members would be left.
    world = World("abcd")
    try:
        world.play(REPLACED)
        world.fresh = False
        world.play("""
          at   | a     | b       | c | d
          2    |       |         |   | start
          4    | put 2 |         |   |
          6    | kill  |         |   |
          6.1  |       | put 3   |   |
          7    |       | acked 3 |   | = 3
        """)
        expected = MembershipConfiguration(2, ("a", "b", "d"))
        assert configurations(world) == [expected] * 2
        world.play("""
          at   | a     | b       | c     | d
          8    |       | wipe    | start |
          8.2  | start | start   |       |
          9    | = 3   | = 3     | = 3   | put 4
          9.5  |       |         |       | acked 4
          11   | = 4   | = 4     | = 4   | = 4
        """)
        assert configurations(world) == [expected] * 4
        memberships = [world.nodes[name].register.membership for name in "abcd"]
        assert [membership.is_voter for membership in memberships] == [True, True, False, True]
    finally:
        world.close()


@test("members that are killed and restart within contact_s are not replaced, even if a spare is available")
def _():
    # contact_s is 3 s; the last contact is up to 0.6 s before the kill.
    world = World("abcd")
    try:
        world.play("""
          at   | a     | b     | c     | d
          0    | start | start | start | start
          3    |       |       | kill  |
          5    |       |       | start |
          9    | kill  |       |       |
          11   | start |       |       |
          15   |       | kill  |       |
          17   | put 1 | start |       |
          40   | = 1   | = 1   | = 1   | = 1
        """)
        assert [configuration.epoch for configuration in configurations(world)] == [1] * 4
    finally:
        world.close()


@test("a silent member is replaced by a spare that was there before, after contact_s and within sync_s")
def _():
    # Guards against the wait of 21 s in which the loss of a second member left no majority for good.
    for seed in range(5):
        world = World("abcd", seed=seed)
        try:
            world.play("""
              at   | a     | b     | c     | d
              0    | start | start | start | start
              6    |       |       | kill  |
              8.2  | put 1 |       |       |
            """)
            assert [configuration.epoch for configuration in configurations(world)] == [1] * 3
            world.run(10.0)
            assert configurations(world) == [MembershipConfiguration(2, ("a", "b", "d"))] * 3
            world.play("""
              at   | a       | b    | d
              10   |         | kill |
              10.1 | put 2   |      |
              11.1 | acked 2 |      | = 2
            """)
        finally:
            world.close()


@test("a wiped disk votes again within 0.4 s of its start (disk slowdown {slowdown}, {routes} routes)")
def _(slowdown=each(1, 1, 30), routes=each(1, 1400, 1400)):
    # `sync_s` is 4 s. Guards against a wait for the next iteration of the membership loop, which takes up to
    # 1 s.
    world, results = World(), []
    try:
        for name in world.controllers:
            world.start(name)
        world.run(1.0)
        world.fresh = False
        for at in (1.0, 3.0):
            world.loop.create_task(world.ask("b", "config.replace", body=config(int(at), routes)))
            world.run(at + 1.0)
        world.wipe("a")
        world.run(4.5)
        world.start("a")
        world.set_disk_fault("a", DiskFault(slowdown=slowdown))
        started_at = world.loop.time()

        def check():
            if not results and "a" in world.nodes and world.nodes["a"].register.membership.is_voter:
                results.append(world.loop.time() - started_at)

        world.run(8.0, check)
        assert world.version("a") == 3 and results and results[0] < 0.4, results
    finally:
        world.close()


@test("if a second disk is lost while the first one is rebuilt, neither of them becomes intact")
def _():
    # Two of three disks are more than may fail: the register can't respond any more, and must not respond
    # with wrong values.
    world = World()
    try:
        world.play("""
          at    | a       | b     | c
          0     | start   | start | start
          1     | put 5   |       |
          1.5   | acked 5 |       | cut ab
        """)
        world.fresh = False
        for wait in (0.0005, 0.002, 0.004, 0.006):
            at = world.loop.time()
            world.wipe("a")
            world.start("a")
            world.run(at + wait)
            world.wipe("b")
            world.start("b")
            world.run(at + 0.5)
            assert not any(world.nodes[name].register.membership.intact for name in "ab")
    finally:
        world.close()


def play_member_removed(seed):
    """Plays kills, wipes and partitions of four controllers; the fourth starts once the third is removed."""
    schedule, loss = random_schedule(seed, 30)
    events = [
        (wait, event, "abd"[index % 3] if event == "start" else name)
        for index, (wait, event, name) in enumerate(schedule)
    ]
    replacement = [(0.5, "kill", "c"), (0.1, "start", "d"), (4.0, "put", "a")]
    events = [*events[:10], *replacement, *events[10:], (4.0, "put", "b")]
    play_history(events, loss, seed, controllers="abcd", initial="abc")


@test("twenty histories in which a member is removed and a spare takes its place lose nothing")
def _():
    for seed in range(20):
        play_member_removed(seed)


@test("a spare doesn't count for a majority: a member and a spare don't acknowledge that a machine drains")
def _():
    # Heartbeats stored by a spare are not durable: any number of spares may fail, and a majority of the
    # members may never learn of what they stored.
    world = World("abcd")
    try:
        world.play(REPLACED.replace("kill", ""))
        world.fresh = False
        world.play("""
          at   | a                  | b                 | c | d
          2    |                    |                   |   | start
          4    | cut bc             |                   |   |
          6    | beat m1 draining   | beat m2 draining  |   |
          7.5  | acked m1/draining not | acked m2/draining |   |
        """)
    finally:
        world.close()


@test("a dead member is replaced in time even if duplicates of its requests keep arriving")
def _():
    # Guards against duplicates that count as contact: they delayed the replacement by up to 6 s beyond sync_s
    # (4 s).
    for seed in range(3):
        world = World("abcd", seed=seed)
        try:
            world.play("""
              at | a     | b     | c
              0  | start | start | start
            """)
            world.fresh, world.duplicate_share = False, 0.9
            world.play("""
              at  | c    | d
              6   | kill |
              6.5 |      | start
            """)
            world.run(10.5)
            assert configurations(world) == [MembershipConfiguration(2, ("a", "b", "d"))] * 3
        finally:
            world.close()


def run_with_refusing_disk(world, name, until):
    """Runs the world until a time, with one disk that refuses all writes."""
    world.set_disk_fault(name, REFUSING_DISK)
    world.run(until)


@test("a member whose disk refuses all writes is replaced, and is a spare once its disk works again")
def _():
    # Guards against a member that responds and thus counts as in contact: it stayed a member for ever, and
    # one more failure blocked all changes.
    world, after = World("abcd"), MembershipConfiguration(2, ("a", "b", "d"))
    try:
        world.play("""
          at | a     | b     | c     | d
          0  | start | start | start | start
        """)
        world.run(3.0)
        world.fresh = False
        run_with_refusing_disk(world, "c", 9.3)  # it is replaced after 7 s: contact_s + sync_s
        assert [configuration.epoch for configuration in configurations(world)] == [1] * 4
        world.run(11.3)  # a trial write a second finds that it refuses, at worst after 1 s
        assert [world.nodes[name].register.membership.configuration for name in "abd"] == [after] * 3
        membership = world.nodes["c"].register.membership
        assert not membership.is_synchronized and not membership.is_voter
        world.play("""
          at   | a    | b     | d
          11.4 | kill |       |
          11.5 |      | put 3 |
          12.5 |      | acked 3 | = 3
        """)
        world.set_disk_fault("c", HEALTHY_DISK)
        world.start("a")
        world.run(16.0)
        assert configurations(world) == [after] * 4 and not world.nodes["c"].register.membership.is_voter
    finally:
        world.close()


@test("a member whose disk refuses writes for less than contact_s + sync_s stays a member")
def _():
    world = World("abcd")
    try:
        world.play("""
          at | a     | b     | c     | d
          0  | start | start | start | start
        """)
        world.run(3.0)
        world.fresh = False
        run_with_refusing_disk(world, "c", 8.5)  # a trial write a second finds that it works again
        world.set_disk_fault("c", HEALTHY_DISK)
        world.run(40.0)
        assert [configuration.epoch for configuration in configurations(world)] == [1] * 4
    finally:
        world.close()


@test("a member that restarts with an empty disk that refuses all writes is replaced as well")
def _():
    world = World("abcd")
    try:
        world.play("""
          at | a     | b     | c     | d
          0  | start | start | start | start
          3  |       |       | wipe  |
        """)
        world.fresh = False
        world.start("c")
        world.run(3.006)  # its disk is open
        assert not world.nodes["c"].register.membership.intact
        run_with_refusing_disk(world, "c", 11.0)
        assert [world.nodes[name].register.membership.epoch for name in "abd"] == [2] * 3
    finally:
        world.close()


@test("while a dead member is replaced, no majority answers for less than 0.3 s")
def _():
    # Guards against the loser of two concurrent proposals that retried its ballots in the old epoch for 0.6 s
    # before it entered the new one, which has no majority without it.
    world, failed_at = World("abcd"), {"a": [], "b": []}

    async def read(name):
        while True:
            asked_at = world.loop.time()
            status, _ = await world.ask(name, "config.read", body={})
            if status != 200:
                failed_at[name].append(asked_at)
            await asyncio.sleep(0.02)

    try:
        world.play(REPLACED)
        world.fresh = False
        world.start("d")
        world.run(2.0)
        for name in failed_at:
            world.loop.create_task(read(name))
        world.run(8.0)
        assert [configuration.epoch for configuration in configurations(world)] == [2] * 3
        assert all(times and times[-1] - times[0] < 0.3 for times in failed_at.values()), failed_at
    finally:
        world.close()
