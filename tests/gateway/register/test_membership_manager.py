"""Members are agreed on and replaced, and lost disks are rebuilt."""

from register_histories import configurations, play_history, random_schedule
from timeline import World, config
from ward import each, test

from honeywood.gateway.register.membership_configuration import MembershipConfiguration
from honeywood.gateway.register.membership_manager import MembershipManager
from honeywood.lab.emulator.loop import HEALTHY_DISK, REFUSING_DISK, DiskFault


def bootstrap_partitioned(seed=0):
    """Seven controllers of which five are to count, cut into two from the start, with a majority of the
    seeds on one side; joined later. The members by controller."""
    world = World("abcdefg", tolerated_failures=2, seed=seed)
    try:
        for one in "ade":
            world.partition(one, "bcfg")
        for name in world.controllers:
            world.start(name)
        world.run(4.0)
        world.heal()
        world.run(8.0)
        return configurations(world)
    finally:
        world.close()


@test("controllers cut apart at their first start found one set of members")
def _():
    # Each fixed the first five that it knew of: a, d and e fixed abcde, the others abcfg, for good.
    # Then, right after the cut, a controller that had heard some members and a spare replaced one not heard
    # yet.
    for seed in range(4):
        results = bootstrap_partitioned(seed)
        assert results == [MembershipConfiguration(1, tuple("abcfg"))] * 7, seed


async def agree_alone(self, wanted):
    configuration = MembershipConfiguration(self._membership.epoch + 1, tuple(wanted))
    await self._membership.adopt(configuration)
    return configuration


@test("without agreement they found two")
def _():
    # Mutation: each takes the members that it proposes for agreed.
    guarded, MembershipManager._agree = MembershipManager._agree, agree_alone
    try:
        assert len({one.members for one in bootstrap_partitioned()}) > 1
    finally:
        MembershipManager._agree = guarded


REPLACED = """
  at   | a       | b     | c     | d
  0    | start   | start | start |
  1    | put 1   |       |       |
  1.5  | acked 1 |       | kill  |
"""


@test("a member that left for good is replaced, then another is lost: nothing is, and changes go on")
def _():
    # There was no way for d to count: with the second loss one member was left of three.
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


@test("a member that is killed and comes back is not replaced, also where a spare is there")
def _():
    world = World("abcd")
    try:
        world.play("""
          at   | a     | b     | c     | d
          0    | start | start | start | start
          3    |       |       | kill  |
          8    | put 1 |       | start |
          40   | = 1   | = 1   | = 1   | = 1
        """)
        assert [one.epoch for one in configurations(world)] == [1] * 4
    finally:
        world.close()


@test("a wiped disk is a voter again at once ({disk} times a disk's usual time, {routes} routes)")
def _(disk=each(1, 1, 30), routes=each(1, 1400, 1400)):
    # From the start of its process; `sync_s` is 4 s. By the next round of the keeping loop it took up to 1 s.
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
        world.set_disk_fault("a", DiskFault(slowdown=disk))
        began = world.loop.time()

        def look():
            if not results and "a" in world.nodes and world.nodes["a"].register.membership.is_voter:
                results.append(world.loop.time() - began)

        world.run(8.0, look)
        assert world.version("a") == 3 and results and results[0] < 0.4, results
    finally:
        world.close()


@test("two disks lost one after the other, the second while the first is rebuilt, never vote on nothing")
def _():
    # Beyond what must be borne: nothing can be told any more, and nothing else is.
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
    """Kills, wipes and cuts of four controllers, of which the fourth is there when the third has gone."""
    schedule, loss = random_schedule(seed, 30)
    moments = [
        (wait, what, "abd"[at % 3] if what == "start" else name)
        for at, (wait, what, name) in enumerate(schedule)
    ]
    gone = [(0.5, "kill", "c"), (0.1, "start", "d"), (4.0, "put", "a")]
    moments = [*moments[:10], *gone, *moments[10:], (4.0, "put", "b")]
    play_history(moments, loss, seed, controllers="abcd", first="abc")


@test("twenty histories with a member that goes for good and one that comes lose nothing")
def _():
    for seed in range(20):
        play_member_removed(seed)


@test("contact with a spare is none with a majority: no leaving is acknowledged by the two of them")
def _():
    # A spare's notes count for nothing: it may go in any number, and a majority may never hear of it.
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


@test("a member that is gone is replaced in time though copies of its requests keep arriving")
def _():
    # Each copy passed for a sign of its life: the place was taken up to 6 s later than sync_s (4 s).
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
    """Plays on with a disk that takes no writes."""
    world.set_disk_fault(name, REFUSING_DISK)
    world.run(until)


@test("a member whose disk refuses all writes is replaced, and is the spare once its disk works again")
def _():
    # It answered, so it was in contact: it stayed a member for ever, and one more loss ended all changes.
    world, after = World("abcd"), MembershipConfiguration(2, ("a", "b", "d"))
    try:
        world.play("""
          at | a     | b     | c     | d
          0  | start | start | start | start
        """)
        world.run(3.0)
        world.fresh = False
        run_with_refusing_disk(world, "c", 23.5)  # of 21 s: three times contact_s and sync_s together
        assert [one.epoch for one in configurations(world)] == [1] * 4
        world.run(26.0)
        assert [world.nodes[name].register.membership.configuration for name in "abd"] == [after] * 3
        membership = world.nodes["c"].register.membership
        assert not membership.is_synchronized and not membership.is_voter
        world.play("""
          at   | a    | b     | d
          26.1 | kill |       |
          26.2 |      | put 3 |
          27.2 |      | acked 3 | = 3
        """)
        world.set_disk_fault("c", HEALTHY_DISK)
        world.start("a")
        world.run(30.0)
        assert configurations(world) == [after] * 4 and not world.nodes["c"].register.membership.is_voter
    finally:
        world.close()


@test("a member whose disk refuses for less than that stays one")
def _():
    world = World("abcd")
    try:
        world.play("""
          at | a     | b     | c     | d
          0  | start | start | start | start
        """)
        world.run(3.0)
        world.fresh = False
        run_with_refusing_disk(world, "c", 20.0)
        world.set_disk_fault("c", HEALTHY_DISK)
        world.run(40.0)
        assert [one.epoch for one in configurations(world)] == [1] * 4
    finally:
        world.close()


@test("a member that comes back with an empty disk which refuses all writes is replaced as well")
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
        run_with_refusing_disk(world, "c", 26.0)
        assert [world.nodes[name].register.membership.epoch for name in "abd"] == [2] * 3
    finally:
        world.close()
