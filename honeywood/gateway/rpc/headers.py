"""HTTP/1.1 header fields: hop-by-hop fields, message framing and keep-alive. Pure functions.

All functions expect header names in lower case. Source: RFC 9110 (section 7.6.1) and RFC 9112 (sections 6.3
and 9.3).
"""

from __future__ import annotations

from http import HTTPStatus

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping
    from typing import TypeAlias

    HeaderField: TypeAlias = tuple[bytes, bytes]
    HeaderFields: TypeAlias = list[HeaderField]

CALL_ID = b"x-call-id"  # identifies one call between programs; its response repeats it
CLOSE = b"close"
HOP_BY_HOP = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"proxy-authenticate",
        b"proxy-authorization",
    )
)
BODILESS_STATUSES = (HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED)


def end_to_end(headers: Iterable[HeaderField]) -> HeaderFields:
    """Return the headers without the hop-by-hop ones, including those that a `connection` header lists."""
    fields = list(headers)
    options = {
        option.strip().lower()
        for name, value in fields
        if name == b"connection"
        for option in value.split(b",")
    }
    return [(name, value) for name, value in fields if name not in HOP_BY_HOP and name not in options]


def is_self_delimited(method: bytes, status: int, fields: Mapping[bytes, bytes]) -> bool:
    """Return whether the end of a response follows from its own headers, status and method.

    A response that ends when the connection is closed could be truncated without anyone noticing.
    """
    bodiless = method == b"HEAD" or status in BODILESS_STATUSES
    return bodiless or b"content-length" in fields or b"transfer-encoding" in fields


def closes_connection(fields: Mapping[bytes, bytes]) -> bool:
    """Return whether the sender of a response closes the connection after it."""
    return CLOSE in fields.get(b"connection", b"").lower()


def keep_alive_timeout_s(fields: Mapping[bytes, bytes]) -> int | None:
    """Return for how many seconds the peer keeps an idle connection open; None if not stated."""
    for parameter in fields.get(b"keep-alive", b"").split(b","):
        name, _, value = parameter.strip().partition(b"=")
        if name.lower() == b"timeout" and value.strip().isdigit():
            return int(value)
    return None
