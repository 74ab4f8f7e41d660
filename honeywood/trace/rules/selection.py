"""Selects records, and the blocks that may contain them, by the index before a block is read."""

import xxhash

BITS_PER_ID = 10  # about 1 in 60 blocks is read needlessly for an absent id
MIN_FILTER_BITS = 64
# A text sets three bits: at three parts of one 64-bit hash, each modulo the filter's size.
HASH_PART_BITS = 21


class BloomFilter:
    """A Bloom filter over texts, without false negatives and with few false positives.

    >>> BloomFilter.of({"a", "b"}).may_contain("a"), BloomFilter.of(set()).may_contain("a")
    (True, False)
    """

    def __init__(self, bits, size):
        self.bits, self.size = bits, size

    @classmethod
    def of(cls, texts):
        if not texts:
            return cls(0, 0)
        size = max(MIN_FILTER_BITS, (len(texts) * BITS_PER_ID + 7) // 8 * 8)
        bitmap = bytearray(size // 8)
        for text in texts:
            first, second, third = cls.bit_positions(text, size)
            bitmap[first >> 3] |= 1 << (first & 7)
            bitmap[second >> 3] |= 1 << (second & 7)
            bitmap[third >> 3] |= 1 << (third & 7)
        return cls(int.from_bytes(bitmap, "little"), size)

    @staticmethod
    def bit_positions(text, size):
        text_hash = xxhash.xxh3_64_intdigest(text.encode("utf-8", "surrogateescape"))
        return (
            text_hash % size,
            (text_hash >> HASH_PART_BITS) % size,
            (text_hash >> 2 * HASH_PART_BITS) % size,
        )

    def may_contain(self, text):
        return bool(self.size) and all(
            self.bits >> position & 1 for position in self.bit_positions(text, self.size)
        )

    def packed(self):
        return self.bits.to_bytes(self.size // 8, "little")

    @classmethod
    def unpacked(cls, data):
        return cls(int.from_bytes(data, "little"), 8 * len(data))


class IndexEntry:
    """The index entry of a block.

    It has the block's number, count of records, first and last time, sources, counts of records by kind,
    methods, servers, builds, lowest and highest RPC number, and a Bloom filter of the ids that arrived in it.
    """

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

    def __init__(self, **fields):
        for name in self.FIELDS:
            setattr(self, name, fields[name])

    def packed(self):
        return [
            list(map(list, self.kinds.items())) if name == "kinds" else getattr(self, name)
            for name in self.FIELDS
        ]

    @classmethod
    def unpacked(cls, values):
        fields = dict(zip(cls.FIELDS, values, strict=False))  # a newer minor version may add fields
        return cls(**fields | {"kinds": {kind: count for kind, count in fields["kinds"]}})


class RecordFilter:
    """Selects records by time, method, server, build, kind and RPC id.

    Times are from `since` to before `until` in tenths of a ms, None for no bound; an empty collection selects
    all. A record without a method does not match a filter by method; likewise for servers and builds.
    """

    def __init__(self, since=None, until=None, methods=(), servers=(), builds=(), kinds=(), ids=()):
        self.since, self.until = since, until
        self.methods, self.servers, self.builds = set(methods), set(servers), set(builds)
        self.kinds, self.ids = set(kinds), set(ids)

    def selects_by_time_only(self):
        return not (self.methods or self.servers or self.builds or self.kinds or self.ids)

    def may_contain(self, entry):
        """Whether a block may contain a matching record.

        Ids are not considered, since an id is in only one record of its RPC.
        """
        return (
            (self.since is None or entry.last >= self.since)
            and (self.until is None or entry.first < self.until)
            and (not self.methods or not self.methods.isdisjoint(entry.methods))
            and (not self.servers or not self.servers.isdisjoint(entry.servers))
            and (not self.builds or not self.builds.isdisjoint(entry.builds))
            and (not self.kinds or not self.kinds.isdisjoint(entry.kinds))
        )

    def matches_all(self, entry):
        """Whether all records of a block match: it need not be decompressed."""
        return (
            self.selects_by_time_only()
            and (self.since is None or entry.first >= self.since)
            and (self.until is None or entry.last < self.until)
        )

    def in_time_range(self, time):
        return (self.since is None or time >= self.since) and (self.until is None or time < self.until)

    def matches(self, record, kind):
        """Whether a record of this Kind matches; ids are not considered."""

        def field_matches(selected, name):
            return not selected or (
                name in kind.positions and record.values[kind.positions[name]] in selected
            )

        return (
            self.in_time_range(record.time)
            and (not self.kinds or record.kind in self.kinds)
            and field_matches(self.methods, "method")
            and field_matches(self.servers, "server")
            and field_matches(self.builds, "build")
        )


def may_contain_arrival(entry, ids):
    """Whether a block may contain the arrival of an RPC with one of these ids."""
    block_ids = BloomFilter.unpacked(entry.ids)
    return any(block_ids.may_contain(text) for text in ids)


def may_contain_rpcs(entry, rpcs):
    """Whether a block may contain a record of one of these RPCs, given as (source, number)."""
    return entry.rpcs is not None and any(
        source in entry.sources and entry.rpcs[0] <= rpc <= entry.rpcs[1] for source, rpc in rpcs
    )
