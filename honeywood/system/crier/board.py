"""A board of notes. A note is a key, a stamp that only rises, and a value; boards that have heard the same
notes in any order, any number of times, are alike. Nothing is ever taken back but by a higher stamp.

Each board counts its own changes, so that whoever asks again is told only what is new since.
"""

PRIVATE = ("beat/", "count/")  # for bourses only
LARGE = ("config",)  # notes that are worth saying which of them one holds, so that they come once


class Board:
    """Notes by key. `life` tells boards apart whose counts began anew."""

    def __init__(self, life, told=lambda key, value: None):
        self.life, self.told, self.notes, self.rev = life, told, {}, 0

    def put(self, key, stamp, value):
        """Takes a note if its stamp is above the one held; whether it did."""
        held = self.notes.get(key)
        if held is not None and held[0] >= stamp:
            return False
        self.rev += 1
        self.notes[key] = stamp, value, self.rev
        self.told(key, value)
        return True

    def get(self, key):
        held = self.notes.get(key)
        return None if held is None else held[1]

    def drop(self, key):
        """Forgets a note that nobody may bring back."""
        self.notes.pop(key, None)

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
        """Notes that one who heard all up to `rev` of `life`, and has `held` from others, has not:
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

    def hear(self, notes):
        """Takes what another told; how many notes were new."""
        return sum([self.put(key, stamp, value) for key, stamp, value in notes])
