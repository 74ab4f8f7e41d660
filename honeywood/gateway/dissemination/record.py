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
    """The version of a record: numbers that are compared from the first on. It only increases."""

    __slots__ = ()

    @classmethod
    def of(cls, *numbers: int) -> Stamp:
        """Returns the stamp of these numbers."""
        return cls(numbers)

    @classmethod
    def decode(cls, value: object, field: str, peer: str = "") -> Stamp:
        """Decodes a stamp; raises InvalidMessage, which names the field and the peer."""
        if not (isinstance(value, list) and value and all(type(number) is int for number in value)):
            raise InvalidMessage(PATH, f"{field} must be a list of whole numbers", peer)
        return cls(value)

    def encode(self) -> list[int]:
        """Returns the stamp as it appears in a message."""
        return list(self)

    def __str__(self) -> str:
        """Returns the stamp as JSON; the digests of stores are computed from this text."""
        return str(self.encode())


@dataclass(frozen=True, slots=True)
class Record:
    """A value under a key; if two records have the same key, the one with the higher stamp is newer."""

    key: str
    stamp: Stamp
    value: JsonValue

    def encode(self) -> list[JsonValue]:
        """Returns the record as it appears in a message: [key, stamp, value]."""
        return [self.key, self.stamp.encode(), self.value]

    @classmethod
    def decode(cls, value: object, field: str, peer: str = "") -> Record:
        """Decodes a record; raises InvalidMessage, which names the field and the peer."""
        if not (isinstance(value, list) and len(value) == 3 and isinstance(value[0], str)):
            raise InvalidMessage(PATH, f"{field} must be lists of key, stamp and value", peer)
        key, stamp, content = value
        return cls(key, Stamp.decode(stamp, f"{field}: {key}: stamp", peer), content)


@dataclass(slots=True)
class StoredRecord:
    """A record in a store, without its key.

    `revision` is the revision of the store in which the record was added. `encoded_size` is its size in a
    response in bytes, or None until that has been computed.
    """

    stamp: Stamp
    value: JsonValue
    revision: int
    encoded_size: int | None = None
