"""The latest versions, as text, of large records, which are sent in chunks.

A few previous versions are kept, so that a receiver on a slow link can complete the version that it has begun
to receive while newer ones are published. This module performs no I/O.
"""

from __future__ import annotations

import json
from dataclasses import dataclass

from honeywood.gateway.dissemination.chunks import Chunk
from honeywood.gateway.dissemination.keys import RecordKind
from honeywood.gateway.rpc.text_chunks import TextChunk, text_digest

TYPE_CHECKING = False
if TYPE_CHECKING:
    from honeywood.gateway.dissemination.chunks import ChunkProgress
    from honeywood.gateway.dissemination.record import JsonValue, Stamp

LARGE_KEYS: tuple[str, ...] = (RecordKind.CONFIGURATION.value,)
VERSIONS_KEPT = 3


@dataclass(frozen=True, slots=True)
class Version:
    """One version of a large record, with its value as JSON text."""

    stamp: Stamp
    text: str
    digest: str


class LargeRecords:
    """The latest versions of large records, by key."""

    def __init__(self) -> None:
        """Initially no version is known."""
        self.versions: dict[str, list[Version]] = {}

    def __contains__(self, key: str) -> bool:
        """Whether a record can be sent in chunks."""
        return key in self.versions

    def add(self, key: str, stamp: Stamp, value: JsonValue) -> None:
        """Adds the new version of a record that has changed; records that are not large are ignored."""
        if key not in LARGE_KEYS:
            return
        text = json.dumps(value)
        versions = [*self.versions.get(key, ()), Version(stamp, text, text_digest(text))]
        self.versions[key] = versions[-VERSIONS_KEPT:]

    def next_chunk(self, key: str, max_characters: int, progress: ChunkProgress | None) -> Chunk:
        """Returns the chunk that continues `progress`.

        If there is no progress, or its version is no longer kept, this is the first chunk of the newest
        version.
        """
        version, offset = self.versions[key][-1], 0
        for kept in self.versions[key]:
            if progress and (kept.stamp, kept.digest) == (progress.stamp, progress.digest):
                version, offset = kept, progress.received
                break
        content = TextChunk.cut(version.text, version.digest, offset, max_characters)
        return Chunk(key, version.stamp, content)
