"""The configuration's record in the register, and the outcome of operators' orders to replace it.

An order is one `config.replace` call. All functions here are pure.

The stored form is {"ver", "text", "digest", "past"}. `text` is packed, `digest` is that of the bytes that the
operator sent, and `past` lists [version, digest] of the other orders with the MAX_HISTORY highest versions.

A version is bound to one content: the first that a majority has recorded under it, whether in force or
superseded. Therefore only one of two contents under the same version is acknowledged, and a repeated order is
recognized however often it arrives.
"""

from __future__ import annotations

from _blake2 import blake2b  # hashlib would import OpenSSL
from dataclasses import dataclass, replace
from enum import StrEnum
from typing import NamedTuple

from honeywood.gateway.configuration.check import need
from honeywood.gateway.errors import InvalidMessage

TYPE_CHECKING = False
if TYPE_CHECKING:
    from typing import Any

OPERATION = "config"  # the operation that errors name
# Orders that are kept. One below all of them is acknowledged as superseded, whatever its content.
MAX_HISTORY = 128
DIGEST_BYTES = 8


class OrderOutcome(StrEnum):
    """The outcome of an order to replace the configuration; the values are shown to operators."""

    ACCEPTED = "taken"  # in force
    SUPERSEDED = "overtaken"  # acknowledged, but a higher version is in force
    CONFLICT = "other content"  # rejected: its version is bound to another content


class PastOrder(NamedTuple):
    """The version and the content digest of an order that is not in force."""

    version: int
    digest: str


@dataclass(frozen=True, slots=True)
class ConfigurationRecord:
    """The configuration in force, and the other orders by ascending version."""

    version: int
    text: str
    digest: str
    history: tuple[PastOrder, ...] = ()


def encode(record: ConfigurationRecord) -> dict[str, Any]:
    """Return the stored form of a record."""
    return {
        "ver": record.version,
        "text": record.text,
        "digest": record.digest,
        "past": [[order.version, order.digest] for order in record.history],
    }


def decode(value: dict[str, Any], peer: str = "") -> ConfigurationRecord:
    """Return the record that a stored form encodes.

    Raises InvalidInput, which names the field, if the stored form is invalid.
    """
    history = need(value, "past", list, OPERATION, peer=peer)
    try:
        orders = tuple(PastOrder(version, digest) for version, digest in history)
    except (TypeError, ValueError):
        raise InvalidMessage(OPERATION, "past holds what is no version and digest", peer) from None
    return ConfigurationRecord(
        need(value, "ver", int, OPERATION, peer=peer),
        need(value, "text", str, OPERATION, peer=peer),
        need(value, "digest", str, OPERATION, peer=peer),
        orders,
    )


def content_digest(raw: bytes) -> str:
    """Return the digest of a configuration's bytes, which identifies repeated orders."""
    return blake2b(raw, digest_size=DIGEST_BYTES).hexdigest()


def order_outcome(current: ConfigurationRecord | None, version: int, digest: str) -> OrderOutcome | None:
    """Return the outcome of an order according to the current record, or None if it is not recorded."""
    if current is None or version > current.version:
        return None
    if version == current.version:
        return OrderOutcome.ACCEPTED if digest == current.digest else OrderOutcome.CONFLICT
    history = dict(current.history)
    recorded_digest = history.get(version)
    if recorded_digest is None:
        is_forgotten = len(history) >= MAX_HISTORY and version < min(history)
        return OrderOutcome.SUPERSEDED if is_forgotten else None
    return OrderOutcome.SUPERSEDED if recorded_digest == digest else OrderOutcome.CONFLICT


def apply_order(
    current: ConfigurationRecord | None, version: int, text: str, digest: str
) -> ConfigurationRecord:
    """Return the record after an order; the same object if the order was already recorded."""
    if current is None:
        return ConfigurationRecord(version, text, digest)
    if order_outcome(current, version, digest) is not None:
        return current
    if version < current.version:
        return replace(current, history=_extend_history(current.history, PastOrder(version, digest)))
    history = _extend_history(current.history, PastOrder(current.version, current.digest))
    return ConfigurationRecord(version, text, digest, history)


def _extend_history(history: tuple[PastOrder, ...], order: PastOrder) -> tuple[PastOrder, ...]:
    return tuple(sorted((*history, order))[-MAX_HISTORY:])


def update_stored(stored: dict[str, Any] | None, version: int, text: str, digest: str) -> dict[str, Any]:
    """Return the stored form after an order; the same object if the order was already recorded."""
    if stored is None:
        return encode(apply_order(None, version, text, digest))
    current = decode(stored)
    updated = apply_order(current, version, text, digest)
    return stored if updated is current else encode(updated)
