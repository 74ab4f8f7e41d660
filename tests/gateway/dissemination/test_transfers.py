"""What the log says about the arrival of large records."""

from ward import each, test

from honeywood.gateway.dissemination.chunks import Chunk
from honeywood.gateway.dissemination.messages import PollResponse
from honeywood.gateway.dissemination.record import Record, Stamp
from honeywood.gateway.dissemination.transfers import Transfer, TransferCounts, Transfers
from honeywood.gateway.rpc.text_chunks import TextChunk


def chunk_of(version, offset, text, length=10, digest=None):
    content = TextChunk(digest or f"digest {version}", length, offset, text)
    return PollResponse("x", 0, chunk=Chunk("config", Stamp.of(version), content))


@test("a transfer has the peer that ended it, its chunks, and the time of the first one")
def _():
    transfers = Transfers()
    transfers.observe("a", chunk_of(1, 0, "aaaaa"), 1.0)
    assert transfers.of("config", Stamp.of(1)) is None
    transfers.observe("b", chunk_of(1, 5, "aaaaa"), 2.0)
    assert transfers.of("config", Stamp.of(1)) == Transfer(Stamp.of(1), "b", 1.0, 2, 10)
    assert transfers.of("config", Stamp.of(2)) is None
    transfers.observe("c", PollResponse("x", 0, [Record("config", Stamp.of(2), "text")]), 3.0)
    assert transfers.of("config", Stamp.of(2)) == Transfer(Stamp.of(2), "c", 3.0)
    assert transfers.counts == TransferCounts()


@test("a chunk that arrives twice is counted as wasted, and so is a transfer that a newer one replaces")
def _():
    transfers = Transfers()
    for chunk in (chunk_of(1, 0, "aaaa"), chunk_of(1, 0, "aaaa"), chunk_of(2, 0, "bbb")):
        transfers.observe("a", chunk, 1.0)
    assert transfers.counts == TransferCounts(abandoned=1, wasted_characters=8)
    transfers.observe("a", chunk_of(2, 3, "bbbbbbb"), 2.0)
    assert transfers.of("config", Stamp.of(2)) == Transfer(Stamp.of(2), "a", 1.0, 2, 10)


@test("a delta to {delta_to} that arrives at once beside an incomplete transfer of 2 is recorded")
def _(delta_to=each(1, 2, 3)):
    # The log named no peer for a version that arrived as a delta while its complete text had begun to arrive.
    transfers = Transfers()
    transfers.observe("a", chunk_of(2, 0, "bbbb"), 1.0)
    transfers.observe("b", chunk_of(delta_to, 0, "delta", 5, "digest of the delta"), 2.0)
    assert transfers.of("config", Stamp.of(delta_to)) == Transfer(Stamp.of(delta_to), "b", 2.0, 1, 5)
    replaced = TransferCounts(abandoned=1, wasted_characters=4)
    assert transfers.counts == (TransferCounts() if delta_to == 1 else replaced)


@test("the first chunk of another text of the same version begins another transfer")
def _():
    transfers = Transfers()
    transfers.observe("a", chunk_of(1, 0, "aaaa"), 1.0)
    transfers.observe("b", chunk_of(1, 0, "delt", 5, "digest of the delta"), 2.0)
    transfers.observe("a", chunk_of(1, 4, "aaaaaa"), 3.0)
    transfers.observe("b", chunk_of(1, 4, "a", 5, "digest of the delta"), 4.0)
    assert transfers.of("config", Stamp.of(1)) == Transfer(Stamp.of(1), "b", 2.0, 2, 5)
    assert transfers.counts == TransferCounts(abandoned=1, wasted_characters=10)
