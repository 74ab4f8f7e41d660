"""Checks of plain values out of JSON and TOML. Each raises InvalidInput, which names the key."""

from __future__ import annotations

import json
from math import inf, isfinite
from typing import TYPE_CHECKING, overload

from honeywood.gateway.errors import InvalidInput

if TYPE_CHECKING:
    from collections.abc import Mapping
    from typing import Any, NoReturn, TypeVar

    Value = TypeVar("Value")
    Default = TypeVar("Default")

MISSING = object()
HALF_SURROGATE_ESCAPES = ("\\ud", "\\uD")


@overload
def need(
    table: Mapping[str, Any],
    key: str,
    kind: type[Value],
    where: str,
    *,
    least: float | None = None,
    most: float | None = None,
    peer: str = "",
) -> Value: ...
@overload
def need(
    table: Mapping[str, Any],
    key: str,
    kind: type[Value],
    where: str,
    default: Default,
    least: float | None = None,
    most: float | None = None,
    peer: str = "",
) -> Value | Default: ...
def need(
    table: Mapping[str, Any],
    key: str,
    kind: type,
    where: str,
    default: object = MISSING,
    least: float | None = None,
    most: float | None = None,
    peer: str = "",
) -> object:
    """Return the value under `key`, or `default` where the key is missing.

    The value is of `kind` (a float may be a whole number; a boolean is no number), finite, and from `least`
    to `most`. Raises InvalidInput, which names the key, `where` it stands and the peer that sent it.
    """
    value = table.get(key, default)
    if value is MISSING:
        raise InvalidInput(where, f"{key} is missing", peer)
    if value is default:
        return value
    if not _is_of_kind(value, kind):
        raise InvalidInput(where, f"{key} must be {kind.__name__}, not {type(value).__name__}", peer)
    if isinstance(value, float) and not isfinite(value):
        raise InvalidInput(where, f"{key} must be finite", peer)
    if kind in (int, float):
        _check_bounds(value, key, where, least, most, peer)
    return value


def _is_of_kind(value: object, kind: type) -> bool:
    if isinstance(value, bool):
        return kind is bool
    return isinstance(value, (int, float) if kind is float else kind)


def _check_bounds(
    value: float, key: str, where: str, least: float | None, most: float | None, peer: str
) -> None:
    if not (-inf if least is None else least) <= value <= (inf if most is None else most):
        raise InvalidInput(where, f"{key} is out of bounds: {value}", peer)


def _unique_keys(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    table = dict(pairs)
    if len(table) != len(pairs):
        raise ValueError("a key stands twice")
    return table


def _refuse_constant(text: str) -> NoReturn:
    raise ValueError(f"{text} is no number")


def read_json(raw: bytes, where: str, peer: str = "") -> dict[str, Any]:
    """Return the JSON object in `raw`: complete, without a key twice, NaN or infinity.

    Raises InvalidInput, also where the nesting is too deep to be read, or a text holds half of a surrogate
    pair, which can't be written again.
    """
    try:
        text = raw.decode()
        value = json.loads(text, object_pairs_hook=_unique_keys, parse_constant=_refuse_constant)
        if any(escape in text for escape in HALF_SURROGATE_ESCAPES):
            json.dumps(value, ensure_ascii=False).encode()
    except (ValueError, RecursionError) as error:
        raise InvalidInput(where, f"no JSON: {error}", peer) from None
    if not isinstance(value, dict):
        raise InvalidInput(where, "must be an object", peer)
    return value
