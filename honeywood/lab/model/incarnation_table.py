"""Incarnation numbers as a hashable mapping, so that replies of the program may be part of a state."""

from __future__ import annotations

from collections.abc import ItemsView, Iterator, Mapping
from functools import cache


class IncarnationTable(Mapping[str, int]):
    """Immutable incarnation numbers by the address of the disk."""

    __slots__ = ("_by_address", "_numbers")

    def __init__(self, numbers: tuple[int, ...]) -> None:
        """`numbers` are in the order of the disks."""
        self._numbers = numbers
        self._by_address = {address_of(disk): number for disk, number in enumerate(numbers)}

    def __getitem__(self, address: str) -> int:
        return self._by_address[address]

    def __iter__(self) -> Iterator[str]:
        return iter(self._by_address)

    def __len__(self) -> int:
        return len(self._numbers)

    def items(self) -> ItemsView[str, int]:
        """Return the items; faster than those of Mapping."""
        return self._by_address.items()

    def __eq__(self, other: object) -> bool:
        return isinstance(other, IncarnationTable) and self._numbers == other._numbers

    def __hash__(self) -> int:
        return hash(self._numbers)


def address_of(disk: int) -> str:
    """Return the address by which the program's rules know the disk of an index."""
    return str(disk)


@cache
def incarnation_table(numbers: tuple[int, ...]) -> IncarnationTable:
    """Return the table of these numbers, one object for equal ones."""
    return IncarnationTable(numbers)
