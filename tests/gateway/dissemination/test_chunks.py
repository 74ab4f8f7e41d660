"""Assembly of a long record from its chunks."""

import random
from dataclasses import replace

from ward import test

from honeywood.gateway.dissemination.change_feed import ChangeFeed
from honeywood.gateway.dissemination.chunks import ChunkAssembler, ChunkProgress
from honeywood.gateway.dissemination.record import Stamp
from honeywood.gateway.dissemination.store import Store


def store_with_long_record(length, seed=0):
    store, rng = Store("l"), random.Random(seed)
    store.put("config", Stamp.of(7), "".join(rng.choice("abcdef") for _ in range(length)))
    return store


def with_content(chunk, **changes):
    """The chunk with changes to its content."""
    return replace(chunk, content=replace(chunk.content, **changes))


@test("chunks of another text with the same stamp, out of order or beyond the end are never assembled")
def _():
    store, other_store, assembler = (
        store_with_long_record(5000),
        store_with_long_record(5000, seed=1),
        ChunkAssembler(),
    )
    feed = ChangeFeed(store)
    first = feed.batch(feed.since("", 0, False), 3000).chunk
    assert assembler.add(first) is None
    begun = {"config": ChunkProgress(Stamp.of(7), first.content.digest, 3000)}
    feed = ChangeFeed(other_store)
    other_chunk = feed.batch(feed.since("", 0, False), 3000, begun).chunk
    assert other_chunk.content.offset == 0, "no store continues a text that it doesn't have"
    assert (
        assembler.add(with_content(other_chunk, offset=3000)) is None
        and assembler.progress()["config"].received == 3000
    )
    assert (
        assembler.add(with_content(first, offset=3000, text="x" * 2002)) is None
    ), "the complete text has another digest"
    assert assembler.progress() == {}
    assert assembler.add(with_content(first, offset=3000)) is None and assembler.progress() == {}
