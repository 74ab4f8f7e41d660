"""The size of chunks."""


from ward import test

from honeywood.gateway.register.value_transfer import FIRST_CHUNK, SMALLEST_CHUNK, ChunkSize
from honeywood.gateway.register.values import (
    MAX_CHUNK_CHARACTERS,
)


@test("parts grow on a quick link, shrink on a slow one and after one that didn't arrive, within bounds")
def _():
    size = ChunkSize()
    assert size.size == FIRST_CHUNK
    size.took(0.8, False)
    assert size.size == FIRST_CHUNK // 2
    for _ in range(9):
        size.took(0.5, True)
    assert size.size == SMALLEST_CHUNK
    for _ in range(9):
        size.took(0.01, True)
    assert size.size == MAX_CHUNK_CHARACTERS
