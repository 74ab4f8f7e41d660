"""Which records are wanted, and which blocks can hold some: the index, asked before anything is read."""

import xxhash

BITS_AN_ID = 10  # about 1 of 60 blocks is read in vain for an id that is not there
LEAST_BITS = 64
# A text sets three bits, at three parts of one hash of 64 bits, each taken modulo the filter's size.
PART = 21


class Filter:
    """A Bloom filter over texts: says "not there" for certain, "there" with a small chance of error.

    >>> Filter.of({"a", "b"}).may_hold("a"), Filter.of(set()).may_hold("a")
    (True, False)
    """

    def __init__(self, bits, size):
        self.bits, self.size = bits, size

    @classmethod
    def of(cls, texts):
        if not texts:
            return cls(0, 0)
        size = max(LEAST_BITS, (len(texts) * BITS_AN_ID + 7) // 8 * 8)
        held = bytearray(size // 8)
        for text in texts:
            one, two, three = cls.places(text, size)
            held[one >> 3] |= 1 << (one & 7)
            held[two >> 3] |= 1 << (two & 7)
            held[three >> 3] |= 1 << (three & 7)
        return cls(int.from_bytes(held, "little"), size)

    @staticmethod
    def places(text, size):
        found = xxhash.xxh3_64_intdigest(text.encode("utf-8", "surrogateescape"))
        return found % size, (found >> PART) % size, (found >> 2 * PART) % size

    def may_hold(self, text):
        return bool(self.size) and all(self.bits >> at & 1 for at in self.places(text, self.size))

    def packed(self):
        return self.bits.to_bytes(self.size // 8, "little")

    @classmethod
    def unpacked(cls, data):
        return cls(int.from_bytes(data, "little"), 8 * len(data))


class Entry:
    """What the index knows of a block: its number, count of records, first and last time, sources, records by
    kind, methods, servers, builds, least and greatest RPC, and a filter of the ids taken in it."""

    FIELDS = (
        "number",
        "count",
        "first",
        "last",
        "sources",
        "kinds",
        "methods",
        "servers",
        "builds",
        "rpcs",
        "ids",
    )
    __slots__ = FIELDS

    def __init__(self, **given):
        for name in self.FIELDS:
            setattr(self, name, given[name])

    def packed(self):
        return [
            list(map(list, self.kinds.items())) if name == "kinds" else getattr(self, name)
            for name in self.FIELDS
        ]

    @classmethod
    def unpacked(cls, values):
        given = dict(zip(cls.FIELDS, values, strict=False))  # a newer minor may know more of a block
        return cls(**given | {"kinds": {kind: count for kind, count in given["kinds"]}})


class Wanted:
    """Records that are wanted: from `since` until before `until` (tenths of a ms; None: no bound), of these
    methods, servers, builds and kinds (empty: all), of the RPCs with these ids.

    What names no method is not of one method; so for server and build."""

    def __init__(self, since=None, until=None, methods=(), servers=(), builds=(), kinds=(), ids=()):
        self.since, self.until = since, until
        self.methods, self.servers, self.builds = set(methods), set(servers), set(builds)
        self.kinds, self.ids = set(kinds), set(ids)

    def only_times(self):
        return not (self.methods or self.servers or self.builds or self.kinds or self.ids)

    def may_hold(self, entry):
        """Whether a block may hold a wanted record, ids left aside (an id stands in one record of its
        RPC)."""
        return (
            (self.since is None or entry.last >= self.since)
            and (self.until is None or entry.first < self.until)
            and (not self.methods or not self.methods.isdisjoint(entry.methods))
            and (not self.servers or not self.servers.isdisjoint(entry.servers))
            and (not self.builds or not self.builds.isdisjoint(entry.builds))
            and (not self.kinds or not self.kinds.isdisjoint(entry.kinds))
        )

    def whole(self, entry):
        """Whether all of a block's records are wanted: it need not be unpacked."""
        return (
            self.only_times()
            and (self.since is None or entry.first >= self.since)
            and (self.until is None or entry.last < self.until)
        )

    def in_time(self, time):
        return (self.since is None or time >= self.since) and (self.until is None or time < self.until)

    def takes(self, record, kind):
        """Whether one record, of this Kind, is wanted, ids left aside."""

        def fits(wanted, name):
            return not wanted or (name in kind.at and record.values[kind.at[name]] in wanted)

        return (
            self.in_time(record.time)
            and (not self.kinds or record.kind in self.kinds)
            and fits(self.methods, "method")
            and fits(self.servers, "server")
            and fits(self.builds, "build")
        )


def may_take(entry, ids):
    """Whether a block may hold the record that takes an RPC of one of these ids."""
    ids_there = Filter.unpacked(entry.ids)
    return any(ids_there.may_hold(text) for text in ids)


def may_speak(entry, rpcs):
    """Whether a block may hold a record of one of these RPCs, given by (source, number)."""
    return entry.rpcs is not None and any(
        source in entry.sources and entry.rpcs[0] <= rpc <= entry.rpcs[1] for source, rpc in rpcs
    )
