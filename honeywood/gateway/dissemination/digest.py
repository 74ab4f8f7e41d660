"""A digest that shows whether two stores have the same records, whatever the order of their arrival.

This module performs no I/O.
"""

from __future__ import annotations

from _blake2 import blake2b  # hashlib would load OpenSSL

TYPE_CHECKING = False
if TYPE_CHECKING:
    from honeywood.gateway.dissemination.record import Stamp


class StoreDigest:
    """The XOR of the 64-bit hashes of all records, so adding and removing a record are the same operation."""

    def __init__(self) -> None:
        """Starts with the digest of an empty store."""
        self.value = 0

    def toggle(self, key: str, stamp: Stamp) -> None:
        """Adds a record, or removes it if it was added before."""
        self.value ^= int.from_bytes(blake2b(f"{key}|{stamp}".encode(), digest_size=8).digest(), "big")

    def encode(self) -> str:
        """Returns the digest as it appears in a message."""
        return f"{self.value:x}"
