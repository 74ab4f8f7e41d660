"""The fields of the register's messages, read and checked one by one. Pure.

Errors name the message, the field and the peer that sent it.
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
"""Of the messages; format 1 carried complete values and named its requests `op`."""


class MessageFields:
    """The fields of one message, or of an object in it."""

    __slots__ = ("_name", "_peer", "_table")

    def __init__(self, table: Mapping[str, JsonValue], name: str, peer: str) -> None:
        """`name` is the message's, for errors; `peer` is the address that sent it."""
        self._table = table
        self._name = name
        self._peer = peer

    def error(self, reason: str) -> InvalidMessage:
        """Return the error to raise about this message."""
        return InvalidMessage(PATH, f"{self._name}: {reason}", self._peer)

    def has(self, name: str) -> bool:
        """Return whether there is a field `name` that isn't null."""
        return self.get(name) is not None

    def require(self, name: str) -> None:
        """Raise the message's error where there is no field `name`; it may be null."""
        if name not in self._table:
            raise self.error(f"{name} is missing")

    def get(self, name: str) -> JsonValue:
        """Return the field `name` unchecked, None where it is missing."""
        return self._table.get(name)

    def take(self, name: str, kind: type[T], least: int | None = None, most: int | None = None) -> T:
        """Return the field `name`, which must be of type `kind` and within the bounds given."""
        try:
            value: T = need(self._table, name, kind, PATH, least=least, most=most)
        except InvalidInput as error:
            raise self.error(error.reason) from None
        return value

    def object(self, name: str) -> MessageFields:
        """Return the fields of the object under `name`."""
        return MessageFields(self.take(name, dict), f"{self._name}.{name}", self._peer)

    def objects(self, name: str) -> Iterator[tuple[str, MessageFields]]:
        """Yield the key and the fields of each object in the object under `name`."""
        parent = self.object(name)
        for key in parent.names():
            yield key, parent.object(key)

    def names(self) -> list[str]:
        """Return the names of all fields."""
        return list(self._table)

    def tuple_fields(self, name: str, names: tuple[str, ...], what: str) -> MessageFields:
        """Return the list under `name` as fields, one a name; `what` names in errors what it must be."""
        items = self.take(name, list)
        if len(items) != len(names):
            raise self.error(f"{name} is no {what}")
        return MessageFields(dict(zip(names, items, strict=True)), f"{self._name}.{name}", self._peer)

    def ballot(self, name: str) -> Ballot:
        """Return the ballot under `name`."""
        raw = self.take(name, list)
        if len(raw) != 2 or type(raw[0]) is not int or not isinstance(raw[1], str):
            raise self.error(f"{name} is no ballot [count, name]")
        return Ballot(*raw)

    def ballots(self, name: str) -> dict[str, Ballot]:
        """Return the ballots by key under `name`."""
        parent = self.object(name)
        return {key: parent.ballot(key) for key in parent.names()}

    def incarnations(self) -> dict[str, int]:
        """Return the latest known incarnation of each disk that was lost, by its address."""
        parent = self.object("lives")
        return {ip: parent.take(ip, int, least=1) for ip in parent.names()}
