"""The values of keys: how each kind is read and bounded. Readers raise ValueError, worded to follow a key."""

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
FIGURE = re.compile(r"([0-9]+(?:\.[0-9]+)?)\s*([A-Za-z]+)\Z", re.ASCII)
FIELD_NAME = re.compile(r"[a-z0-9-]{1,64}\Z", re.ASCII)


class Key:
    """One key: how its value is read, its default (None: it must be there), and its bounds."""

    def __init__(
        self,
        read: Callable[[Any], Any],
        default: Any,
        least: Any = None,
        most: Any = None,
    ) -> None:
        """Default and bounds are written as in a file."""
        self._read, self.default, self._least, self._most = read, default, least, most

    def value(self, raw: Any) -> Any:
        """The value read. Raises ValueError."""
        value = self._read(raw)
        if self._least is not None and value < self._read(self._least):
            raise ValueError(f"is {raw!r}, under the least of {self._least}")
        if self._most is not None and value > self._read(self._most):
            raise ValueError(f"is {raw!r}, over the most of {self._most}")
        return value


def with_unit(raw: Any, units: Mapping[str, int], kind: str) -> int:
    """A figure with its unit, as a whole number of the smallest.

    >>> with_unit("1.5MB", SIZES, "size"), with_unit("2s", DURATIONS, "time")
    (1500000, 20000)
    """
    match = FIGURE.match(raw) if isinstance(raw, str) else None
    if not match or match[2] not in units:
        raise ValueError(f'is no {kind}, such as "{EXAMPLES[kind]}" (units: {", ".join(units)})')
    return round(float(match[1]) * units[match[2]])


def size(raw: Any) -> int:
    """Bytes."""
    return with_unit(raw, SIZES, "size")


def duration(raw: Any) -> int:
    """Tenths of a millisecond."""
    return with_unit(raw, DURATIONS, "time")


def text(raw: Any) -> str:
    """A text that is not empty."""
    if not isinstance(raw, str) or not raw:
        raise ValueError(f"is {raw!r:.60}, not a text")
    return raw


def count(raw: Any) -> int:
    """A whole number."""
    if type(raw) is not int or raw < 0:
        raise ValueError(f"is {raw!r:.60}, not a whole number from 0 on")
    return raw


def field_names(raw: Any) -> list[str]:
    """Names of request fields, in lower case."""
    if not isinstance(raw, list) or not all(isinstance(name, str) and FIELD_NAME.match(name) for name in raw):
        raise ValueError(f"is {raw!r:.60}, not a list of field names in lower case")
    return raw


def choice(*words: str) -> Callable[[Any], str]:
    """One of these words."""

    def read(raw: Any) -> str:
        if raw not in words:
            raise ValueError(f"is {raw!r:.60}, not one of {', '.join(words)}")
        word: str = raw
        return word

    return read
