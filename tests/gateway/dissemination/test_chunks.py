"""Assembling a long record of its chunks."""

import random
from dataclasses import replace

from ward import test

from honeywood.gateway.dissemination.change_feed import ChangeFeed
from honeywood.gateway.dissemination.chunks import ChunkAssembler, ChunkProgress
from honeywood.gateway.dissemination.record import Stamp
from honeywood.gateway.dissemination.store import Store


def store_with_long_record(long, seed=0):
    store, draw = Store("l"), random.Random(seed)
    store.put("config", Stamp.of(7), "".join(draw.choice("abcdef") for _ in range(long)))
    return store


def moved(chunk, **changes):
    """A chunk with another content."""
    return replace(chunk, content=replace(chunk.content, **changes))


@test("chunks of another text with the same stamp, out of order or beyond the end are never assembled")
def _():
    one, two, assembler = store_with_long_record(5000), store_with_long_record(5000, seed=1), ChunkAssembler()
    feed = ChangeFeed(one)
    first = feed.batch(feed.since("", 0, False), 3000).chunk
    assert assembler.add(first) is None
    begun = {"config": ChunkProgress(Stamp.of(7), first.content.digest, 3000)}
    feed = ChangeFeed(two)
    rest = feed.batch(feed.since("", 0, False), 3000, begun).chunk
    assert rest.content.offset == 0, "no store continues a text that it doesn't have"
    assert assembler.add(moved(rest, offset=3000)) is None and assembler.progress()["config"].received == 3000
    assert (
        assembler.add(moved(first, offset=3000, text="x" * 2002)) is None
    ), "the complete text has another digest"
    assert assembler.progress() == {}
    assert assembler.add(moved(first, offset=3000)) is None and assembler.progress() == {}
