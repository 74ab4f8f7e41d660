"""Tests of large values, which are sent by content hash, separately from ballots, in checksummed chunks."""

from slow_link import change_key, large_value, start_world, stored_value
from ward import each, test

from honeywood.gateway.register import values
from honeywood.gateway.register.value_lookup import ValueLookup
from honeywood.gateway.register.values import (
    MAX_CHUNK_CHARACTERS,
    reference_to,
)

LARGE, OTHER = "large", "other"  # keys


def time_to_reach(length, rate, value=None):
    """Changes a large value whose third disk is behind a link of `rate` bytes per second.

    Returns the seconds until that disk stored the value, how many changes of another key the disk stored
    meanwhile, and the seconds that the longest of those changes took.
    """
    world, outcomes, other_outcomes, stored_others = start_world(rate), [], [], set()
    value = value or large_value(length)
    try:
        started_at = world.loop.time()
        change_key(world, "a", LARGE, value, outcomes)
        while stored_value(world, "c", LARGE) != value and world.loop.time() - started_at < 40.0:
            change_key(world, "a", OTHER, len(other_outcomes) + len(stored_others), other_outcomes)
            world.run(world.loop.time() + 0.25)
            stored_others.add(stored_value(world, "c", OTHER))
        assert outcomes and outcomes[0][1] and outcomes[0][0] < 0.7, outcomes  # a and b are a majority
        assert all(succeeded for _, succeeded in other_outcomes)
        world.run(world.loop.time() + 2.0)
        assert [stored_value(world, name, LARGE) for name in "abc"] == [value] * 3
        return (
            world.loop.time() - 2.0 - started_at,
            len(stored_others),
            max(took for took, _ in other_outcomes),
        )
    finally:
        world.close()


@test("{length} characters reach a disk behind {rate} bytes per second, and other keys' ballots continue")
def _(length=each(25_000, 25_000, 300_000, 300_000), rate=each(100_000, 30_000, 100_000, 30_000)):
    elapsed, other_changes, longest = time_to_reach(length, rate)
    assert elapsed < 1.5 * length / rate + 1.0, elapsed
    assert other_changes >= elapsed and longest < 0.5, (elapsed, other_changes, longest)


@test("a large value that is inline in the accept request doesn't reach that disk")
def _():
    # Mutation, which is the former behaviour: 300 kB take 3 s, but the timeout of a request is 0.8 s.
    original, values.MAX_INLINE_CHARACTERS = values.MAX_INLINE_CHARACTERS, 1 << 30
    try:
        time_to_reach(300_000, 100_000)
    except AssertionError:
        return
    finally:
        values.MAX_INLINE_CHARACTERS = original
    raise AssertionError("the value reached the disk")


@test("an acceptor that doesn't wait for the value acknowledges a value that its disk doesn't store")
def _():
    # Mutation: a value that this disk doesn't have is treated as if it had it.
    original = ValueLookup.find
    ValueLookup.find = lambda self, value: original(self, value) or values.CompleteValue(None)
    try:
        time_to_reach(300_000, 100_000)
    except AssertionError:
        return
    finally:
        ValueLookup.find = original
    raise AssertionError("the mutation was not detected")


@test("if all links are slow a large value is acknowledged eventually, since retries resume the transfer")
def _():
    world, outcomes, value = start_world(100_000, "abc"), [], large_value(300_000)
    try:
        for _ in range(8):
            change_key(world, "a", LARGE, value, outcomes)
            world.run(world.loop.time() + 4.0)
            if outcomes and outcomes[-1][1]:
                break
        assert outcomes[-1][1], outcomes
        world.run(world.loop.time() + 6.0)
        assert [stored_value(world, name, LARGE) for name in "abc"] == [value] * 3
    finally:
        world.close()


@test("once a disk stores a value, no message carries it again in a promise, an accept or a read")
def _():
    world, outcomes, value = start_world(100_000), [], large_value(300_000)
    try:
        change_key(world, "a", LARGE, value, outcomes)
        world.run(12.0)
        assert stored_value(world, "c", LARGE) == value
        world.longest = 0
        register = world.nodes["c"].register

        async def read():
            changed = await register.change(LARGE, lambda stored_value: stored_value)
            outcomes.append(changed == await register.read(LARGE) == value)

        world.processes["c"].run(read())
        world.run(15.0)
        assert outcomes[-1] is True and 0 < world.longest < 3000, world.longest
    finally:
        world.close()


@test("a read fetches a value that this disk doesn't have, in chunks")
def _():
    world, outcomes, value = start_world(100_000), [], large_value(100_000)
    try:
        world.partition("c", "ab")
        change_key(world, "a", LARGE, value, outcomes)
        world.run(world.loop.time() + 3.0)
        assert outcomes[0][1] and stored_value(world, "c", LARGE) is None
        world.heal()

        async def read():
            outcomes.append(await world.nodes["c"].register.read(LARGE))

        world.processes["c"].run(read())
        world.run(world.loop.time() + 4.0)
        assert outcomes[-1] == value and world.longest < MAX_CHUNK_CHARACTERS + 1000
    finally:
        world.close()


RECEIVED = "when c has received it completely but not accepted it"


def run_until_received(world, after, reference):
    """Runs for `after` seconds, or for RECEIVED until c has the complete value but hasn't accepted it."""
    if after != RECEIVED:
        return world.run(world.loop.time() + after)
    lookup = world.nodes["c"].register.lookup
    while lookup.store.text(world.loop.time(), reference) is None:
        world.run(world.loop.time() + 0.0002)
    assert stored_value(world, "c", LARGE) == {"n": 1}


@test("killing {victim} during a value's transfer ({after}) loses nothing")
def _(
    victim=each("a", "a", "a", "a", "c", "c", "c", "c"),
    after=each(0.05, 1.0, 2.9, RECEIVED, 0.05, 1.0, 2.9, RECEIVED),
):
    # b is down, so a and the slow c are the majority: nothing is acknowledged before c has the complete
    # value.
    world, outcomes, value = start_world(100_000), [], large_value(250_000)
    try:
        change_key(world, "a", LARGE, {"n": 1}, outcomes)
        world.run(3.0)
        assert outcomes.pop()[1]
        world.kill("b")
        change_key(world, "a", LARGE, value, outcomes)
        run_until_received(world, after, reference_to(values.canonical_text(value)))
        acked = bool(outcomes) and outcomes[0][1]
        world.kill(victim)
        world.run(world.loop.time() + 0.5)
        stored = world.disks[victim][LARGE][2]
        assert stored in ({"n": 1}, value) and (not acked or stored == value)
        for name in {victim, "b"}:
            world.start(name)
        world.run(world.loop.time() + 2.0)
        later_outcomes = []
        change_key(world, "b", OTHER, 7, later_outcomes)
        for _ in range(6):
            change_key(world, "a", LARGE, value, outcomes)
            world.run(world.loop.time() + 4.0)
        assert later_outcomes[0][1] and outcomes[-1][1], outcomes
        assert [stored_value(world, name, LARGE) for name in "abc"] == [value] * 3
    finally:
        world.close()
