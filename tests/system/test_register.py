"""The register: what was acknowledged is never lost, a rollout has one outcome, a reader never goes back."""

import random

from timeline import World
from ward import each, test

from honeywood.system.ledger import acceptor


def played(chart, **given):
    world = World(**given)
    try:
        world.play(chart)
    finally:
        world.close()
    return world


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
    world = World()
    try:
        world.play("""
          at   | a     | b     | c
          0    | start | start | start
          1    |       | kill  |
          1.1  | put 5 |       |
          1.3  | acked 5, wipe | | kill
        """)
        world.fresh = False
        world.play("""
          at   | a     | b     | c
          1.4  | start | start |
          3.5  | put 4, = None | put 4, = None |
          4.6  | acked 4 not   |       |
          5    |       |       | start
          8    | = 5   | = 5   | = 5
        """)
    finally:
        world.close()


@test("all are killed at once and come back with their disks, without help")
def _():
    world = World()
    try:
        world.play("""
          at   | a     | b     | c
          0    | start | start | start
          1    | put 5 |       |
          1.1  | acked 5, kill | kill | kill
        """)
        world.fresh = False
        world.play("""
          at   | a     | b     | c
          2    | start | start | start
          4    | = 5   | = 5   | = 5
        """)
    finally:
        world.close()


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


def history(seed, moments=40):
    """A schedule of faults drawn by a seed, with what must hold looked at all the while: no reader goes back,
    what was acknowledged is held in the end. At most one disk is lost at a time, and it is given time."""
    draw, world = random.Random(seed), World(seed=seed)
    seen, lost, version = {}, None, 0

    def look():
        for name in world.nodes:
            held, life = world.version(name) or 0, world.lives.get(name)
            assert held >= seen.get((name, life), 0), f"{name} goes back, seed {seed}"
            seen[name, life] = held

    try:
        for name in world.bourses:
            world.start(name)
        world.run(1.0, look)
        world.fresh, world.loss = False, draw.choice((0.0, 0.0, 0.1))
        for _ in range(moments):
            world.run(world.loop.time() + draw.random(), look)
            what, name = draw.choice(FAULTS), draw.choice(world.bourses)
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
            elif (
                what == "wipe"
                and lost is None
                or what == "wipe"
                and lost in world.nodes
                and (world.nodes[lost].register.sound)
            ):
                world.wipe(name)
                lost = name
        world.join()
        world.loss = 0.0
        for name in world.bourses:
            if name not in world.nodes:
                world.start(name)
        world.run(world.loop.time() + 6.0, look)
        newest = max((int(v) for v in world.acked), default=0)
        held = [world.version(name) or 0 for name in world.bourses]
        assert min(held) >= newest and len(set(held)) == 1, f"acked {newest}, held {held}, seed {seed}"
        return len(world.acked)
    finally:
        world.close()


@test("forty histories of kills, wipes, cuts and losses lose nothing that was acknowledged")
def _():
    assert sum(history(seed) for seed in range(40)) > 100


@test("without the guard against amnesia the histories lose something")
def _():
    # A mutation: a wiped disk that takes part at once. Histories that can't see it would prove nothing.
    from honeywood.system.bourse.register import BORN, Register

    guarded = Register.rebuild

    async def careless(self, known):
        await self._keep({BORN: True})
        self.sound = True

    Register.rebuild = careless
    try:
        broken = 0
        for seed in range(40):
            try:
                history(seed)
            except AssertionError:
                broken += 1
        assert broken > 0
    finally:
        Register.rebuild = guarded


@test("a ballot below the promised one is refused ({op})")
def _(op=each("prepare", "accept")):
    row = [[5, "b"], [3, "a"], "held"]
    found = acceptor.prepare(row, [5, "a"]) if op == "prepare" else acceptor.accept(row, [5, "a"], "new")
    assert found == (None, {"ok": False, "promised": [5, "b"]})
