"""rpc/text_chunks.py: texts that are split into chunks and reassembled."""

from dataclasses import replace

from ward import each, test

from honeywood.gateway.rpc.text_chunks import PartialText, TextChunk, text_digest

TEXT = "a long text with \u00e9 and \U0001f600 " * 20
DIGEST = text_digest(TEXT)


def assembled(chunks):
    """Return the PartialText of these chunks; None if one of them does not continue the text."""
    partial = PartialText(DIGEST)
    for chunk in chunks:
        if not partial.is_continued_by(chunk):
            return None
        partial = partial.extended(chunk)
    return partial


@test("chunks of {size} characters are reassembled to the text, even if the last one is shorter")
def _(size=each(1, 7, 100, 10_000)):
    chunks = [TextChunk.cut(TEXT, DIGEST, offset, size) for offset in range(0, len(TEXT), size)]
    assert {chunk.length for chunk in chunks} == {len(TEXT)}
    partial = assembled(chunks)
    assert partial.text == TEXT and partial.is_intact


@test("a chunk that is missing, duplicated, of another text or damaged is detected")
def _():
    chunks = [TextChunk.cut(TEXT, DIGEST, offset, 100) for offset in range(0, len(TEXT), 100)]
    assert assembled([chunks[0], chunks[2]]) is None
    assert assembled([chunks[0], chunks[0]]) is None
    assert assembled([chunks[0], replace(chunks[1], digest="other")]) is None
    damaged = assembled([*chunks[:-1], replace(chunks[-1], text="x" * len(chunks[-1].text))])
    assert len(damaged.text) == len(TEXT) and not damaged.is_intact
