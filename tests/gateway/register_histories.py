"""Plays timelines, and random histories of faults, on the registers of several controllers."""

import random

from timeline import World


def play_timelines(*timelines):
    """Plays timelines in one world; controllers started from the second one on start with fresh = False."""
    world = World()
    try:
        for timeline in timelines:
            world.play(timeline)
            world.fresh = False
    finally:
        world.close()


EVENTS = ("kill", "wipe", "cut", "join", "put", "put", "put", "start", "start")


def random_schedule(seed, length=40):
    """Returns a random schedule and the share of calls that are lost."""
    rng = random.Random(seed)
    loss = rng.choice((0.0, 0.0, 0.1))
    return [(rng.random(), rng.choice(EVENTS), rng.choice("abc")) for _ in range(length)], loss


def play_history(schedule, loss, seed=0, delay=0.001, restart_all=False, controllers="abc", initial=None):
    """Plays a schedule of (seconds to wait, event, controller) and checks the register's guarantees.

    All the time: a reader never returns to an earlier version. In the end: each acknowledged version is
    stored, and all controllers agree. A disk is wiped only if the one wiped before is intact again.

    Returns the number of acknowledged versions.
    """
    world = World(controllers, seed=seed)
    world.latency_s = delay
    seen, wiped, version = {}, None, 0

    def check():
        for name in world.nodes:
            current, incarnation = world.version(name) or 0, world.incarnations.get(name)
            assert current >= seen.get((name, incarnation), 0), f"{name} returned to an earlier version"
            seen[name, incarnation] = current

    try:
        for name in initial or controllers:
            world.start(name)
        world.run(1.0, check)
        world.fresh, world.loss_share = False, loss
        for wait, event, name in schedule:
            world.run(world.loop.time() + wait, check)
            if event == "put":
                version += 1
                world.execute(name, f"put {version}")
            elif event == "start" and name not in world.nodes:
                world.start(name)
            elif event == "cut":
                world.partition(name, world.controllers.replace(name, ""))
            elif event == "join":
                world.heal()
            elif event == "kill":
                world.kill(name)
            elif event == "wipe" and (
                wiped is None or wiped in world.nodes and world.nodes[wiped].register.membership.intact
            ):
                world.wipe(name)
                wiped = name
        world.heal()
        world.loss_share = 0.0
        for name in world.controllers if restart_all else ():
            world.kill(name)  # versions that are only in memory are lost
        for name in world.controllers:
            if name not in world.nodes:
                world.start(name)
        world.run(world.loop.time() + 6.0, check)
        newest = max((int(v) for v in world.acked), default=0)
        stored = [world.version(name) or 0 for name in world.controllers]
        assert min(stored) >= newest and len(set(stored)) == 1, f"acknowledged {newest}, stored {stored}"
        return len(world.acked)
    finally:
        world.close()


def concurrent_schedule(seed):
    """Returns a schedule of pairs of simultaneous changes at two controllers."""
    rng = random.Random(seed)
    pairs = [(rng.random() * 0.3, rng.sample("abc", 2)) for _ in range(10)]
    return [(wait * first, "put", name) for wait, pair in pairs for first, name in zip((1, 0), pair)]


def count_failures(play):
    """Returns how many of forty histories violate a guarantee of the register."""
    failures = 0
    for seed in range(40):
        try:
            play(seed)
        except AssertionError:
            failures += 1
    return failures


def play_faults(seed):
    play_history(*random_schedule(seed), seed)


def play_concurrent_changes(seed):
    """Plays simultaneous changes over a slow network."""
    play_history(concurrent_schedule(seed), 0.0, seed, delay=0.03, restart_all=True)


def configurations(world):
    return [world.nodes[name].register.membership.configuration for name in sorted(world.nodes)]
