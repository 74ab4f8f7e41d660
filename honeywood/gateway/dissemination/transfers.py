"""How versions of large records arrive: from which peer, in how many chunks, and since when.

It only observes responses, for the log. This module performs no I/O: times come from the caller.
"""

from __future__ import annotations

from dataclasses import dataclass

from honeywood.gateway.dissemination.large_records import LARGE_KEYS

TYPE_CHECKING = False
if TYPE_CHECKING:
    from honeywood.gateway.dissemination.chunks import Chunk
    from honeywood.gateway.dissemination.messages import PollResponse
    from honeywood.gateway.dissemination.record import Stamp


@dataclass(frozen=True, slots=True)
class Transfer:
    """The transfer of one version, as far as it has come.

    `peer` sent the latest part of it, and `started_at` is when the first part arrived. A version that arrived
    complete in one response has no chunks.
    """

    stamp: Stamp
    peer: str
    started_at: float
    chunks: int = 0
    characters: int = 0


@dataclass(frozen=True, slots=True)
class IncompleteTransfer:
    """A transfer whose text, with this digest, has not arrived to its end."""

    transfer: Transfer
    digest: str

    def is_replaced_by(self, chunk: Chunk) -> bool:
        """Whether a chunk begins a newer version, or another text of the same one."""
        is_other = chunk.content.digest != self.digest
        is_newer = chunk.stamp > self.transfer.stamp
        return chunk.content.offset == 0 and (is_newer or chunk.stamp == self.transfer.stamp and is_other)

    def is_continued_by(self, chunk: Chunk) -> bool:
        """Whether a chunk begins where this transfer ends."""
        begun = self.transfer.stamp, self.digest, self.transfer.characters
        return (chunk.stamp, chunk.content.digest, chunk.content.offset) == begun

    def extended(self, peer: str, chunk: Chunk) -> Transfer:
        """Returns the transfer with a chunk that `peer` sent."""
        begun, characters = self.transfer, self.transfer.characters + len(chunk.content.text)
        return Transfer(begun.stamp, peer, begun.started_at, begun.chunks + 1, characters)


@dataclass(slots=True)
class TransferCounts:
    """Chunks that were of no use, since the start.

    `abandoned` transfers were replaced by that of a newer version before they were complete;
    `wasted_characters` are what had arrived of these, and what arrived twice.
    """

    abandoned: int = 0
    wasted_characters: int = 0


class Transfers:
    """Observes the responses that one program receives from all its peers."""

    def __init__(self) -> None:
        """Initially nothing has arrived."""
        self.counts = TransferCounts()
        self._complete: dict[str, Transfer] = {}
        self._incomplete: dict[str, IncompleteTransfer] = {}

    def observe(self, peer: str, response: PollResponse, now: float) -> None:
        """Records what a response of `peer` contains of large records, before it is merged."""
        for record in response.records:
            if record.key in LARGE_KEYS:
                self._complete[record.key] = Transfer(record.stamp, peer, now)
        if response.chunk is not None:
            self._observe_chunk(peer, response.chunk, now)

    def of(self, key: str, stamp: Stamp | None) -> Transfer | None:
        """Returns the transfer of a version that is complete, None if it didn't come from a peer."""
        transfer = self._complete.get(key)
        return transfer if transfer is not None and transfer.stamp == stamp else None

    def _observe_chunk(self, peer: str, chunk: Chunk, now: float) -> None:
        key, content, begun = chunk.key, chunk.content, self._incomplete.get(chunk.key)
        if begun is not None and begun.is_replaced_by(chunk):
            self.counts.abandoned += 1
            self.counts.wasted_characters += begun.transfer.characters
            begun = None
            del self._incomplete[key]
        if content.offset == 0 and (begun is None or content.is_complete):
            transfer = Transfer(chunk.stamp, peer, now, 1, len(content.text))
        elif begun is not None and begun.is_continued_by(chunk):
            transfer = begun.extended(peer, chunk)
        else:
            self.counts.wasted_characters += len(content.text)
            return
        if transfer.characters < content.length:
            self._incomplete[key] = IncompleteTransfer(transfer, content.digest)
            return
        self._complete[key] = transfer
        if begun is not None and begun.transfer.stamp == transfer.stamp:
            del self._incomplete[key]
