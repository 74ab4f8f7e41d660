"""MachineRecords that are too long for one answer, piece by piece: whoever is asked next goes on where the
last answer ended, and the whole is taken only if its length and mark are those that were told. Pure."""

import json
from _blake2 import blake2b  # hashlib would bring OpenSSL


def mark(text):
    """A text's hash, 128 bits, by which its pieces belong together."""
    return blake2b(text.encode(), digest_size=16).hexdigest()


def cut(text, marked, at, room):
    """The piece of `text` from the character `at` on, of at most `room` characters."""
    return {"mark": marked, "of": len(text), "at": at, "text": text[at : at + room]}


class ChunkCollector:
    """What has been collected of long notes: at most one value a key, the newest that was begun."""

    def __init__(self):
        self.open = {}

    def have(self):
        """What is said when asking for more: {key: [stamp, mark, characters]}."""
        return {key: [stamp, marked, len(text)] for key, (stamp, marked, text) in self.open.items()}

    def take(self, piece):
        """Takes the next piece; (key, stamp, value) once all are there and whole, else None. ChunkCollector
        that don't fit what is there change nothing, but the first of another value begins anew."""
        key, stamp, marked = piece["key"], piece["stamp"], piece["mark"]
        held, known, text = self.open.get(key, (None, None, ""))
        if piece["at"] == 0 and (held is None or stamp > held or (stamp == held and marked != known)):
            text = ""
        elif [stamp, marked, len(text)] != [held, known, piece["at"]]:
            return None
        text += piece["text"]
        self.open[key] = stamp, marked, text
        if len(text) < piece["of"]:
            return None
        del self.open[key]
        if len(text) > piece["of"] or mark(text) != marked:
            return None
        return key, stamp, json.loads(text)
