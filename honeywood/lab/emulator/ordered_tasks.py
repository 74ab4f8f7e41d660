"""Tasks and futures whose order in sets does not depend on memory addresses, so that days are reproducible.

The order of a set depends on the hashes of its items. By default a hash is derived from the memory address;
here it is a serial number.
"""

from __future__ import annotations

import asyncio
from itertools import count
from typing import TypeVar

T = TypeVar("T")


class _Ordered:
    numbers = count()
    _number: int

    def __new__(cls, *args: object, **options: object) -> _Ordered:
        instance = super().__new__(cls)
        instance._number = next(_Ordered.numbers)
        return instance

    def __hash__(self) -> int:
        return self._number


class Task(_Ordered, asyncio.Task[T]):
    """A task that is hashed by its serial number."""


class Future(_Ordered, asyncio.Future[T]):
    """A future that is hashed by its serial number."""


def restart_numbers() -> None:
    """Restart the serial numbers of tasks and futures at 0."""
    _Ordered.numbers = count()
