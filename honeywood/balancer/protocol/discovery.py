"""Discovery's server list: JSON lines of a watch that the client keeps open.

No other module uses the keys of these JSON objects.
"""

from __future__ import annotations

import json
from typing import NamedTuple

from honeywood.balancer.model import ServerStatus

TYPE_CHECKING = False
if TYPE_CHECKING:
    from typing import Any

PHASES = {"up": ServerStatus.READY, "draining": ServerStatus.DRAINING, "removed": ServerStatus.REMOVED}
# Raised by the conversions below for values of the wrong type or range.
CONVERSION_ERRORS = KeyError, TypeError, ValueError, AttributeError, OverflowError
MAX_LINE = 4 * 1024 * 1024  # bytes


class InvalidList(Exception):  # noqa: N818 - named for what went wrong
    """The received data is not a valid server list."""


class Address(NamedTuple):
    """The host and TCP port of a peer."""

    host: str
    port: int


class Member(NamedTuple):
    """A server in discovery's list; a removed server may have no address."""

    identifier: str
    address: Address | None
    build: int
    locality: str
    cell: int
    scale: float
    status: ServerStatus
    started_ms: int  # Unix time; 0 if unknown


class ServerList(NamedTuple):
    """All servers if `complete`, otherwise the changed ones; `faults` describes the entries left out."""

    revision: int
    complete: bool
    members: list[Member]
    faults: list[str]


def watch_target(revision: int) -> str:
    """The request target of a watch of the changes after a revision."""
    return f"/catalog/members?follow=1&since={revision}"


def parse_address(text: str) -> Address:
    """Parse `host:port`; an IPv6 address may be in brackets. Raises ValueError."""
    host, colon, port = text.rpartition(":")
    if not host or not colon or not port.isdigit() or not 0 < int(port) < 65536:
        raise ValueError(f"address {text!r}")
    return Address(host.strip("[]"), int(port))


def parse_list(raw: Any) -> ServerList:
    """Convert decoded JSON to a list, without its invalid entries (see `faults`). Raises InvalidList."""
    try:
        revision, complete, listed = int(raw["revision"]), bool(raw["complete"]), list(raw["members"])
    except CONVERSION_ERRORS as error:
        raise InvalidList(f"no list: {error!r}") from None
    members, faults = [], []
    for entry in listed:
        try:
            members.append(_parse_member(entry))
        except CONVERSION_ERRORS as error:
            faults.append(repr(error))
    return ServerList(revision, complete, members, faults)


def parse_line(text: bytes | bytearray) -> ServerList | None:
    """Parse one line of a watch; None for a heartbeat. Raises InvalidList."""
    if not text.strip():
        return None
    try:
        return parse_list(json.loads(text))
    except (ValueError, RecursionError) as error:
        raise InvalidList(f"not JSON: {error}") from None


def _parse_member(raw: Any) -> Member:
    status = PHASES[raw["phase"]]
    no_address = status == ServerStatus.REMOVED and "host_port" not in raw
    return Member(
        identifier=str(raw["id"]),
        address=None if no_address else parse_address(raw["host_port"]),
        build=int(raw.get("release", 0)),
        locality=str(raw.get("locality", "")),
        cell=int(raw.get("cell", 0)),
        scale=float(raw.get("size", 1.0)),
        status=status,
        started_ms=int(raw.get("up_since_ms", 0)),
    )
