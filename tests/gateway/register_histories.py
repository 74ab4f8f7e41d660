"""Histories of faults played on controllers' registers, and the charts of timelines."""

import random

from timeline import World


def play_charts(*charts):
    """Plays charts in a world; from the second one on, whoever starts does so on a system not fresh."""
    world = World()
    try:
        for chart in charts:
            world.play(chart)
            world.fresh = False
    finally:
        world.close()


FAULTS = ("kill", "wipe", "cut", "join", "put", "put", "put", "start", "start")


def random_schedule(seed, moments=40):
    """A schedule by a seed: (schedule, share of calls lost)."""
    draw = random.Random(seed)
    loss = draw.choice((0.0, 0.0, 0.1))
    return [(draw.random(), draw.choice(FAULTS), draw.choice("abc")) for _ in range(moments)], loss


def play_history(schedule, loss, seed=0, delay=0.001, again=False, controllers="abc", first=None):
    """Plays [(seconds waited, fault, controller)], with what must hold looked at all the while: no reader
    goes
    back, what was acknowledged is held in the end. A disk is lost only when the last one is sound again."""
    world = World(controllers, seed=seed)
    world.latency_s = delay
    seen, lost, version = {}, None, 0

    def look():
        for name in world.nodes:
            held, life = world.version(name) or 0, world.incarnations.get(name)
            assert held >= seen.get((name, life), 0), f"{name} goes back"
            seen[name, life] = held

    try:
        for name in first or controllers:
            world.start(name)
        world.run(1.0, look)
        world.fresh, world.loss_share = False, loss
        for wait, what, name in schedule:
            world.run(world.loop.time() + wait, look)
            if what == "put":
                version += 1
                world.execute(name, f"put {version}")
            elif what == "start" and name not in world.nodes:
                world.start(name)
            elif what == "cut":
                world.partition(name, world.controllers.replace(name, ""))
            elif what == "join":
                world.heal()
            elif what == "kill":
                world.kill(name)
            elif what == "wipe" and (
                lost is None or lost in world.nodes and world.nodes[lost].register.membership.intact
            ):
                world.wipe(name)
                lost = name
        world.heal()
        world.loss_share = 0.0
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


def racing_schedule(seed):
    """A schedule of changes that meet: two controllers at once, over a slow net."""
    draw = random.Random(seed)
    pairs = [(draw.random() * 0.3, draw.sample("abc", 2)) for _ in range(10)]
    return [(wait * first, "put", name) for wait, two in pairs for first, name in zip((1, 0), two)]


def count_broken(play):
    """How many of forty histories lose something."""
    found = 0
    for seed in range(40):
        try:
            play(seed)
        except AssertionError:
            found += 1
    return found


def play_faults(seed):
    play_history(*random_schedule(seed), seed)


def play_races(seed):
    play_history(racing_schedule(seed), 0.0, seed, delay=0.03, again=True)


def configurations(world):
    return [world.nodes[name].register.membership.configuration for name in sorted(world.nodes)]
