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
        self._incomplete: dict[str, Transfer] = {}

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
        content, transfer = chunk.content, self._incomplete.get(chunk.key)
        if content.offset == 0 and (transfer is None or chunk.stamp > transfer.stamp):
            if transfer is not None:
                self.counts.abandoned += 1
                self.counts.wasted_characters += transfer.characters
            transfer = Transfer(chunk.stamp, peer, now)
        if transfer is None or (chunk.stamp, content.offset) != (transfer.stamp, transfer.characters):
            self.counts.wasted_characters += len(content.text)
            return
        characters = transfer.characters + len(content.text)
        transfer = Transfer(transfer.stamp, peer, transfer.started_at, transfer.chunks + 1, characters)
        if characters < content.length:
            self._incomplete[chunk.key] = transfer
        else:
            self._incomplete.pop(chunk.key, None)
            self._complete[chunk.key] = transfer
