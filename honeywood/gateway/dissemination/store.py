"""A store of records. A record is a key, a stamp that only rises, and a value; stores that have heard the
same records in any order, any number of times, are alike. Nothing is ever taken back but by a higher stamp.

Each store counts its own changes, so that whoever asks again is told only what is new since; its digest
tells two stores apart that have heard the same from different sides.
"""

import json
from _blake2 import blake2b  # hashlib would bring OpenSSL

from honeywood.gateway.dissemination import epochs, tombstones
from honeywood.gateway.dissemination.chunk import cut, mark
from honeywood.gateway.dissemination.retired_machines import is_retired
from honeywood.gateway.dissemination.record import Held, Record

DOUBTED = [-1]  # the stamp of what may be out of date: below all others
LIVES = ("machine/", "beat/")  # records of machines' lives, which end and are forgotten
PRIVATE = ("beat/", "count/", "fleet/", tombstones.PREFIX)  # for controllers only
LARGE = ("config",)  # records that are worth saying which of them one holds, so that they come once
EARLIER = 3  # values of a large record that are kept, for those who have begun to collect one
ROOM = 1024  # bytes of an answer that are worth a chunk


def encoded(record):
    """A record as it stands in an answer."""
    return json.dumps(record.encode(), separators=(",", ":"))


class Store:
    """Records by key. `life` tells stores apart whose counts began anew; `told(key, value)` hears of each
    record that is taken; `needed(store, key, value)` says whether one that has lapsed must still stay."""

    def __init__(self, life, told=lambda key, value: None, needed=lambda store, key, value: False):
        """Nothing is held."""
        self.life, self.told, self.needed, self.records, self.rev = life, told, needed, {}, 0
        self.digest, self.sizes, self.earlier = 0, {}, {}
        self.epoch, self.pruned = 0, 0  # the epoch heard; that in which all that had lapsed was dropped

    # taking records
    def put(self, key, stamp, value):
        """Takes a record if its stamp is above the one held; whether it did."""
        if key.startswith(tombstones.PREFIX):
            return self._merge(key, stamp, value)
        published = epochs.published_in(key, stamp)
        if published is not None:
            self.learn(published)
            if self._lapsed(key, stamp, value):
                return False
            if epochs.is_expired(published, self.epoch):
                self.pruned = None  # needed still: looked at again until it isn't
        held = self.records.get(key)
        if held is not None and held.stamp >= stamp and not self._outlived(key, held.stamp, published):
            return False
        if held is None and key.startswith(LIVES) and self.has_departed(key.partition("/")[2]):
            return False
        self._take(key, stamp, value)
        return True

    def hear(self, records):
        """Takes the Records that another told; how many were new."""
        return sum([self.put(record.key, record.stamp, record.value) for record in records])

    def _take(self, key, stamp, value):
        self.rev += 1
        self._sum(key)
        self.records[key] = Held(stamp, value, self.rev)
        self._sum(key)
        if key in LARGE:
            text = json.dumps(value)
            self.earlier[key] = [*self.earlier.get(key, ()), (stamp, text, mark(text))][-EARLIER:]
        self.told(key, value)

    def _sum(self, key):
        """Puts a record that everybody may hear into the digest, or takes it out: stores that hold the same
        records with the same stamps have the same, whatever came first. Lives that are over are left out:
        each store forgets them in its own time."""
        if key in self.records and not key.startswith(PRIVATE) and not is_retired(self.records[key].value):
            named = f"{key}|{self.records[key].stamp}".encode()
            self.digest ^= int.from_bytes(blake2b(named, digest_size=8).digest(), "big")

    # dropping them
    def drop(self, key):
        """Forgets a record; whoever tells it brings it back."""
        self._sum(key)
        self.records.pop(key, None)
        self.sizes.pop(key, None)

    def learn(self, epoch):
        """Somebody is in `epoch`."""
        self.epoch = max(self.epoch, epoch)

    def _lapsed(self, key, stamp, value):
        """Whether a record has lapsed and is needed no more."""
        return epochs.is_expired(epochs.published_in(key, stamp), self.epoch) and not self.needed(
            self, key, value
        )

    @staticmethod
    def _outlived(key, stamp, published):
        """Whether a record held with `stamp` has lapsed in the epoch of another of its key, whatever their
        incarnations say: the owner's clock may have been set back meanwhile."""
        return published is not None and epochs.is_expired(epochs.published_in(key, stamp), published)

    def prune(self):
        """Drops what has lapsed; the keys that were dropped. Costs nothing while the epoch stands and none is
        kept that is needed."""
        if self.pruned == self.epoch:
            return []
        lapsed = [
            key
            for key, held in self.records.items()
            if epochs.is_expired(epochs.published_in(key, held.stamp), self.epoch)
        ]
        dropped = [key for key in lapsed if not self.needed(self, key, self.records[key].value)]
        for key in dropped:
            self.drop(key)
        self.pruned = self.epoch if len(dropped) == len(lapsed) else None
        return dropped

    def forget(self, name, for_good):
        """Forgets a machine's records; for good: none of it is taken any more, however late it comes."""
        for kind in LIVES:
            self.drop(kind + name)
        if for_good and not self.has_departed(name):
            key = tombstones.bucket_key(name)
            held = self.records.get(key)
            if held is None:
                self._take(key, [1], tombstones.add(None, name))
            else:
                self._take(key, [held.stamp[0] + 1], tombstones.add(held.value, name))

    def _merge(self, key, stamp, value):
        """Takes what another bucket of names that left has beside the one held."""
        held = self.records.get(key)
        if held is None:
            self._take(key, stamp, tombstones.merge(value, value))
            return True
        merged = tombstones.merge(held.value, value)
        if merged == held.value:
            return False
        above = stamp if merged == value and stamp > held.stamp else [max(held.stamp, stamp)[0] + 1]
        self._take(key, above, merged)
        return True

    def has_departed(self, name):
        """Whether a machine left for good, as far as is remembered."""
        return tombstones.contains(self.get(tombstones.bucket_key(name)), name)

    @property
    def departed(self):
        """How many names that left are remembered."""
        return tombstones.count(value for _, value in self.under(tombstones.PREFIX))

    def doubt(self, prefix):
        """Takes what is held under `prefix` for doubtful: whoever tells it next confirms it."""
        for key, held in list(self.records.items()):
            if key.startswith(prefix):
                self._sum(key)
                self.records[key] = Held(DOUBTED, held.value, held.at)
                self._sum(key)

    def doubted(self, prefix):
        """The keys under `prefix` that nobody has told since they were doubted."""
        return [key for key, held in self.records.items() if key.startswith(prefix) and held.stamp is DOUBTED]

    # reading them
    def get(self, key):
        """The value under a key, or None."""
        held = self.records.get(key)
        return None if held is None else held.value

    def stamp(self, key):
        """The stamp of the record under a key, or None."""
        held = self.records.get(key)
        return None if held is None else held.stamp

    def under(self, prefix):
        """The keys and values of records whose keys begin so."""
        return [(key, held.value) for key, held in self.records.items() if key.startswith(prefix)]

    def heard(self, prefix):
        """The same with the order in which they were heard: (key, value, a number that rises)."""
        return [(key, held.value, held.at) for key, held in self.records.items() if key.startswith(prefix)]

    def held(self):
        """The stamps of the large records here."""
        return {key: self.records[key].stamp for key in LARGE if key in self.records}

    # telling others
    def size(self, key):
        """The bytes of a record in an answer."""
        held = self.records[key]
        if self.sizes.get(key, (0,))[0] != held.at:
            self.sizes[key] = held.at, len(encoded(Record(key, held.stamp, held.value)))
        return self.sizes[key][1]

    def since(self, life, rev, private, held=None):
        """The Records that one who heard all up to `rev` of `life`, and has `held` from others, has not, in
        the order in which they came; `private`: those for controllers only as well."""
        start, known = rev if life == self.life else 0, held or {}
        if start >= self.rev:
            return []
        found = [
            (one.at, key)
            for key, one in self.records.items()
            if one.at > start and (private or not key.startswith(PRIVATE))
            if not (key in known and known[key] >= one.stamp)
        ]
        return [Record(key, self.records[key].stamp, self.records[key].value) for _, key in sorted(found)]

    def tell(self, found, most, have=None):
        """Of what `since` found as much as `most` bytes hold: (Records, a Chunk of one that is too long or
        None, the count of changes up to which that is all). `have` says what of which long record the one who
        asks has collected: {key: Progress}."""
        records, room = [], most
        for record in found:
            key, size, before = record.key, self.size(record.key), self.records[record.key].at - 1
            if size <= room:
                records.append(record)
                room -= size
            elif size > most and key in self.earlier and room >= min(ROOM, most):
                return records, self._chunk(key, room, (have or {}).get(key)), before
            elif records or size <= most:
                return records, None, before
            else:  # one that can't be cut goes alone
                return [record], None, before + 1
        return records, None, self.rev

    def _chunk(self, key, room, have):
        """The next chunk of the value that is being collected, if it is known still, else of the newest."""
        for stamp, text, marked in self.earlier[key]:
            if have and (stamp, marked) == (have.stamp, have.mark):
                return cut(key, stamp, text, marked, have.length, room)
        stamp, text, marked = self.earlier[key][-1]
        return cut(key, stamp, text, marked, 0, room)
