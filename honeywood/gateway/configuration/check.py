"""Reads typed values from parsed JSON and TOML. Every function raises InvalidInput, which names the key."""

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
SURROGATE_ESCAPE_PREFIXES = ("\\ud", "\\uD")


@overload
def need(
    table: Mapping[str, Any],
    key: str,
    expected_type: type[Value],
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
    expected_type: type[Value],
    where: str,
    default: Default,
    least: float | None = None,
    most: float | None = None,
    peer: str = "",
) -> Value | Default: ...
def need(
    table: Mapping[str, Any],
    key: str,
    expected_type: type,
    where: str,
    default: object = MISSING,
    least: float | None = None,
    most: float | None = None,
    peer: str = "",
) -> object:
    """Return the value under `key`, or `default` if the key is missing.

    The value has `expected_type`, is finite, and lies between `least` and `most` inclusive. An int is
    accepted as a float; a bool is never accepted as a number. Raises InvalidInput, which names the key, the
    place in the input (`where`) and the peer that sent it.
    """
    value = table.get(key, default)
    if value is MISSING:
        raise InvalidInput(where, f"{key} is missing", peer)
    if value is default:
        return value
    if not _has_type(value, expected_type):
        raise InvalidInput(where, f"{key} must be {expected_type.__name__}, not {type(value).__name__}", peer)
    if isinstance(value, float) and not isfinite(value):
        raise InvalidInput(where, f"{key} must be finite", peer)
    if expected_type in (int, float):
        _check_bounds(value, key, where, least, most, peer)
    return value


def _has_type(value: object, expected_type: type) -> bool:
    if isinstance(value, bool):
        return expected_type is bool
    return isinstance(value, (int, float) if expected_type is float else expected_type)


def _check_bounds(
    value: float, key: str, where: str, least: float | None, most: float | None, peer: str
) -> None:
    if not (-inf if least is None else least) <= value <= (inf if most is None else most):
        raise InvalidInput(where, f"{key} is out of bounds: {value}", peer)


def _table_with_unique_keys(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    table = dict(pairs)
    if len(table) != len(pairs):
        raise ValueError("a key stands twice")
    return table


def _reject_constant(text: str) -> NoReturn:
    raise ValueError(f"{text} is no number")


def read_json(raw: bytes, where: str, peer: str = "") -> dict[str, Any]:
    """Return the JSON object in `raw`.

    Raises InvalidInput if `raw` is not one complete JSON object, repeats a key, holds NaN or infinity, is
    nested too deeply to be parsed, or holds an unpaired surrogate, which could not be encoded again.
    """
    try:
        text = raw.decode()
        value = json.loads(text, object_pairs_hook=_table_with_unique_keys, parse_constant=_reject_constant)
        if any(prefix in text for prefix in SURROGATE_ESCAPE_PREFIXES):
            json.dumps(value, ensure_ascii=False).encode()
    except (ValueError, RecursionError) as error:
        raise InvalidInput(where, f"no JSON: {error}", peer) from None
    if not isinstance(value, dict):
        raise InvalidInput(where, "must be an object", peer)
    return value
