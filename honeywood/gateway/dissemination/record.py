"""A record as one program tells it to another, and as a store holds it."""

from dataclasses import dataclass
from typing import Any

from honeywood.gateway.errors import InvalidMessage

PATH = "/news"


def stamp_of(stamp, where, peer=""):
    """A stamp, a list of whole numbers that only rises; raises InvalidMessage that names `where` and peer."""
    if not (isinstance(stamp, list) and stamp and all(type(number) is int for number in stamp)):
        raise InvalidMessage(PATH, f"{where} must be a list of whole numbers", peer)
    return stamp


@dataclass(frozen=True, slots=True)
class Record:
    """What is known under a key; of two with one key the one with the higher stamp counts."""

    key: str
    stamp: list
    value: Any

    def encode(self):
        """As it stands in a message: [key, stamp, value]."""
        return [self.key, self.stamp, self.value]

    @classmethod
    def decode(cls, found, where, peer=""):
        """A record out of a message; raises InvalidMessage that names field and peer."""
        if not (isinstance(found, list) and len(found) == 3 and isinstance(found[0], str)):
            raise InvalidMessage(PATH, f"{where} must be lists of key, stamp and value", peer)
        return cls(found[0], stamp_of(found[1], f"{where}: {found[0]}: stamp", peer), found[2])


@dataclass(frozen=True, slots=True)
class Held:
    """A record on a store without its key, with the count of the store's changes at which it came."""

    stamp: list
    value: Any
    at: int
