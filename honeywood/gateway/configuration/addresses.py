"""Parses numeric addresses in settings and messages. Host names are rejected: the gateway resolves none."""

from __future__ import annotations

import socket
from typing import NamedTuple

from honeywood.gateway.errors import InvalidInput

PORT_END = 1 << 16
MAX_PORT_DIGITS = 6  # how many digits of a port are checked, however long its text is


class Address(NamedTuple):
    """An IPv4 address and a TCP port."""

    ip: str
    port: int


def parse_ipv4(text: str, where: str, peer: str = "") -> str:
    """Return `text` unchanged if it is a numeric IPv4 address.

    Raises InvalidInput, which names the place in the input (`where`) and the peer that sent it.
    """
    try:
        socket.inet_pton(socket.AF_INET, text)
    except (OSError, TypeError, ValueError):
        raise InvalidInput(where, f"{text!r} is no numeric IPv4 address", peer) from None
    return text


def parse_address(text: object, where: str, peer: str = "") -> Address:
    """Return the address in a text of the form "ip:port".

    Raises InvalidInput, which names the place in the input (`where`) and the peer that sent it.
    """
    ip, colon, port = text.rpartition(":") if isinstance(text, str) else ("", "", "")
    is_port = port.isascii() and port.isdecimal() and 0 < int(port[:MAX_PORT_DIGITS]) < PORT_END
    if not (colon and is_port):
        raise InvalidInput(where, f"{text!r} is no address and port", peer)
    return Address(parse_ipv4(ip, where, peer), int(port))
