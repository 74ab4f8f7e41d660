"""The configuration as the register keeps it, and the outcome of orders to replace it. Pure functions.

The stored form is {"ver", "text", "digest", "past"}. The text is packed, the digest is that of the bytes as
they were sent, and `past` lists [version, digest] of the other orders with the MAX_HISTORY highest versions.

A version stands for one content: the first that a majority has noted, in force or superseded. So of two
contents under one version one is acknowledged, and a copy of an order is known however often it arrives.
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

OPERATION = "config"  # named in errors
MAX_HISTORY = (
    128  # orders remembered; those below them are acknowledged as superseded, whatever their content
)
DIGEST_BYTES = 8


class OrderOutcome(StrEnum):
    """The outcome of an order to replace the configuration; the values are shown to operators."""

    ACCEPTED = "taken"  # in force
    SUPERSEDED = "overtaken"  # acknowledged, below the one in force
    CONFLICT = "other content"  # refused: its version stands for another content


class PastOrder(NamedTuple):
    """The version and the content's digest of an order that is not in force."""

    version: int
    digest: str


@dataclass(frozen=True, slots=True)
class ConfigurationRecord:
    """The configuration in force and the orders besides it, by ascending version."""

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
    """Return the record of a stored form.

    Raises InvalidMessage, which names the field, where it can't be used.
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
    """Return the digest of a configuration's bytes, by which copies of an order are known."""
    return blake2b(raw, digest_size=DIGEST_BYTES).hexdigest()


def order_outcome(current: ConfigurationRecord | None, version: int, digest: str) -> OrderOutcome | None:
    """Return the outcome of an order by the current record, or None where the order has not been noted."""
    if current is None or version > current.version:
        return None
    if version == current.version:
        return OrderOutcome.ACCEPTED if digest == current.digest else OrderOutcome.CONFLICT
    history = dict(current.history)
    noted = history.get(version)
    if noted is None:
        is_forgotten = len(history) >= MAX_HISTORY and version < min(history)
        return OrderOutcome.SUPERSEDED if is_forgotten else None
    return OrderOutcome.SUPERSEDED if noted == digest else OrderOutcome.CONFLICT


def after_order(
    current: ConfigurationRecord | None, version: int, text: str, digest: str
) -> ConfigurationRecord:
    """Return the record after an order; the same object where the order was noted before."""
    if current is None:
        return ConfigurationRecord(version, text, digest)
    if order_outcome(current, version, digest) is not None:
        return current
    if version < current.version:
        return replace(current, history=_extended(current.history, PastOrder(version, digest)))
    history = _extended(current.history, PastOrder(current.version, current.digest))
    return ConfigurationRecord(version, text, digest, history)


def _extended(history: tuple[PastOrder, ...], order: PastOrder) -> tuple[PastOrder, ...]:
    return tuple(sorted((*history, order))[-MAX_HISTORY:])


def update_stored(stored: dict[str, Any] | None, version: int, text: str, digest: str) -> dict[str, Any]:
    """Return the stored form after an order; the same object where the order was noted before."""
    if stored is None:
        return encode(after_order(None, version, text, digest))
    current = decode(stored)
    after = after_order(current, version, text, digest)
    return stored if after is current else encode(after)
