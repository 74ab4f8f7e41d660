"""Customers (tenants) of a configuration, and the form in which their keys leave the controllers.

Operators send keys as they are, and `config.read` gives the configuration back as it was sent; so the
register's disks hold it so. Everything else knows a key by its hash only: `with_hashed_keys` rewrites a
configuration before it is told to proxies, and a proxy hashes what a client shows.
"""

import json
from _blake2 import blake2b  # hashlib would bring OpenSSL
from dataclasses import dataclass

from honeywood.gateway.configuration.check import need
from honeywood.gateway.errors import InvalidConfiguration

TENANTS = "tenants"  # the kind of item
QUOTED_TENANTS, ESCAPE = b'"tenants"', b"\\u"  # as it stands in a text, unless its letters are escaped
KEYS, KEY_HASHES, PRIORITY = "apikeys", "key_hashes", "prio"  # of an item's `spec`
HASH_BYTES = 16  # keys are drawn at random by their issuer: two with one hash of 128 bits don't occur
PRIORITY_MOST = 1 << 30


@dataclass(frozen=True, slots=True)
class Tenant:
    """A customer: `key_hashes` are HASH_BYTES each; `priority`, 0 the highest, stands in place of its routes'
    where it is given."""

    name: str
    key_hashes: tuple[bytes, ...]
    priority: int | None = None


def hash_key(key: bytes) -> bytes:
    """The hash by which a key is known."""
    return blake2b(key, digest_size=HASH_BYTES).digest()


def read_tenant(name: str, spec: dict, where: str) -> Tenant:
    """A tenant as operators send it; raises errors.InvalidConfiguration, which never holds a key."""
    keys = need(spec, KEYS, list, where)
    if not all(isinstance(key, str) and _is_header_value(key) for key in keys):
        raise InvalidConfiguration(where, f"{KEYS} holds what can't stand in a header")
    return _tenant(name, spec, where, [hash_key(key.encode()) for key in keys])


def read_hashed_tenant(name: str, spec: dict, where: str) -> Tenant:
    """A tenant as controllers tell it to proxies."""
    try:
        hashes = [bytes.fromhex(text) for text in need(spec, KEY_HASHES, list, where)]
    except (TypeError, ValueError):
        raise InvalidConfiguration(where, f"{KEY_HASHES} holds what is no hash") from None
    if any(len(one) != HASH_BYTES for one in hashes):
        raise InvalidConfiguration(where, f"{KEY_HASHES} holds a hash of another length")
    return _tenant(name, spec, where, hashes)


def _tenant(name, spec, where, hashes):
    if not _is_header_value(name):
        raise InvalidConfiguration(where, "the name can't stand in a header")
    priority = need(spec, PRIORITY, int, where, None, least=0, most=PRIORITY_MOST)
    return Tenant(name, tuple(dict.fromkeys(hashes)), priority)


def _is_header_value(text):
    """Whether a text can be a header's value: ASCII that is seen, without a space at either end."""
    return text.isascii() and text.isprintable() and text == text.strip() and text != ""


def check_keys_differ(tenants, where: str, peer: str = "") -> None:
    """Raises errors.InvalidConfiguration where two tenants share a key."""
    owners: dict[bytes, str] = {}
    for tenant in tenants:
        for one in tenant.key_hashes:
            if owners.setdefault(one, tenant.name) != tenant.name:
                why = f"tenants {owners[one]} and {tenant.name} share a key"
                raise InvalidConfiguration(where, why, peer)


def with_hashed_keys(raw: bytes) -> bytes:
    """A configuration that has been read without fault, as proxies are told it; the same bytes where it has
    no tenants."""
    if QUOTED_TENANTS not in raw and ESCAPE not in raw:  # most are told as they are, without being read again
        return raw
    table = json.loads(raw)
    items = [item for item in table["res"] if item["type"] == TENANTS]
    if not items:
        return raw
    for item in items:
        spec = item["spec"]
        hashed = {KEY_HASHES: [hash_key(key.encode()).hex() for key in spec[KEYS]]}
        item["spec"] = {**hashed, **{key: spec[key] for key in (PRIORITY,) if key in spec}}
    return json.dumps(table, separators=(",", ":")).encode()
