"""Compresses configurations to the text that is stored and disseminated.

As operators send it, a configuration of 1,400 routes has 300 KB, and some links carry only 300 KB/s.
"""

from __future__ import annotations

import zlib
from binascii import a2b_base64, b2a_base64

from honeywood.gateway.configuration.tenants import with_hashed_keys
from honeywood.gateway.errors import InvalidConfiguration

OPERATION = "config.replace"  # the operation that errors name
# Earlier releases stored the JSON text unpacked. It starts with this character, a packed text never does.
UNPACKED_START = "{"
MAX_UNPACKED_BYTES = 16 << 20
COMPRESSION_LEVEL = 6


def pack(raw: bytes) -> str:
    """Return a configuration's bytes compressed with zlib (RFC 1950) and encoded in base64 (RFC 4648)."""
    return b2a_base64(zlib.compress(raw, COMPRESSION_LEVEL), newline=False).decode()


def unpack(text: str, peer: str = "") -> bytes:
    """Return the bytes that were packed, or those of a text that an earlier release stored unpacked.

    Raises InvalidConfiguration if the text is damaged or incomplete, or unpacks to more than
    MAX_UNPACKED_BYTES.
    """
    if text.startswith(UNPACKED_START):
        return text.encode()
    try:
        decompressor = zlib.decompressobj()
        raw = decompressor.decompress(a2b_base64(text), MAX_UNPACKED_BYTES)
    except (ValueError, zlib.error) as error:
        raise InvalidConfiguration(OPERATION, f"not whole: {error}", peer) from None
    if not decompressor.eof:
        raise InvalidConfiguration(OPERATION, "not whole or too long", peer)
    return raw


def pack_for_proxies(text: str) -> str:
    """Return a packed configuration in the form that proxies receive: with tenants' keys hashed."""
    raw = unpack(text)
    hashed = with_hashed_keys(raw)
    return text if hashed is raw else pack(hashed)
