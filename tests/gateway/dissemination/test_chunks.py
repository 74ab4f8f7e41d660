"""Assembling a long record of its chunks."""

import random
from dataclasses import replace

from ward import test

from honeywood.gateway.dissemination.change_feed import ChangeFeed
from honeywood.gateway.dissemination.chunks import ChunkAssembler, ChunkProgress
from honeywood.gateway.dissemination.record import Stamp
from honeywood.gateway.dissemination.store import Store


def full(notes, long, seed=0):
    """A store of short notes and one long one."""
    store, draw = Store("l"), random.Random(seed)
    for n in range(notes):
        store.put(f"machine/{n}", Stamp.of(n), {"ip": "1" * draw.randrange(1, 200)})
    store.put("config", Stamp.of(7), "".join(draw.choice("abcdef") for _ in range(long)))
    return store


@test("pieces of another text under one stamp, out of order or beyond the end are never taken for a whole")
def _():
    one, two, pieces = full(0, 5000), full(0, 5000, seed=1), ChunkAssembler()
    feed = ChangeFeed(one)
    first = feed.batch(feed.since("", 0, False), 3000).chunk
    assert pieces.add(first) is None
    begun = {"config": ChunkProgress(Stamp.of(7), first.digest, 3000)}
    feed = ChangeFeed(two)
    rest = feed.batch(feed.since("", 0, False), 3000, begun).chunk
    assert rest.offset == 0, "nobody goes on with a text that it doesn't have"
    assert pieces.add(replace(rest, offset=3000)) is None and pieces.progress()["config"].received == 3000
    assert pieces.add(replace(first, offset=3000, text="x" * 2002)) is None, "the whole has another mark"
    assert pieces.progress() == {}
    assert pieces.add(replace(first, offset=3000)) is None and pieces.progress() == {}
