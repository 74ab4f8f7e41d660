"""Texts that are cut into chunks and assembled again."""

from dataclasses import replace

from ward import each, test

from honeywood.gateway.rpc.text_chunks import PartialText, TextChunk, text_digest

TEXT = "a long text with \u00e9 and \U0001f600 " * 20
DIGEST = text_digest(TEXT)


def assembled(chunks):
    """The text of these chunks; None where one doesn't continue it."""
    partial = PartialText(DIGEST)
    for chunk in chunks:
        if not partial.is_continued_by(chunk):
            return None
        partial = partial.extended(chunk)
    return partial


@test("chunks of {size} characters are assembled to the text, and the last one is as long as it needs to be")
def _(size=each(1, 7, 100, 10_000)):
    chunks = [TextChunk.cut(TEXT, DIGEST, offset, size) for offset in range(0, len(TEXT), size)]
    assert {chunk.length for chunk in chunks} == {len(TEXT)}
    partial = assembled(chunks)
    assert partial.text == TEXT and partial.is_intact


@test("a chunk that is missing, twice there, of another text or damaged is noticed")
def _():
    chunks = [TextChunk.cut(TEXT, DIGEST, offset, 100) for offset in range(0, len(TEXT), 100)]
    assert assembled([chunks[0], chunks[2]]) is None
    assert assembled([chunks[0], chunks[0]]) is None
    assert assembled([chunks[0], replace(chunks[1], digest="other")]) is None
    damaged = assembled([*chunks[:-1], replace(chunks[-1], text="x" * len(chunks[-1].text))])
    assert len(damaged.text) == len(TEXT) and not damaged.is_intact
