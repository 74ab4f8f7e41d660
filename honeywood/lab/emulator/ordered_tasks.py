"""Tasks and futures whose order in sets is that in which they were made, so that a day can be repeated.

A set keeps its items by their hash, which is the address unless a class defines another.
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
        made = super().__new__(cls)
        made._number = next(_Ordered.numbers)
        return made

    def __hash__(self) -> int:
        return self._number


class Task(_Ordered, asyncio.Task[T]):
    """A task that is hashed by its number."""


class Future(_Ordered, asyncio.Future[T]):
    """A future that is hashed by its number."""


def restart_numbers() -> None:
    """Number tasks and futures from 0 on again."""
    _Ordered.numbers = count()
