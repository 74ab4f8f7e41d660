"""Records, as programs send them to each other and as a store keeps them."""

from __future__ import annotations

from dataclasses import dataclass

from honeywood.gateway.errors import InvalidMessage

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence
    from typing import TypeAlias

    JsonValue: TypeAlias = None | bool | int | float | str | Sequence["JsonValue"] | Mapping[str, "JsonValue"]

PATH = "/news"


class Stamp(tuple[int, ...]):
    """The version of a record: numbers that are compared from the first on and only rise."""

    __slots__ = ()

    @classmethod
    def of(cls, *numbers: int) -> Stamp:
        """The stamp of these numbers."""
        return cls(numbers)

    @classmethod
    def decode(cls, value: object, field: str, peer: str = "") -> Stamp:
        """A stamp out of a message; raises InvalidMessage that names field and peer."""
        if not (isinstance(value, list) and value and all(type(number) is int for number in value)):
            raise InvalidMessage(PATH, f"{field} must be a list of whole numbers", peer)
        return cls(value)

    def encode(self) -> list[int]:
        """The stamp in a message."""
        return list(self)

    def __str__(self) -> str:
        """As JSON has it; digests of stores are made of this text."""
        return str(self.encode())


@dataclass(frozen=True, slots=True)
class Record:
    """A value under a key; of two with one key the one with the higher stamp is newer."""

    key: str
    stamp: Stamp
    value: JsonValue

    def encode(self) -> list[JsonValue]:
        """The record in a message: [key, stamp, value]."""
        return [self.key, self.stamp.encode(), self.value]

    @classmethod
    def decode(cls, value: object, field: str, peer: str = "") -> Record:
        """A record out of a message; raises InvalidMessage that names field and peer."""
        if not (isinstance(value, list) and len(value) == 3 and isinstance(value[0], str)):
            raise InvalidMessage(PATH, f"{field} must be lists of key, stamp and value", peer)
        key, stamp, content = value
        return cls(key, Stamp.decode(stamp, f"{field}: {key}: stamp", peer), content)


@dataclass(slots=True)
class StoredRecord:
    """A record on a store, without its key.

    `revision` is the store's when it came; `encoded_size` its bytes in a response, once they have been
    counted.
    """

    stamp: Stamp
    value: JsonValue
    revision: int
    encoded_size: int | None = None
