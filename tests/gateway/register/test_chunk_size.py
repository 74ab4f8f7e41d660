"""Tests of the adaptive chunk size."""

from ward import test

from honeywood.gateway.register.chunk_size import FIRST_CHUNK_CHARACTERS, MIN_CHUNK_CHARACTERS, ChunkSize
from honeywood.gateway.register.values import (
    MAX_CHUNK_CHARACTERS,
)


@test("chunks grow on a fast link, and shrink on a slow link and after a lost chunk, within bounds")
def _():
    size = ChunkSize()
    assert size.characters == FIRST_CHUNK_CHARACTERS
    size.record(0.8, False)
    assert size.characters == FIRST_CHUNK_CHARACTERS // 2
    for _ in range(9):
        size.record(0.5, True)
    assert size.characters == MIN_CHUNK_CHARACTERS
    for _ in range(9):
        size.record(0.01, True)
    assert size.characters == MAX_CHUNK_CHARACTERS
