"""One version of a large record, and the texts in which it is sent. No I/O."""

from __future__ import annotations

import json
from dataclasses import dataclass

from honeywood.gateway.configuration.packing import unpack
from honeywood.gateway.dissemination.chunks import Chunk
from honeywood.gateway.dissemination.delta import content_digest
from honeywood.gateway.errors import InvalidInput
from honeywood.gateway.rpc.text_chunks import TextChunk

TYPE_CHECKING = False
if TYPE_CHECKING:
    from honeywood.gateway.dissemination.record import Stamp

# Lengths of the packed values that are sent as deltas: shorter ones fit into any response, longer ones take
# long to compare.
MIN_DELTA_CHARACTERS, MAX_DELTA_CHARACTERS = 2048, 1 << 19


@dataclass(slots=True)
class Version:
    """One version of a large record, with its value as JSON text.

    `content_digest` identifies the unpacked value. It is None until it is needed, and empty for a value that
    deltas can't be used with.
    """

    stamp: Stamp
    text: str
    digest: str
    content_digest: str | None = None

    def content(self) -> bytes | None:
        """Returns the unpacked value, or None for a value that is not packed, too short or too long."""
        if not MIN_DELTA_CHARACTERS <= len(self.text) <= MAX_DELTA_CHARACTERS:
            return None
        value = json.loads(self.text)
        if not isinstance(value, str):
            return None
        try:
            content = unpack(value)
            content.decode()
        except (InvalidInput, UnicodeDecodeError):
            return None
        return content

    def content_identity(self) -> str:
        """Returns the digest of the unpacked value, or an empty text for a value without deltas."""
        if self.content_digest is None:
            content = self.content()
            self.content_digest = "" if content is None else content_digest(content)
        return self.content_digest


@dataclass(frozen=True, slots=True)
class Encoding:
    """The text in which one version is sent: its value as JSON, or a delta."""

    text: str
    digest: str
    is_delta: bool

    def chunk(self, key: str, stamp: Stamp, offset: int, max_characters: int) -> Chunk:
        """Returns the chunk that begins at `offset`, with up to `max_characters`."""
        content = TextChunk.cut(self.text, self.digest, offset, max_characters)
        return Chunk(key, stamp, content, self.is_delta)
