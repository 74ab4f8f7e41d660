"""Deltas between versions of a configuration, and how large records are sent with them."""

import json
import random
from dataclasses import replace

from timeline import config
from ward import each, raises, test

from honeywood.gateway.configuration.packing import pack, unpack
from honeywood.gateway.dissemination.change_feed import ChangeFeed
from honeywood.gateway.dissemination.chunks import ChunkAssembler
from honeywood.gateway.dissemination.delta import Delta, SegmentRange, content_digest
from honeywood.gateway.dissemination.record import Record, Stamp
from honeywood.gateway.dissemination.store import Store
from honeywood.gateway.errors import InvalidMessage

ROUTES = 1000
MAX_BYTES = 30_000  # of a response on a link of 2 Mbit/s


def encode(table, indent=None):
    return json.dumps(table, separators=(",", ":"), indent=indent).encode()


def configuration(version, routes=ROUTES):
    """A configuration whose routes have prefixes that hardly compress; the last one differs by version."""
    table = config(version, routes)
    for entry in table["res"][:-1]:
        entry["spec"]["pfx"] = f"/{random.Random(entry['hdr']['name']).getrandbits(200):x}/"
    table["res"][routes - 1]["spec"]["timeout_s"] = float(version)
    return encode(table)


def store_with(*versions, incarnation="l"):
    store = Store(incarnation)
    for version in versions:
        store.put("config", Stamp.of(version), pack(configuration(version)))
    return store


def receive(sender, receiver, assembler, max_bytes=MAX_BYTES):
    """Polls once; returns how many bytes of the configuration were sent."""
    feed = ChangeFeed(sender)
    changes = feed.since(sender.incarnation, 0, False, receiver.large_record_stamps())
    batch = feed.batch(changes, max_bytes, assembler.progress(), receiver.large_records.bases())
    receiver.merge(batch.records)
    record = assembler.add(batch.chunk) if batch.chunk else None
    receiver.merge([record] if record else [])
    chunk_bytes = len(batch.chunk.content.text) if batch.chunk else 0
    return chunk_bytes + sum(feed.encoded_size(record.key) for record in batch.records)


def receiver_of(*versions):
    receiver = store_with(*versions, incarnation="r")
    return receiver, ChunkAssembler(receiver.large_records.restore)


@test("a delta of random edits restores the new version: seed {seed}")
def _(seed=each(*range(20))):
    rng, table = random.Random(seed), config(1, 60)
    base = encode(table)
    for _ in range(rng.randrange(12)):
        entries = table["res"]
        edit, index = rng.randrange(4), rng.randrange(len(entries))
        if edit == 0:
            entries.insert(index, config(1, 1 + rng.randrange(200))["res"][-2])
        elif edit == 1:
            del entries[index]
        elif edit == 2:
            entries.append(entries[index])
        else:
            entries[index]["spec"] = {"ä": rng.random()}
    table["ver"] = f"{seed:08x}"
    result = encode(table)
    assert Delta.decode(Delta.between(base, result).encode()).apply(base) == result


@test("a delta is refused for another base, or if the result differs")
def _():
    base, result = configuration(1), configuration(2)
    delta = Delta.between(base, result)
    with raises(InvalidMessage):
        delta.apply(configuration(3))
    with raises(InvalidMessage):
        replace(delta, operations=delta.operations[:-1]).apply(base)


@test("a delta with an invalid operation is refused: {operation}")
def _(operation=each(7, None, [0], [0, 0], [-1, 2], [0, True], ["0", 1])):
    text = pack(encode({"base": "a", "result": "b", "operations": [operation]}))
    with raises(InvalidMessage):
        Delta.decode(text)


@test("a delta whose result is longer than any configuration is refused")
def _():
    # A few hundred characters can repeat ranges of the base up to gigabytes.
    base, repetitions = b"}" * (1 << 20), 17
    result = b"}".join([base] * repetitions)
    operations = (SegmentRange(0, len(base) + 1),) * repetitions
    with raises(InvalidMessage):
        Delta(content_digest(base), content_digest(result), operations).apply(base)


@test("a change is sent as a short delta, however the text is formatted: {indent}")
def _(indent=each(None, 0, 2)):
    table = config(1, ROUTES)
    base = encode(table, indent)
    table["res"][7]["spec"]["timeout_s"] = 9.5
    assert len(Delta.between(base, encode(table, indent)).encode()) < 500


@test("a change of one route is sent in a few hundred bytes, whatever the size of the configuration")
def _():
    # Each of 195 proxies received each version completely, 24 to 60 KB over links that carry 150 KB/s.
    sender, (receiver, assembler) = store_with(1, 2), receiver_of(1)
    assert receive(sender, receiver, assembler) < 1000
    assert receiver.get("config") == sender.get("config")


@test("a receiver whose version the sender doesn't have is sent the complete value")
def _():
    sender, (receiver, assembler) = store_with(1, 3), receiver_of(2)
    size = 0
    while receiver.stamp("config") != (3,):
        size += receive(sender, receiver, assembler)
    assert size >= len(sender.get("config")) and receiver.get("config") == sender.get("config")


@test("a receiver that can't apply a delta is sent the complete value next")
def _():
    sender, (receiver, _) = store_with(1, 2), receiver_of(1)
    assembler = ChunkAssembler(lambda key, text: receiver.large_records.restore(key, text[:-8]))
    receive(sender, receiver, assembler)
    assert receiver.stamp("config") == (1,) and receiver.large_records.bases() == {}
    while receiver.stamp("config") != (2,):
        receive(sender, receiver, assembler)
    assert receiver.get("config") == sender.get("config")


@test("a long delta continues at another sender, and is applied to the version that it was begun for")
def _():
    first, second = store_with(1), store_with(1, incarnation="m")
    large = pack(configuration(2, routes=4 * ROUTES))
    for sender in (first, second):
        sender.put("config", Stamp.of(2), large)
    receiver, assembler = receiver_of(1)
    sizes = []
    while receiver.stamp("config") != (2,):
        sizes.append(receive((first, second)[len(sizes) % 2], receiver, assembler, 20_000))
    assert receiver.get("config") == large and sum(sizes) < len(large), sizes


@test("a short delta to the newest version is preferred to the rest of an older one")
def _():
    sender, (receiver, assembler) = store_with(1), receiver_of()
    receive(sender, receiver, assembler, 10_000)
    assert assembler.progress()
    receiver.merge([Record("config", Stamp.of(1), sender.get("config"))])
    sender.put("config", Stamp.of(2), pack(configuration(2)))
    assert receive(sender, receiver, assembler) < 1000 and receiver.stamp("config") == (2,)


@test("values that are not packed are sent without deltas: {value}")
def _(value=each("x" * 40_000, "{" + "x" * 40_000, None, {"a": 1})):
    sender, receiver = Store("l"), Store("r")
    receiver.put("config", Stamp.of(1), value)
    sender.put("config", Stamp.of(1), value)
    sender.put("config", Stamp.of(2), pack(configuration(2)))
    assembler = ChunkAssembler(receiver.large_records.restore)
    while receiver.stamp("config") != (2,):
        receive(sender, receiver, assembler)
    assert unpack(receiver.get("config")) == configuration(2)


@test("a delta that arrives at once is applied although a newer version has begun to arrive")
def _():
    # The relay has version 2; a controller that has just started has version 3 only, and sends it completely.
    relay, controller, (receiver, assembler) = (
        store_with(1, 2),
        store_with(3, incarnation="c"),
        receiver_of(1),
    )
    receive(controller, receiver, assembler, 10_000)
    begun = assembler.progress()["config"]
    assert begun.stamp == (3,) and receive(relay, receiver, assembler) < 1000
    assert receiver.stamp("config") == (2,)
    assert assembler.progress()["config"] == begun, "the newer version is still continued"
    while receiver.stamp("config") != (3,):
        receive(controller, receiver, assembler)
    assert receiver.get("config") == controller.get("config")
