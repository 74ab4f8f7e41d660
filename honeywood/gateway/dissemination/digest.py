"""A digest by which two stores find whether they have the same records, whatever came first. Pure."""

from __future__ import annotations

from _blake2 import blake2b  # hashlib would load OpenSSL

TYPE_CHECKING = False
if TYPE_CHECKING:
    from honeywood.gateway.dissemination.record import Stamp


class StoreDigest:
    """The exclusive or of the 64-bit hashes of all records: adding one and removing it are the same step."""

    def __init__(self) -> None:
        """The digest of no records."""
        self.value = 0

    def toggle(self, key: str, stamp: Stamp) -> None:
        """Adds a record, or removes it."""
        self.value ^= int.from_bytes(blake2b(f"{key}|{stamp}".encode(), digest_size=8).digest(), "big")

    def encode(self) -> str:
        """The digest in a message."""
        return f"{self.value:x}"
