"""A store of notes. A note is a key, a stamp that only rises, and a value; stores that have heard the same
notes in any order, any number of times, are alike. Nothing is ever taken back but by a higher stamp.

Each store counts its own changes, so that whoever asks again is told only what is new since; its digest
tells two stores apart that have heard the same from different sides.
"""

import json
from _blake2 import blake2b  # hashlib would bring OpenSSL

from honeywood.gateway.dissemination import departed, epochs
from honeywood.gateway.dissemination.chunk import cut, mark
from honeywood.gateway.dissemination.history import over

DOUBTED = [-1]  # the stamp of what may be out of date: below all others
LIVES = ("machine/", "beat/")  # notes of lives that end and are forgotten
PRIVATE = ("beat/", "count/", "fleet/", departed.PREFIX)  # for controllers only
LARGE = ("config",)  # notes that are worth saying which of them one holds, so that they come once
PAST = 3  # earlier values of a large note, for those who have begun to collect one
ROOM = 1024  # bytes of an answer that are worth a piece


def encoded(key, stamp, value):
    return json.dumps([key, stamp, value], separators=(",", ":"))


class Store:
    """Records by key. `life` tells stores apart whose counts began anew; `needed(store, key, value)` says
    whether a record that has lapsed must still stay."""

    def __init__(self, life, told=lambda key, value: None, needed=lambda store, key, value: False):
        self.life, self.told, self.needed, self.notes, self.rev = life, told, needed, {}, 0
        self.digest, self.sizes, self.past = 0, {}, {}
        self.epoch, self.pruned = 0, 0  # the epoch heard; that in which all that had lapsed was dropped

    def put(self, key, stamp, value):
        """Takes a note if its stamp is above the one held; whether it did."""
        if key.startswith(departed.PREFIX):
            return self._merge(key, stamp, value)
        told_in = epochs.told_in(key, stamp)
        if told_in is not None:
            self.learn(told_in)
            if self._lapsed(key, stamp, value):
                return False
            if epochs.lapsed(told_in, self.epoch):
                self.pruned = None  # needed still: looked at again until it isn't
        held = self.notes.get(key)
        if held is not None and held[0] >= stamp and not self._outlived(key, held[0], told_in):
            return False
        if held is None and key.startswith(LIVES) and self.has_departed(key.partition("/")[2]):
            return False
        self._take(key, stamp, value)
        return True

    def _take(self, key, stamp, value):
        self.rev += 1
        self._sum(key)
        self.notes[key] = stamp, value, self.rev
        self._sum(key)
        if key in LARGE:
            text = json.dumps(value)
            self.past[key] = [*self.past.get(key, ()), (stamp, text, mark(text))][-PAST:]
        self.told(key, value)

    # what lapses
    def learn(self, epoch):
        """Somebody is in `epoch`."""
        self.epoch = max(self.epoch, epoch)

    def _lapsed(self, key, stamp, value):
        """Whether a record has lapsed and is needed no more."""
        return epochs.lapsed(epochs.told_in(key, stamp), self.epoch) and not self.needed(self, key, value)

    @staticmethod
    def _outlived(key, stamp, told_in):
        """Whether a record held with `stamp` has lapsed in the epoch of another of its key, whatever their
        incarnations say: the owner's clock may have been set back meanwhile."""
        return told_in is not None and epochs.lapsed(epochs.told_in(key, stamp), told_in)

    def prune(self):
        """Drops what has lapsed; the keys that were dropped. Costs nothing while the epoch stands and none is
        kept that is needed."""
        if self.pruned == self.epoch:
            return []
        found = [
            (key, self._lapsed(key, stamp, value))
            for key, (stamp, value, _) in self.notes.items()
            if epochs.lapsed(epochs.told_in(key, stamp), self.epoch)
        ]
        dropped = [key for key, droppable in found if droppable]
        for key in dropped:
            self.drop(key)
        self.pruned = self.epoch if len(dropped) == len(found) else None
        return dropped

    # names that left
    def _merge(self, key, stamp, value):
        """Takes what another bucket of names that left has beside the one held."""
        held = self.notes.get(key)
        merged = departed.merge(held[1], value) if held else departed.merge(value, value)
        if held is not None and merged == held[1]:
            return False
        above = max(held[0], stamp) if held else stamp
        self._take(key, stamp if merged == value and above == stamp else [above[0] + 1], merged)
        return True

    def has_departed(self, name):
        """Whether a machine left for good, as far as is remembered."""
        return departed.holds(self.get(departed.key_of(name)), name)

    @property
    def departed(self):
        """How many names that left are remembered."""
        return departed.count(value for _, value in self.under(departed.PREFIX))

    def get(self, key):
        held = self.notes.get(key)
        return None if held is None else held[1]

    def drop(self, key):
        """Forgets a note; whoever tells it brings it back."""
        self._sum(key)
        self.notes.pop(key, None)
        self.sizes.pop(key, None)

    def _sum(self, key):
        """Puts a note that everybody may hear into the digest, or takes it out: stores that hold the same
        notes with the same stamps have the same, whatever came first. Lives that are over are left out: each
        store forgets them in its own time."""
        if key in self.notes and not key.startswith(PRIVATE) and not over(self.notes[key][1]):
            named = f"{key}|{self.notes[key][0]}".encode()
            self.digest ^= int.from_bytes(blake2b(named, digest_size=8).digest(), "big")

    def size(self, key):
        """The bytes of a note in an answer."""
        stamp, value, at = self.notes[key]
        if self.sizes.get(key, (0,))[0] != at:
            self.sizes[key] = at, len(encoded(key, stamp, value))
        return self.sizes[key][1]

    def forget(self, name, for_good):
        """Forgets the notes of a life; for good: none of it is taken any more, however late it comes."""
        for kind in LIVES:
            self.drop(kind + name)
        if for_good and not self.has_departed(name):
            key = departed.key_of(name)
            held = self.notes.get(key)
            self._take(key, [held[0][0] + 1 if held else 1], departed.add(held[1] if held else None, name))

    def doubt(self, prefix):
        """Takes what is held under `prefix` for doubtful: whoever tells it next confirms it."""
        for key, (_, value, at) in list(self.notes.items()):
            if key.startswith(prefix):
                self._sum(key)
                self.notes[key] = DOUBTED, value, at
                self._sum(key)

    def doubted(self, prefix):
        """The keys under `prefix` that nobody has told since they were doubted."""
        return [key for key in self.notes if key.startswith(prefix) and self.notes[key][0] is DOUBTED]

    def under(self, prefix):
        """The keys and values of notes whose keys begin so."""
        return [(key, value) for key, (_, value, _) in self.notes.items() if key.startswith(prefix)]

    def heard(self, prefix):
        """The same with the order in which they were heard: (key, value, a number that rises)."""
        return [(key, value, at) for key, (_, value, at) in self.notes.items() if key.startswith(prefix)]

    def held(self):
        """The stamps of the large notes here."""
        return {key: self.notes[key][0] for key in LARGE if key in self.notes}

    def since(self, life, rev, private, held=None):
        """MachineRecords that one who heard all up to `rev` of `life`, and has `held` from others, has not:
        [(key, stamp, value)]."""
        start = rev if life == self.life else 0
        if start >= self.rev:
            return []
        found = sorted(
            (at, key, stamp, value)
            for key, (stamp, value, at) in self.notes.items()
            if at > start and (private or not key.startswith(PRIVATE))
            if not (held and key in held and held[key] >= stamp)
        )
        return [(key, stamp, value) for _, key, stamp, value in found]

    def tell(self, found, most, have=None):
        """Of what `since` found as much as `most` bytes hold: (notes, a piece of one that is too long or
        None, the count of changes up to which that is all). `have` says what of which long note the one who
        asks has collected: {key: (stamp, mark, characters)}."""
        notes, room = [], most
        for key, stamp, value in found:
            size, before = self.size(key), self.notes[key][2] - 1
            if size <= room:
                notes.append((key, stamp, value))
                room -= size
            elif size > most and key in self.past and room >= min(ROOM, most):
                return notes, self._piece(key, room, (have or {}).get(key)), before
            elif notes or size <= most:
                return notes, None, before
            else:  # one that can't be cut goes alone
                return [(key, stamp, value)], None, before + 1
        return notes, None, self.rev

    def _piece(self, key, room, have):
        """The next piece of the value that is being collected, if it is known still, else of the newest."""
        for stamp, text, marked in self.past[key]:
            if have and [stamp, marked] == have[:2]:
                return {"key": key, "stamp": stamp, **cut(text, marked, have[2], room)}
        stamp, text, marked = self.past[key][-1]
        return {"key": key, "stamp": stamp, **cut(text, marked, 0, room)}

    def hear(self, notes):
        """Takes what another told; how many notes were new."""
        return sum([self.put(key, stamp, value) for key, stamp, value in notes])
