"""Incarnation numbers as a hashable mapping, so that the program's replies can be part of a state."""

from __future__ import annotations

from collections.abc import ItemsView, Iterator, Mapping
from functools import cache


class IncarnationTable(Mapping[str, int]):
    """An immutable mapping from the address of a disk to its incarnation number."""

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
        """Return the items; faster than the inherited Mapping.items."""
        return self._by_address.items()

    def __eq__(self, other: object) -> bool:
        return isinstance(other, IncarnationTable) and self._numbers == other._numbers

    def __hash__(self) -> int:
        return hash(self._numbers)


def address_of(disk: int) -> str:
    """Return the address that identifies a disk in the program's rules, given the disk's index."""
    return str(disk)


@cache
def incarnation_table(numbers: tuple[int, ...]) -> IncarnationTable:
    """Return the table of these numbers; equal numbers share one cached table."""
    return IncarnationTable(numbers)
