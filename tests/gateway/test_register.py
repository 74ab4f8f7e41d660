"""The register: what was acknowledged is never lost, a rollout has one outcome, a reader never goes back."""

import random

from hypothesis import given, settings
from hypothesis import strategies as st
from timeline import World, config
from ward import each, test

from honeywood.gateway.controller.contact import Contacts
from honeywood.gateway.register import acceptor, values
from honeywood.gateway.register.membership import DiskState, PeerState, Replacement, replacement
from honeywood.gateway.register.outcome import Done
from honeywood.gateway.register.rebuild import Rebuild
from honeywood.gateway.register.replies import Accepted, Refusal
from honeywood.gateway.register.row import Ballot, Row
from honeywood.gateway.register.storage import BORN


def played(*charts):
    """Plays charts in a world; from the second one on, whoever starts does so on a system not fresh."""
    world = World()
    try:
        for chart in charts:
            world.play(chart)
            world.fresh = False
    finally:
        world.close()


@test("a version is acknowledged once a majority holds it, and the third hears of it")
def _():
    played("""
      at   | a     | b     | c
      0    | start | start | start
      1    | put 5 |       |
      1.1  | acked 5 | = 5 | = 5
    """)


@test("one controller alone acknowledges nothing, and takes part again when joined")
def _():
    played("""
      at   | a      | b     | c
      0    | start  | start | start
      1    | cut bc |       |
      3    | put 5  | put 6 |
      4.5  | acked 5 not, = None | acked 6 | = 6
      5    | join   |       |
      7    | = 6    | = 6   | = 6
    """)


@test("the one that acknowledged loses its disk while the others lose power")
def _():
    # Amnesia: an empty disk that voted would make a majority with one that never heard of 5.
    played(
        """
          at   | a     | b     | c
          0    | start | start | start
          1    |       | kill  |
          1.1  | put 5 |       |
          1.3  | acked 5, wipe | | kill
        """,
        """
          at   | a     | b     | c
          1.4  | start | start |
          3.5  | put 4, = None | put 4, = None |
          4.6  | acked 4 not   |       |
          5    |       |       | start
          8    | = 5   | = 5   | = 5
        """,
    )


@test("a controller whose own disk takes no writes still acknowledges what the others' disks hold")
def _():
    # Its own refusal ended the whole change by an exception, and the caller got 500.
    played("""
      at   | a       | b     | c
      0    | start   | start | start
      1    | refuse  |       |
      1.1  | put 5   |       |
      1.4  | acked 5 | = 5   | = 5
    """)


@test("all are killed at once and come back with their disks, without help")
def _():
    played(
        """
          at   | a     | b     | c
          0    | start | start | start
          1    | put 5 |       |
          1.1  | acked 5, kill | kill | kill
        """,
        """
          at   | a     | b     | c
          2    | start | start | start
          4    | = 5   | = 5   | = 5
        """,
    )


@test("a lower version is acknowledged and changes nothing; the same one twice keeps the first")
def _():
    played("""
      at   | a       | b     | c
      0    | start   | start | start
      1    | put 9   |       |
      1.2  |         | put 4 |
      1.4  | acked 4 | = 9   | = 9
    """)


FAULTS = ("kill", "wipe", "cut", "join", "put", "put", "put", "start", "start")


def drawn(seed, moments=40):
    """A schedule by a seed: (schedule, share of calls lost)."""
    draw = random.Random(seed)
    loss = draw.choice((0.0, 0.0, 0.1))
    return [(draw.random(), draw.choice(FAULTS), draw.choice("abc")) for _ in range(moments)], loss


def history(schedule, loss, seed=0, delay=0.001, again=False, controllers="abc", first=None):
    """Plays [(seconds waited, fault, controller)], with what must hold looked at all the while: no reader
    goes
    back, what was acknowledged is held in the end. A disk is lost only when the last one is sound again."""
    world = World(controllers, seed=seed)
    world.delay = delay
    seen, lost, version = {}, None, 0

    def look():
        for name in world.nodes:
            held, life = world.version(name) or 0, world.lives.get(name)
            assert held >= seen.get((name, life), 0), f"{name} goes back"
            seen[name, life] = held

    try:
        for name in first or controllers:
            world.start(name)
        world.run(1.0, look)
        world.fresh, world.loss = False, loss
        for wait, what, name in schedule:
            world.run(world.loop.time() + wait, look)
            if what == "put":
                version += 1
                world.say(name, f"put {version}")
            elif what == "start" and name not in world.nodes:
                world.start(name)
            elif what == "cut":
                world.cut(name, world.controllers.replace(name, ""))
            elif what == "join":
                world.join()
            elif what == "kill":
                world.kill(name)
            elif what == "wipe" and (
                lost is None or lost in world.nodes and world.nodes[lost].register.sound
            ):
                world.wipe(name)
                lost = name
        world.join()
        world.loss = 0.0
        for name in world.controllers if again else ():
            world.kill(name)  # what only news remembered is gone with it
        for name in world.controllers:
            if name not in world.nodes:
                world.start(name)
        world.run(world.loop.time() + 6.0, look)
        newest = max((int(v) for v in world.acked), default=0)
        held = [world.version(name) or 0 for name in world.controllers]
        assert min(held) >= newest and len(set(held)) == 1, f"acked {newest}, held {held}"
        return len(world.acked)
    finally:
        world.close()


@test("forty histories of kills, wipes, cuts and losses lose nothing that was acknowledged")
def _():
    assert sum(history(*drawn(seed), seed) for seed in range(40)) > 100


@test("nor do {seeds} in which every value is carried apart from its ballots, {share} of the calls lost")
def _(share=each("some", "a third"), seeds=each(20, 40), least=each(50, 10)):
    kept, values.INLINE_CHARACTERS = values.INLINE_CHARACTERS, 64
    try:
        acked = 0
        for seed in range(100, 100 + seeds):
            schedule, loss = drawn(seed)
            acked += history(schedule, loss if share == "some" else 0.33, seed)
        assert acked > least
        assert sum(broken(play) for play in (racing,)) == 0
    finally:
        values.INLINE_CHARACTERS = kept


@test("nor do schedules that hypothesis looks for; what it finds is the shortest that fails")
def _():
    moment = st.tuples(st.floats(0.0, 2.0), st.sampled_from(FAULTS), st.sampled_from("abc"))

    @settings(max_examples=60, deadline=None, derandomize=True, database=None)
    @given(st.lists(moment, max_size=30), st.sampled_from((0.0, 0.1)))
    def tried(schedule, loss):
        history(schedule, loss)

    tried()


def raced(seed):
    """A schedule of changes that meet: two controllers at once, over a slow net."""
    draw = random.Random(seed)
    pairs = [(draw.random() * 0.3, draw.sample("abc", 2)) for _ in range(10)]
    return [(wait * first, "put", name) for wait, two in pairs for first, name in zip((1, 0), two)]


def broken(play):
    """How many of forty histories lose something."""
    found = 0
    for seed in range(40):
        try:
            play(seed)
        except AssertionError:
            found += 1
    return found


def faulty(seed):
    history(*drawn(seed), seed)


def racing(seed):
    history(raced(seed), 0.0, seed, delay=0.03, again=True)


@test("changes that meet at two controllers lose nothing that was acknowledged")
def _():
    assert broken(racing) == 0


async def careless(self, known):
    await self.epochs.enter({"epoch": 1, "members": sorted(known), "next": None}, **{BORN: 1})


def forgetful(row, ballot, value):
    return Row(ballot, ballot, value), Accepted()


@test("without the guard {guard} the histories lose something")
def _(
    guard=each("against amnesia", "of promises"),
    place=each(Rebuild, acceptor),
    name=each("_join", "accept"),
    without=each(careless, forgetful),
    play=each(faulty, racing),
):
    # Mutations: a wiped disk that takes part at once; a ballot accepted below the one promised. Histories
    # that can't see them would prove nothing.
    guarded = getattr(place, name)
    setattr(place, name, without)
    try:
        assert broken(play) > 0
    finally:
        setattr(place, name, guarded)


@test("a ballot below the promised one is refused ({op})")
def _(op=each("prepare", "accept")):
    row, lower = Row(Ballot(5, "b"), Ballot(3, "a"), "held"), Ballot(5, "a")
    found = acceptor.prepare(row, lower) if op == "prepare" else acceptor.accept(row, lower, "new")
    assert found == (None, Refusal(Ballot(5, "b")))


# members


def configurations(world):
    return [world.nodes[name].register.here for name in sorted(world.nodes)]


def founded_apart(seed=0):
    """Seven controllers of which five are to count, cut into two from the start, with a majority of the
    seeds on one side; joined later. The members by controller."""
    world = World("abcdefg", bear=2, seed=seed)
    try:
        for one in "ade":
            world.cut(one, "bcfg")
        for name in world.controllers:
            world.start(name)
        world.run(4.0)
        world.join()
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
        found = founded_apart(seed)
        assert found == [{"epoch": 1, "members": list("abcfg"), "next": None}] * 7, seed


async def alone(self, wanted):
    await self.epochs.follow({"epoch": self.epochs.epoch + 1, "members": wanted})
    return Done(None)


@test("without agreement they found two")
def _():
    # Mutation: each takes the members that it proposes for agreed.
    guarded, Rebuild._agree = Rebuild._agree, alone
    try:
        assert len({tuple(one["members"]) for one in founded_apart()}) > 1
    finally:
        Rebuild._agree = guarded


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
        counts = {"epoch": 2, "members": ["a", "b", "d"], "next": None}
        assert configurations(world) == [counts] * 2
        world.play("""
          at   | a     | b       | c     | d
          8    |       | wipe    | start |
          8.2  | start | start   |       |
          9    | = 3   | = 3     | = 3   | put 4
          9.5  |       |         |       | acked 4
          11   | = 4   | = 4     | = 4   | = 4
        """)
        assert configurations(world) == [counts] * 4
        assert [world.nodes[name].register.counts for name in "abcd"] == [True, True, False, True]
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
        assert [one["epoch"] for one in configurations(world)] == [1] * 4
    finally:
        world.close()


@test("a wiped disk counts again at once ({disk} times a disk's usual time, {routes} routes)")
def _(disk=each(1, 1, 30), routes=each(1, 1400, 1400)):
    # From the start of its process; `sync_s` is 4 s. By the next round of the keeping loop it took up to 1 s.
    world, found = World(), []
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
        world.disk("a", disk)
        began = world.loop.time()

        def look():
            if not found and "a" in world.nodes and world.nodes["a"].register.counts:
                found.append(world.loop.time() - began)

        world.run(8.0, look)
        assert world.version("a") == 3 and found and found[0] < 0.4, found
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
            assert not any(world.nodes[name].register.sound for name in "ab")
    finally:
        world.close()


def removed(seed):
    """Kills, wipes and cuts of four controllers, of which the fourth is there when the third has gone."""
    schedule, loss = drawn(seed, 30)
    moments = [
        (wait, what, "abd"[at % 3] if what == "start" else name)
        for at, (wait, what, name) in enumerate(schedule)
    ]
    gone = [(0.5, "kill", "c"), (0.1, "start", "d"), (4.0, "put", "a")]
    moments = [*moments[:10], *gone, *moments[10:], (4.0, "put", "b")]
    history(moments, loss, seed, controllers="abcd", first="abc")


@test("twenty histories with a member that goes for good and one that comes lose nothing")
def _():
    for seed in range(20):
        removed(seed)


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
            world.fresh, world.copies = False, 0.9
            world.play("""
              at  | c    | d
              6   | kill |
              6.5 |      | start
            """)
            world.run(10.5)
            assert configurations(world) == [{"epoch": 2, "members": ["a", "b", "d"], "next": None}] * 3
        finally:
            world.close()


@test("a request shows contact when the answer was sent whose stamp it repeats, a copy nothing")
def _():
    contacts = Contacts("a", "a1", 0.0, 1, lambda: ["a", "b", "c"])
    contacts.asked("b", 1.0, None, 7, DiskState.WORKS)  # nothing of ours: it may be of any age
    assert contacts.states()["b"].contact_at == 0.0 and not contacts.have_heard(7)
    first, second = contacts.stamp(2.0), contacts.stamp(3.0)
    contacts.asked("b", 3.1, second, 9, DiskState.WORKS)
    contacts.asked("b", 8.0, first, 4, DiskState.WORKS)
    contacts.asked("b", 8.0, second, 9, DiskState.WORKS)
    contacts.asked("b", 8.0, ["a0", 7.0], 99, DiskState.WORKS)  # of an earlier life of this controller
    assert contacts.states()["b"].contact_at == 3.0 and not contacts.have_heard(10)
    assert contacts.vouching(5.9) == {"a", "b"} and contacts.vouching(6.1) == {"a"}


def refusing(world, name, until):
    """Plays on with a disk that takes no writes."""
    world.disk(name, None)
    world.run(until)


@test("a member whose disk refuses all writes is replaced, and is the spare once its disk works again")
def _():
    # It answered, so it was in contact: it stayed a member for ever, and one more loss ended all changes.
    world, after = World("abcd"), {"epoch": 2, "members": ["a", "b", "d"], "next": None}
    try:
        world.play("""
          at | a     | b     | c     | d
          0  | start | start | start | start
        """)
        world.run(3.0)
        world.fresh = False
        refusing(world, "c", 23.5)  # of 21 s: three times contact_s and sync_s together
        assert [one["epoch"] for one in configurations(world)] == [1] * 4
        world.run(26.0)
        assert [world.nodes[name].register.here for name in "abd"] == [after] * 3
        assert not world.nodes["c"].register.settled and not world.nodes["c"].register.counts
        world.play("""
          at   | a    | b     | d
          26.1 | kill |       |
          26.2 |      | put 3 |
          27.2 |      | acked 3 | = 3
        """)
        world.disk("c", 1.0)
        world.start("a")
        world.run(30.0)
        assert configurations(world) == [after] * 4 and not world.nodes["c"].register.counts
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
        refusing(world, "c", 20.0)
        world.disk("c", 1.0)
        world.run(40.0)
        assert [one["epoch"] for one in configurations(world)] == [1] * 4
    finally:
        world.close()


WELL = PeerState(contact_at=99.9, usable_at=99.9, contact_since=0.0)
GONE = PeerState(contact_at=70.0, usable_at=70.0, contact_since=0.0)
REFUSES = PeerState(contact_at=99.9, usable_at=70.0, contact_since=0.0, disk=DiskState.REFUSES)
JUST_REFUSES = PeerState(contact_at=99.9, usable_at=99.0, contact_since=0.0, disk=DiskState.REFUSES)
CAME = PeerState(contact_at=99.9, usable_at=99.9, contact_since=75.0)
BACK = PeerState(contact_at=99.9, usable_at=99.9, contact_since=99.0)


@test("with {b} and {c}, and {d} and {e} besides, {found} is proposed")
def _(
    b=each(WELL, WELL, WELL, GONE, JUST_REFUSES, BACK, WELL),
    c=each(GONE, REFUSES, REFUSES, REFUSES, REFUSES, REFUSES, JUST_REFUSES),
    d=each(CAME, CAME, REFUSES, CAME, CAME, CAME, CAME),
    e=each(GONE, BACK, WELL, WELL, WELL, WELL, WELL),
    found=each(
        Replacement("c", "d", "silent"),
        Replacement("c", "d", "refuses writes"),
        Replacement("c", "e", "refuses writes"),
        *[None] * 4,
    ),
):
    here = {"epoch": 1, "members": ["a", "b", "c"], "next": None}
    assert replacement(here, "a", {"b": b, "c": c, "d": d, "e": e}, 100.0, 3.0, 21.0) == found


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
        assert not world.nodes["c"].register.sound
        refusing(world, "c", 26.0)
        assert [world.nodes[name].register.epoch for name in "abd"] == [2] * 3
    finally:
        world.close()
