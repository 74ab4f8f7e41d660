"""Records that are too long for one answer, chunk by chunk: whoever is asked next goes on where the last
answer ended, and the whole is taken only if its length and hash are those that were told. Pure."""

import json
from _blake2 import blake2b  # hashlib would bring OpenSSL
from dataclasses import dataclass

from honeywood.gateway.configuration.check import need
from honeywood.gateway.dissemination.record import PATH, Record, stamp_of
from honeywood.gateway.errors import InvalidMessage


def mark(text):
    """A text's hash, 128 bits, by which its chunks belong together."""
    return blake2b(text.encode(), digest_size=16).hexdigest()


@dataclass(frozen=True, slots=True)
class Chunk:
    """The characters of a record's encoded value from `at` on; the whole has `length` of them."""

    key: str
    stamp: list
    mark: str
    length: int
    at: int
    text: str

    def encode(self):
        """As it stands in an answer."""
        return {
            "key": self.key,
            "stamp": self.stamp,
            "mark": self.mark,
            "of": self.length,
            "at": self.at,
            "text": self.text,
        }

    @classmethod
    def decode(cls, table, peer=""):
        """A chunk out of an answer; raises errors.InvalidMessage that names field and peer."""
        where = f"{PATH}: piece"
        return cls(
            need(table, "key", str, where, peer=peer),
            stamp_of(table.get("stamp"), "piece: stamp", peer),
            need(table, "mark", str, where, peer=peer),
            need(table, "of", int, where, least=0, peer=peer),
            need(table, "at", int, where, least=0, peer=peer),
            need(table, "text", str, where, peer=peer),
        )


@dataclass(frozen=True, slots=True)
class Progress:
    """How many characters of which value have been collected."""

    stamp: list
    mark: str
    length: int

    def encode(self):
        """As it stands in an ask: [stamp, mark, characters]."""
        return [self.stamp, self.mark, self.length]

    @classmethod
    def decode(cls, found, peer=""):
        """Progress out of an ask; raises errors.InvalidMessage that names field and peer."""
        if not (isinstance(found, list) and len(found) == 3 and type(found[2]) is int and found[2] >= 0):
            raise InvalidMessage(PATH, "have must be lists of stamp, mark and characters by key", peer)
        return cls(stamp_of(found[0], "have: stamp", peer), found[1], found[2])


def cut(key, stamp, text, marked, at, room):
    """The chunk of `text` from the character `at` on, of at most `room` characters."""
    return Chunk(key, stamp, marked, len(text), at, text[at : at + room])


class ChunkCollector:
    """What has been collected of long records: at most one value a key, the newest that was begun."""

    def __init__(self):
        """Nothing has been begun."""
        self.open = {}

    def have(self):
        """What is said when asking for more: {key: Progress}."""
        return {key: Progress(stamp, marked, len(text)) for key, (stamp, marked, text) in self.open.items()}

    def take(self, chunk):
        """Takes the next chunk; the Record once all are there and whole, else None. Chunks that don't fit
        what is there change nothing, but the first of another value begins anew."""
        held, known, text = self.open.get(chunk.key, (None, None, ""))
        newer = held is None or chunk.stamp > held or (chunk.stamp == held and chunk.mark != known)
        if chunk.at == 0 and newer:
            text = ""
        elif (chunk.stamp, chunk.mark, len(text)) != (held, known, chunk.at):
            return None
        text += chunk.text
        self.open[chunk.key] = chunk.stamp, chunk.mark, text
        if len(text) < chunk.length:
            return None
        del self.open[chunk.key]
        if len(text) > chunk.length or mark(text) != chunk.mark:
            return None
        return Record(chunk.key, chunk.stamp, json.loads(text))
