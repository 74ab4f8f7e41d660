"""The compressed text in which configurations are stored and disseminated.

1,400 routes are 300 KB as operators send them, and pass links that carry 300 KB a second.
"""

from __future__ import annotations

import zlib
from binascii import a2b_base64, b2a_base64

from honeywood.gateway.configuration.tenants import with_hashed_keys
from honeywood.gateway.errors import InvalidConfiguration

OPERATION = "config.replace"  # named in errors
# Earlier releases stored texts as they were sent; no packed text begins so.
UNPACKED_START = "{"
MAX_UNPACKED_BYTES = 16 << 20
COMPRESSION_LEVEL = 6


def pack(raw: bytes) -> str:
    """Return a configuration's bytes as a short text: zlib (RFC 1950) in base 64 (RFC 4648)."""
    return b2a_base64(zlib.compress(raw, COMPRESSION_LEVEL), newline=False).decode()


def unpack(text: str, peer: str = "") -> bytes:
    """Return the bytes that were packed.

    Raises InvalidConfiguration where the text is incomplete, or its bytes exceed MAX_UNPACKED_BYTES.
    """
    if text.startswith(UNPACKED_START):
        return text.encode()
    try:
        reader = zlib.decompressobj()
        raw = reader.decompress(a2b_base64(text), MAX_UNPACKED_BYTES)
    except (ValueError, zlib.error) as error:
        raise InvalidConfiguration(OPERATION, f"not whole: {error}", peer) from None
    if not reader.eof:
        raise InvalidConfiguration(OPERATION, "not whole or too long", peer)
    return raw


def pack_for_proxies(text: str) -> str:
    """Return a packed configuration as proxies get it, with hashes in place of tenants' keys."""
    raw = unpack(text)
    hashed = with_hashed_keys(raw)
    return text if hashed is raw else pack(hashed)
