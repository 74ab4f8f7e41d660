"""The latest versions of large records, which are sent in chunks or as deltas to an earlier version.

Several previous versions are kept: a receiver on a slow link can complete the version that it has begun to
receive while newer ones are published, and a receiver that has one of them is sent a delta. This module
performs no I/O.
"""

from __future__ import annotations

import json
from collections import OrderedDict

from honeywood.gateway.configuration.packing import pack
from honeywood.gateway.dissemination.delta import Delta
from honeywood.gateway.dissemination.keys import RecordKind
from honeywood.gateway.dissemination.record_version import Encoding, Version
from honeywood.gateway.errors import InvalidInput
from honeywood.gateway.rpc.text_chunks import text_digest

TYPE_CHECKING = False
if TYPE_CHECKING:
    from honeywood.gateway.dissemination.chunks import Chunk, ChunkProgress
    from honeywood.gateway.dissemination.record import JsonValue, Stamp

LARGE_KEYS: tuple[str, ...] = (RecordKind.CONFIGURATION.value,)
VERSIONS_KEPT = 32  # of each record
MAX_KEPT_CHARACTERS = 1 << 20  # of all versions of a record together, without the newest
DELTAS_KEPT = 8  # receivers differ little in the versions that they have


class LargeRecords:
    """The latest versions of large records, by key, the newest last."""

    def __init__(self) -> None:
        """Initially no version is known."""
        self.versions: dict[str, list[Version]] = {}
        self._deltas: OrderedDict[tuple[str, str], str | None] = OrderedDict()  # by both content digests

    def __contains__(self, key: str) -> bool:
        """Whether a record can be sent in chunks."""
        return key in self.versions

    def add(self, key: str, stamp: Stamp, value: JsonValue) -> None:
        """Adds the new version of a record that has changed; records that are not large are ignored."""
        if key not in LARGE_KEYS:
            return
        text = json.dumps(value)
        versions = [*self.versions.get(key, ()), Version(stamp, text, text_digest(text))]
        versions = versions[-VERSIONS_KEPT:]
        while sum(len(version.text) for version in versions[:-1]) > MAX_KEPT_CHARACTERS:
            del versions[0]
        self.versions[key] = versions

    def bases(self) -> dict[str, str]:
        """Returns the content digests of the newest versions, to which this program accepts deltas."""
        digests = {key: versions[-1].content_identity() for key, versions in self.versions.items()}
        return {key: digest for key, digest in digests.items() if digest}

    def has_delta(self, key: str, base: str | None) -> bool:
        """Whether the newest version can be sent as a delta to a receiver whose version has this digest."""
        return key in self and self._delta(key, base, self.versions[key][-1]) is not None

    def next_chunk(
        self, key: str, max_characters: int, progress: ChunkProgress | None, base: str | None = None
    ) -> Chunk:
        """Returns the chunk that continues `progress`.

        If there is no progress, or its version is no longer kept, this is the first chunk of the newest
        version: of a delta, if the version that the receiver has, with the content digest `base`, is kept. A
        delta that fits into one chunk is preferred to the rest of another transfer.
        """
        newest = self.versions[key][-1]
        preferred = self._encodings(key, base, newest)[0]
        fits_at_once = preferred.is_delta and len(preferred.text) <= max_characters
        if progress is not None and not fits_at_once:
            begun = self._begun(key, base, progress)
            if begun is not None:
                return begun.chunk(key, progress.stamp, progress.received, max_characters)
        return preferred.chunk(key, newest.stamp, 0, max_characters)

    def restore(self, key: str, delta_text: str) -> JsonValue:
        """Returns the value that a delta produces, or None if it can't be applied.

        In that case the newest version is not offered as a base any more, so that peers send complete values.
        """
        try:
            delta = Delta.decode(delta_text)
            return pack(delta.apply(self._content(key, delta.base) or b""))
        except InvalidInput:
            if key in self.versions:
                self.versions[key][-1].content_digest = ""
            return None

    def _begun(self, key: str, base: str | None, progress: ChunkProgress) -> Encoding | None:
        """Returns the text of which a receiver has the beginning, or None if its version is not kept."""
        versions = [version for version in self.versions[key] if version.stamp == progress.stamp]
        encodings = [encoding for version in versions for encoding in self._encodings(key, base, version)]
        return next((encoding for encoding in encodings if encoding.digest == progress.digest), None)

    def _encodings(self, key: str, base: str | None, version: Version) -> list[Encoding]:
        """Returns the texts in which a version can be sent, the preferred one first."""
        complete = Encoding(version.text, version.digest, is_delta=False)
        delta = self._delta(key, base, version)
        if delta is None:
            return [complete]
        return [Encoding(delta, text_digest(delta), is_delta=True), complete]

    def _delta(self, key: str, base: str | None, version: Version) -> str | None:
        """Returns the text of a delta; None if there is none that is shorter than the complete value."""
        if not base or not version.content_identity():
            return None
        identity = (base, version.content_identity())
        if identity not in self._deltas:
            self._deltas[identity] = self._make_delta(key, base, version)
            while len(self._deltas) > DELTAS_KEPT:
                self._deltas.popitem(last=False)
        return self._deltas[identity]

    def _make_delta(self, key: str, base: str, version: Version) -> str | None:
        old, new = self._content(key, base), version.content()
        if old is None or new is None:
            return None
        text = Delta.between(old, new).encode()
        return text if len(text) < len(version.text) else None

    def _content(self, key: str, digest: str) -> bytes | None:
        """Returns the content with a digest, or None if no kept version has it."""
        for version in reversed(self.versions.get(key, ())):
            if version.content_identity() == digest:
                return version.content()
        return None
