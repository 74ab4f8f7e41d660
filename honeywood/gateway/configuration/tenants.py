"""Parses the tenants of a configuration and hashes their keys.

Operators send keys in plain text, and `config.read` returns the configuration as it was sent, so the disks
of the register hold the keys. All other parts use hashes only: `with_hashed_keys` rewrites a configuration
before it is sent to proxies, and a proxy hashes the key that a client presents.
"""

from __future__ import annotations

import json
from _blake2 import blake2b  # hashlib would import OpenSSL
from dataclasses import dataclass

from honeywood.gateway.configuration.check import need
from honeywood.gateway.errors import InvalidConfiguration

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Iterable
    from typing import Any

TENANTS = "tenants"  # value of a tenant item's `type`
QUOTED_TENANTS = b'"tenants"'  # the type in JSON, unless its letters are escaped
ESCAPE = b"\\u"
KEYS, KEY_HASHES, PRIORITY = "apikeys", "key_hashes", "prio"  # fields of an item's `spec`
HASH_BYTES = 16  # issuers draw keys at random, so no two have the same 128-bit hash
MAX_PRIORITY = 1 << 30


@dataclass(frozen=True, slots=True)
class Tenant:
    """A tenant: the hashes of its keys, of HASH_BYTES bytes each, and its priority (0 is the highest).

    A priority, if set, replaces that of the route for requests of the tenant.
    """

    name: str
    key_hashes: tuple[bytes, ...]
    priority: int | None = None


def hash_key(key: bytes) -> bytes:
    """Return the hash that identifies a key."""
    return blake2b(key, digest_size=HASH_BYTES).digest()


def read_tenant(name: str, spec: dict[str, Any], where: str) -> Tenant:
    """Return a tenant from the form that operators send; raises InvalidInput, which never holds a key."""
    keys = need(spec, KEYS, list, where)
    if not all(isinstance(key, str) and _is_header_value(key) for key in keys):
        raise InvalidConfiguration(where, f"{KEYS} holds what can't stand in a header")
    return _build_tenant(name, spec, where, [hash_key(key.encode()) for key in keys])


def read_hashed_tenant(name: str, spec: dict[str, Any], where: str) -> Tenant:
    """Return a tenant from the form that controllers send to proxies; raises InvalidInput."""
    try:
        hashes = [bytes.fromhex(text) for text in need(spec, KEY_HASHES, list, where)]
    except (TypeError, ValueError):
        raise InvalidConfiguration(where, f"{KEY_HASHES} holds what is no hash") from None
    if any(len(key_hash) != HASH_BYTES for key_hash in hashes):
        raise InvalidConfiguration(where, f"{KEY_HASHES} holds a hash of another length")
    return _build_tenant(name, spec, where, hashes)


def _build_tenant(name: str, spec: dict[str, Any], where: str, hashes: list[bytes]) -> Tenant:
    if not _is_header_value(name):
        raise InvalidConfiguration(where, "the name can't stand in a header")
    priority = need(spec, PRIORITY, int, where, None, least=0, most=MAX_PRIORITY)
    return Tenant(name, tuple(dict.fromkeys(hashes)), priority)


def _is_header_value(text: str) -> bool:
    """Return whether a text can be a header value: visible ASCII, without a space at either end."""
    return text.isascii() and text.isprintable() and text == text.strip() and text != ""


def check_keys_differ(tenants: Iterable[Tenant], where: str, peer: str = "") -> None:
    """Raise InvalidConfiguration if two tenants share a key."""
    owners: dict[bytes, str] = {}
    for tenant in tenants:
        for key_hash in tenant.key_hashes:
            owner = owners.setdefault(key_hash, tenant.name)
            if owner != tenant.name:
                raise InvalidConfiguration(where, f"tenants {owner} and {tenant.name} share a key", peer)


def with_hashed_keys(raw: bytes) -> bytes:
    """Return a valid configuration with hashed keys, for proxies; the same object if it has no tenants."""
    if QUOTED_TENANTS not in raw and ESCAPE not in raw:  # spares most configurations a second parse
        return raw
    table = json.loads(raw)
    items = [item for item in table["res"] if item["type"] == TENANTS]
    if not items:
        return raw
    for item in items:
        item["spec"] = _hashed_spec(item["spec"])
    return json.dumps(table, separators=(",", ":")).encode()


def _hashed_spec(spec: dict[str, Any]) -> dict[str, Any]:
    hashed = {KEY_HASHES: [hash_key(key.encode()).hex() for key in spec[KEYS]]}
    return {**hashed, PRIORITY: spec[PRIORITY]} if PRIORITY in spec else hashed
