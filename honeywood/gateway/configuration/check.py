"""Hand-written checks of plain values. Each raises errors.InvalidInput that names the key."""

import json
import socket
from math import inf, isfinite

from honeywood.gateway.errors import InvalidInput

MISSING = object()


def need(table, key, kind, where, default=MISSING, least=None, most=None, peer=""):
    """The value under `key`, of `kind` (float takes whole numbers, never booleans) and within bounds; raises
    errors.InvalidInput that names the key, `where` it stands and the peer that sent it."""
    value = table.get(key, default)
    if value is MISSING:
        raise InvalidInput(where, f"{key} is missing", peer)
    if value is default:
        return value
    number = kind in (int, float)
    if (
        isinstance(value, bool)
        and kind is not bool
        or not isinstance(value, (int, float) if kind is float else kind)
    ):
        raise InvalidInput(where, f"{key} must be {kind.__name__}, not {type(value).__name__}", peer)
    if isinstance(value, float) and not isfinite(value):
        raise InvalidInput(where, f"{key} must be finite", peer)
    if number and not (-inf if least is None else least) <= value <= (inf if most is None else most):
        raise InvalidInput(where, f"{key} is out of bounds: {value}", peer)
    return value


def ipv4(text, where, peer=""):
    """A numeric IPv4 address: nothing here looks up names, and an error would come only when it is called."""
    try:
        socket.inet_pton(socket.AF_INET, text)
    except (OSError, TypeError, ValueError):
        raise InvalidInput(where, f"{text!r} is no numeric IPv4 address", peer) from None
    return text


def address(text, where, peer=""):
    """ "ip:port" as (ip, port); `where` names the key."""
    ip, colon, port = text.rpartition(":") if isinstance(text, str) else ("", "", "")
    if not (colon and port.isascii() and port.isdecimal() and 0 < int(port[:6]) < 65536):
        raise InvalidInput(where, f"{text!r} is no address and port", peer)
    return ipv4(ip, where, peer), int(port)


def _pairs(pairs):
    table = dict(pairs)
    if len(table) != len(pairs):
        raise ValueError("a key stands twice")
    return table


def _number(text):
    raise ValueError(f"{text} is no number")


def read_json(raw, where, peer=""):
    """A JSON object out of bytes: whole, no key twice, no NaN, no bottomless nesting."""
    try:
        text = raw.decode()
        value = json.loads(text, object_pairs_hook=_pairs, parse_constant=_number)
        if "\\ud" in text or "\\uD" in text:  # half a pair is no text: it can't be written down
            json.dumps(value, ensure_ascii=False).encode()
    except (ValueError, RecursionError) as wrong:
        raise InvalidInput(where, f"no JSON: {wrong}", peer) from None
    if not isinstance(value, dict):
        raise InvalidInput(where, "must be an object", peer)
    return value
