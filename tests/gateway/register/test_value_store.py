"""Values on their way: chunks, and their bounds."""

import random

from slow_link import large
from ward import test

from honeywood.gateway.register import values
from honeywood.gateway.register.value_store import MAX_STAGED_VALUES, STAGED_TTL_S, ValueStore
from honeywood.gateway.register.values import (
    ValueChunk,
    ValueReference,
    reference_to,
)

TEXT = values.canonical_text(large(50_000))


REFERENCE = reference_to(TEXT)


def cut(start, size=10_000):
    return ValueChunk.from_text(REFERENCE, TEXT, start, size)


def spoilt(draw, chunk):
    """A part that was damaged, cut, moved, or is one of another value."""
    return draw.choice(
        (
            ValueChunk(chunk.reference, chunk.start, chunk.text[:-1], chunk.checksum),
            ValueChunk(chunk.reference, chunk.start, "#" + chunk.text[1:], chunk.checksum),
            ValueChunk(chunk.reference, chunk.start, chunk.text, chunk.checksum + 1),
            ValueChunk(chunk.reference, chunk.start + 1, chunk.text, chunk.checksum),
            ValueChunk(ValueReference(REFERENCE.digest, 70_000), chunk.start, chunk.text, chunk.checksum),
            ValueChunk(ValueReference("0" * 32, REFERENCE.length), chunk.start, chunk.text, chunk.checksum),
            cut(draw.randrange(len(TEXT))),
        )
    )


@test("a value is whole only after its own sound parts, each taken once, whatever comes between them")
def _():
    for seed in range(30):
        draw, store = random.Random(seed), ValueStore()
        while store.text(0.0, REFERENCE) is None:
            held = store.received_characters(0.0, REFERENCE)
            store.add_chunk(0.0, spoilt(draw, cut(held)))
            assert store.received_characters(0.0, REFERENCE) in (held, min(held + 10_000, len(TEXT)))
            store.add_chunk(0.0, cut(store.received_characters(0.0, REFERENCE)))
        assert store.value(0.0, REFERENCE) == values.CompleteValue(large(50_000))


@test("sound parts of what is not the value that was referred to are thrown away, and it begins anew")
def _():
    store, wrong = ValueStore(), TEXT[:-5] + "#" + TEXT[-4:]
    held = 0
    while held < len(wrong):
        after = store.add_chunk(0.0, ValueChunk.from_text(REFERENCE, wrong, held, 10_000))
        if after <= held:
            break
        held = after
    assert after == 0 == store.received_characters(0.0, REFERENCE) and store.text(0.0, REFERENCE) is None


@test("values on their way are bounded in number and time")
def _():
    store = ValueStore()
    for n in range(3 * MAX_STAGED_VALUES):
        store.add(0.0, values.canonical_text(large(3000, n)))
    assert len(store.staged) == MAX_STAGED_VALUES
    store.discard_expired(STAGED_TTL_S + 1.0)
    assert not store.staged
