"""The register: what was acknowledged is never lost, a rollout has one outcome, a reader never goes back."""

import random

from hypothesis import given, settings
from hypothesis import strategies as st
from timeline import World
from ward import each, test

from honeywood.system.bourse.register import BORN, Register
from honeywood.system.ledger import acceptor


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


@test("one bourse alone acknowledges nothing, and takes part again when joined")
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


@test("a bourse whose own disk takes no writes still acknowledges what the others' disks hold")
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


def history(schedule, loss, seed=0, delay=0.001, again=False):
    """Plays [(seconds waited, fault, bourse)], with what must hold looked at all the while: no reader goes
    back, what was acknowledged is held in the end. A disk is lost only when the last one is sound again."""
    world = World(seed=seed)
    world.delay = delay
    seen, lost, version = {}, None, 0

    def look():
        for name in world.nodes:
            held, life = world.version(name) or 0, world.lives.get(name)
            assert held >= seen.get((name, life), 0), f"{name} goes back"
            seen[name, life] = held

    try:
        for name in world.bourses:
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
                world.cut(name, world.bourses.replace(name, ""))
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
        for name in world.bourses if again else ():
            world.kill(name)  # what only news remembered is gone with it
        for name in world.bourses:
            if name not in world.nodes:
                world.start(name)
        world.run(world.loop.time() + 6.0, look)
        newest = max((int(v) for v in world.acked), default=0)
        held = [world.version(name) or 0 for name in world.bourses]
        assert min(held) >= newest and len(set(held)) == 1, f"acked {newest}, held {held}"
        return len(world.acked)
    finally:
        world.close()


@test("forty histories of kills, wipes, cuts and losses lose nothing that was acknowledged")
def _():
    assert sum(history(*drawn(seed), seed) for seed in range(40)) > 100


@test("nor do schedules that hypothesis looks for; what it finds is the shortest that fails")
def _():
    moment = st.tuples(st.floats(0.0, 2.0), st.sampled_from(FAULTS), st.sampled_from("abc"))

    @settings(max_examples=60, deadline=None, derandomize=True, database=None)
    @given(st.lists(moment, max_size=30), st.sampled_from((0.0, 0.1)))
    def tried(schedule, loss):
        history(schedule, loss)

    tried()


def raced(seed):
    """A schedule of changes that meet: two bourses at once, over a slow net."""
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


@test("changes that meet at two bourses lose nothing that was acknowledged")
def _():
    assert broken(racing) == 0


async def careless(self, known):
    await self._keep({BORN: 1})
    self.sound = True


def forgetful(row, ballot, value):
    return [ballot, ballot, value], {"ok": True}


@test("without the guard {guard} the histories lose something")
def _(
    guard=each("against amnesia", "of promises"),
    place=each(Register, acceptor),
    name=each("rebuild", "accept"),
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
    row = [[5, "b"], [3, "a"], "held"]
    found = acceptor.prepare(row, [5, "a"]) if op == "prepare" else acceptor.accept(row, [5, "a"], "new")
    assert found == (None, {"ok": False, "promised": [5, "b"]})
