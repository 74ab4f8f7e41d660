"""Reads a configuration key by key; error messages contain the name of the key."""

from __future__ import annotations

from math import isfinite

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Callable, Mapping
    from typing import Any, TypeVar

    Choice = TypeVar("Choice")

MAX_SHOWN = 60  # characters of a value in a message
MAX_NUMBER = 1e15


class InvalidConfiguration(ValueError):  # noqa: N818 - named for what went wrong
    """A value is missing or invalid; the message starts with its key."""


class Section:
    """An object of a configuration; unknown keys are ignored.

    Methods raise InvalidConfiguration if a value is invalid or a key without a default is missing.

    >>> section = Section({"limits": {"sockets": "many"}}, "")
    >>> section.section("limits").number("cores", 1.0)
    1.0
    >>> section.section("limits").integer("sockets", 64)
    Traceback (most recent call last):
    honeywood.balancer.sections.InvalidConfiguration: limits.sockets: 'many' is not a whole number from 0 on
    """

    def __init__(self, raw: Any, path: str) -> None:
        """`path` is the prefix of the object's keys in messages, "" for the whole configuration."""
        if not isinstance(raw, dict):
            raise InvalidConfiguration(f"{path or 'the whole'}: {raw!r:.{MAX_SHOWN}} is not an object")
        self.raw, self.path = raw, path

    def name(self, key: str) -> str:
        """The full name of a key, including the path of this object."""
        return f"{self.path}.{key}" if self.path else key

    def invalid(self, key: str, expected: str) -> InvalidConfiguration:
        """The error for a key whose value is not what was expected."""
        return InvalidConfiguration(f"{self.name(key)}: {self.raw.get(key)!r:.{MAX_SHOWN}} is not {expected}")

    def value(self, key: str, default: Any, fits: Callable[[Any], bool], expected: str) -> Any:
        """The value of a key if it fits; a default of None means that the key is required."""
        value = self.raw.get(key, default)
        if key not in self.raw and default is None:
            raise InvalidConfiguration(f"{self.name(key)}: missing")
        if not fits(value):
            raise self.invalid(key, expected)
        return value

    def number(
        self, key: str, default: float | None = None, least: float = 0.0, most: float = MAX_NUMBER
    ) -> float:
        """A finite number within bounds."""

        def fits(value: Any) -> bool:
            return type(value) in (int, float) and isfinite(value) and least <= value <= most

        number: float = self.value(key, default, fits, f"a number from {least:g} to {most:g}")
        return number

    def integer(self, key: str, default: int | None = None, least: int = 0) -> int:
        """An integer of at least `least`."""

        def fits(value: Any) -> bool:
            return type(value) is int and value >= least

        integer: int = self.value(key, default, fits, f"a whole number from {least} on")
        return integer

    def duration(self, key: str, default: float | None = 0) -> int:
        """A duration in microseconds, converted to tenths of a millisecond."""
        return int(self.number(key, default)) // 100

    def boolean(self, key: str, default: bool = False) -> bool:
        """A boolean."""
        boolean: bool = self.value(key, default, lambda value: isinstance(value, bool), "true or false")
        return boolean

    def string(self, key: str, default: str | None = None) -> str:
        """A string."""
        string: str = self.value(key, default, lambda value: isinstance(value, str), "a text")
        return string

    def choice(self, key: str, default: str | None, choices: Mapping[str, Choice]) -> Choice:
        """The value of `choices` that the string selects."""
        choice = self.string(key, default)
        if choice not in choices:
            raise self.invalid(key, f"one of {', '.join(choices)}")
        return choices[choice]

    def section(self, key: str) -> Section:
        """An object within this one, an empty one if it is missing."""
        return Section(self.raw.get(key, {}), self.name(key))

    def sections(self, key: str) -> list[Section]:
        """A list of objects."""
        objects = self.value(key, [], lambda value: isinstance(value, list), "a list")
        return [Section(raw, f"{self.name(key)}[{index}]") for index, raw in enumerate(objects)]

    def strings(self, key: str) -> list[str]:
        """A list of strings."""

        def fits(value: Any) -> bool:
            return isinstance(value, list) and all(isinstance(text, str) for text in value)

        strings: list[str] = self.value(key, [], fits, "a list of texts")
        return strings

    def shares(self, key: str) -> list[float]:
        """A non-empty list of numbers from 0 to 1."""

        def fits(value: Any) -> bool:
            return (
                isinstance(value, list)
                and bool(value)
                and all(isinstance(share, int | float) and 0 <= share <= 1 for share in value)
            )

        shares: list[float] = self.value(key, [1.0], fits, "a list of numbers from 0 to 1")
        return shares
