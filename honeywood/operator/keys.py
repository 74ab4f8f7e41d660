"""Parses and bounds the values of keys, by kind.

The parsers raise ValueError; its text is written to follow the name of the key, as in "queue: is True".
"""

from __future__ import annotations

import re

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Callable, Mapping
    from typing import Any

SIZES = {
    "B": 1,
    "KB": 10**3,
    "MB": 10**6,
    "GB": 10**9,
    "TB": 10**12,
    "KiB": 2**10,
    "MiB": 2**20,
    "GiB": 2**30,
    "TiB": 2**40,
}
DURATIONS = {"ms": 10, "s": 10_000, "m": 600_000, "h": 36_000_000, "d": 864_000_000}  # in tenths of a ms
EXAMPLES = {"size": "64KB", "time": "3s"}
QUANTITY = re.compile(r"([0-9]+(?:\.[0-9]+)?)\s*([A-Za-z]+)\Z", re.ASCII)
FIELD_NAME = re.compile(r"[a-z0-9-]{1,64}\Z", re.ASCII)


class Key:
    """One key: the parser of its value, its default (None if the key is required), and its bounds."""

    def __init__(
        self,
        parse: Callable[[Any], Any],
        default: Any,
        minimum: Any = None,
        maximum: Any = None,
    ) -> None:
        """The default and the bounds are given as they are written in a file."""
        self._parse, self.default, self._minimum, self._maximum = parse, default, minimum, maximum

    def value(self, raw: Any) -> Any:
        """Parse a value from the file and check its bounds.

        Raises:
            ValueError: the value is malformed or out of bounds.
        """
        value = self._parse(raw)
        if self._minimum is not None and value < self._parse(self._minimum):
            raise ValueError(f"is {raw!r}, below the minimum of {self._minimum}")
        if self._maximum is not None and value > self._parse(self._maximum):
            raise ValueError(f"is {raw!r}, above the maximum of {self._maximum}")
        return value


def with_unit(raw: Any, units: Mapping[str, int], kind: str) -> int:
    """Convert a number with a unit to a whole number of the smallest unit.

    >>> with_unit("1.5MB", SIZES, "size"), with_unit("2s", DURATIONS, "time")
    (1500000, 20000)
    """
    match = QUANTITY.match(raw) if isinstance(raw, str) else None
    if not match or match[2] not in units:
        raise ValueError(f'is not a {kind}, such as "{EXAMPLES[kind]}" (units: {", ".join(units)})')
    return round(float(match[1]) * units[match[2]])


def size(raw: Any) -> int:
    """Parse a size into bytes."""
    return with_unit(raw, SIZES, "size")


def duration(raw: Any) -> int:
    """Parse a time into tenths of a millisecond."""
    return with_unit(raw, DURATIONS, "time")


def text(raw: Any) -> str:
    """Check for a string that is not empty."""
    if not isinstance(raw, str) or not raw:
        raise ValueError(f"is {raw!r:.60}, not a non-empty string")
    return raw


def count(raw: Any) -> int:
    """Check for a whole number of at least 0."""
    if type(raw) is not int or raw < 0:
        raise ValueError(f"is {raw!r:.60}, not a whole number of at least 0")
    return raw


def field_names(raw: Any) -> list[str]:
    """Check for a list of request header names in lower case."""
    if not isinstance(raw, list) or not all(isinstance(name, str) and FIELD_NAME.match(name) for name in raw):
        raise ValueError(f"is {raw!r:.60}, not a list of header names in lower case")
    return raw


def choice(*words: str) -> Callable[[Any], str]:
    """Return a parser that accepts only one of these words."""

    def parse(raw: Any) -> str:
        if raw not in words:
            raise ValueError(f"is {raw!r:.60}, not one of {', '.join(words)}")
        word: str = raw
        return word

    return parse
