"""Reads and checks the fields of the register's messages. Pure.

Errors name the message, the field, and the peer that sent the message.
"""

from __future__ import annotations

from honeywood.gateway.configuration.check import need
from honeywood.gateway.errors import InvalidInput, InvalidMessage
from honeywood.gateway.register.row import Ballot

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping
    from typing import TypeVar

    from honeywood.gateway.register.json_value import JsonValue

    T = TypeVar("T")

PATH = "/register"
"""The path to which the register's requests are sent."""

MESSAGE_FORMAT = 2
"""The format of the messages; format 1 carried complete values and named its requests `op`."""


class MessageFields:
    """The fields of one message, or of an object in it."""

    __slots__ = ("_name", "_peer", "_table")

    def __init__(self, table: Mapping[str, JsonValue], name: str, peer: str) -> None:
        """`name` is the message's name in errors; `peer` is the address of its sender."""
        self._table = table
        self._name = name
        self._peer = peer

    def error(self, reason: str) -> InvalidMessage:
        """Return an error about this message, for the caller to raise."""
        return InvalidMessage(PATH, f"{self._name}: {reason}", self._peer)

    def has(self, name: str) -> bool:
        """Return whether the field `name` exists and isn't null."""
        return self.get(name) is not None

    def require(self, name: str) -> None:
        """Raise InvalidMessage if the field `name` is missing; it may be null."""
        if name not in self._table:
            raise self.error(f"{name} is missing")

    def get(self, name: str) -> JsonValue:
        """Return the field `name` without a check, or None if it is missing."""
        return self._table.get(name)

    def take(self, name: str, kind: type[T], least: int | None = None, most: int | None = None) -> T:
        """Return the field `name`; raise InvalidMessage unless it is of type `kind` and within bounds."""
        try:
            value: T = need(self._table, name, kind, PATH, least=least, most=most)
        except InvalidInput as error:
            raise self.error(error.reason) from None
        return value

    def object(self, name: str) -> MessageFields:
        """Return the fields of the object in the field `name`."""
        return MessageFields(self.take(name, dict), f"{self._name}.{name}", self._peer)

    def objects(self, name: str) -> Iterator[tuple[str, MessageFields]]:
        """Yield the key and the fields of each object that the object in the field `name` contains."""
        parent = self.object(name)
        for key in parent.names():
            yield key, parent.object(key)

    def names(self) -> list[str]:
        """Return the names of all fields."""
        return list(self._table)

    def tuple_fields(self, name: str, names: tuple[str, ...], expected: str) -> MessageFields:
        """Return the items of the list in the field `name` as fields called `names`.

        `expected` says in errors what the list must be.
        """
        items = self.take(name, list)
        if len(items) != len(names):
            raise self.error(f"{name} is no {expected}")
        return MessageFields(dict(zip(names, items, strict=True)), f"{self._name}.{name}", self._peer)

    def ballot(self, name: str) -> Ballot:
        """Return the ballot in the field `name`."""
        raw = self.take(name, list)
        if len(raw) != 2 or type(raw[0]) is not int or not isinstance(raw[1], str):
            raise self.error(f"{name} is no ballot [count, name]")
        return Ballot(*raw)

    def ballots(self, name: str) -> dict[str, Ballot]:
        """Return the ballots, by key, in the field `name`."""
        parent = self.object(name)
        return {key: parent.ballot(key) for key in parent.names()}

    def incarnations(self) -> dict[str, int]:
        """Return the known incarnations later than the first, by the address of the disk."""
        parent = self.object("lives")
        return {ip: parent.take(ip, int, least=1) for ip in parent.names()}
