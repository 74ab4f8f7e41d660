"""Tests of the store of values in transfer: chunks, and bounds."""

import random

from slow_link import large_value
from ward import test

from honeywood.gateway.register import values
from honeywood.gateway.register.value_store import MAX_STAGED_VALUES, STAGED_TTL_S, ValueStore
from honeywood.gateway.register.values import (
    ValueChunk,
    ValueReference,
    reference_to,
)

TEXT = values.canonical_text(large_value(50_000))


REFERENCE = reference_to(TEXT)


def chunk_at(start, size=10_000):
    return ValueChunk.from_text(REFERENCE, TEXT, start, size)


def damaged(rng, chunk):
    """Returns a chunk that is damaged, truncated, moved, of another value, or from another position."""
    return rng.choice(
        (
            ValueChunk(chunk.reference, chunk.start, chunk.text[:-1], chunk.checksum),
            ValueChunk(chunk.reference, chunk.start, "#" + chunk.text[1:], chunk.checksum),
            ValueChunk(chunk.reference, chunk.start, chunk.text, chunk.checksum + 1),
            ValueChunk(chunk.reference, chunk.start + 1, chunk.text, chunk.checksum),
            ValueChunk(ValueReference(REFERENCE.digest, 70_000), chunk.start, chunk.text, chunk.checksum),
            ValueChunk(ValueReference("0" * 32, REFERENCE.length), chunk.start, chunk.text, chunk.checksum),
            chunk_at(rng.randrange(len(TEXT))),
        )
    )


@test("a value is complete only after all its intact chunks; damaged and foreign chunks are ignored")
def _():
    for seed in range(30):
        rng, store = random.Random(seed), ValueStore()
        while store.text(0.0, REFERENCE) is None:
            received = store.received_characters(0.0, REFERENCE)
            store.add_chunk(0.0, damaged(rng, chunk_at(received)))
            assert store.received_characters(0.0, REFERENCE) in (received, min(received + 10_000, len(TEXT)))
            store.add_chunk(0.0, chunk_at(store.received_characters(0.0, REFERENCE)))
        assert store.value(0.0, REFERENCE) == values.CompleteValue(large_value(50_000))


@test("intact chunks that don't add up to the referenced value are discarded, and the value starts again")
def _():
    store, wrong = ValueStore(), TEXT[:-5] + "#" + TEXT[-4:]
    received = 0
    while received < len(wrong):
        after = store.add_chunk(0.0, ValueChunk.from_text(REFERENCE, wrong, received, 10_000))
        if after <= received:
            break
        received = after
    assert after == 0 == store.received_characters(0.0, REFERENCE) and store.text(0.0, REFERENCE) is None


@test("values in transfer are bounded in number and in age")
def _():
    store = ValueStore()
    for n in range(3 * MAX_STAGED_VALUES):
        store.add(0.0, values.canonical_text(large_value(3000, n)))
    assert len(store.staged) == MAX_STAGED_VALUES
    store.discard_expired(STAGED_TTL_S + 1.0)
    assert not store.staged
