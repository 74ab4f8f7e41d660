"""Names of machines that left for good, so that nothing of them is taken that comes late. Pure.

They are kept as records among controllers, one a bucket of names: 64-bit hashes, each with a logical clock
that rises within its bucket. Two buckets merge to the newest MOST of both; as that is so in any order and
however often, all controllers come to hold the same, and a bucket that was pruned stays so.
"""

import struct
from _blake2 import blake2b  # hashlib would bring OpenSSL
from binascii import a2b_base64, b2a_base64

from honeywood.gateway.errors import InvalidMessage

PREFIX = "left/"
BUCKETS = 256  # records over which names are spread: a name that is added tells some 1 KB at most
MOST = 64  # names of one bucket, the newest
ENTRY = struct.Struct("<QI")  # a name's hash and its logical clock


def hashed(name):
    """A name's 64-bit hash."""
    return int.from_bytes(blake2b(name.encode(), digest_size=8).digest(), "big")


def key_of(name):
    """The key of the bucket that a name belongs to."""
    return f"{PREFIX}{hashed(name) % BUCKETS:02x}"


def decode(value):
    """A bucket's {hash: logical clock} out of its record's value; raises errors.InvalidMessage."""
    try:
        return dict(ENTRY.iter_unpack(a2b_base64(value)))
    except (ValueError, TypeError, struct.error) as wrong:
        raise InvalidMessage("news", f"{PREFIX}: {wrong}") from None


def encode(entries):
    """The value of a bucket's record: its newest MOST entries."""
    newest = sorted(entries.items(), key=lambda entry: (entry[1], entry[0]))[-MOST:]
    return b2a_base64(b"".join(ENTRY.pack(*entry) for entry in newest), newline=False).decode()


def add(value, name):
    """The bucket `value` (None: empty) with one more name, newer than all others in it."""
    entries = decode(value) if value else {}
    if hashed(name) not in entries:
        entries[hashed(name)] = max(entries.values(), default=0) + 1
    return encode(entries)


def merge(value, other):
    """The newest names of two buckets."""
    entries = decode(value)
    for one, clock in decode(other).items():
        entries[one] = max(clock, entries.get(one, 0))
    return encode(entries)


def holds(value, name):
    """Whether a bucket (None: empty) names `name`; asked for each machine that isn't known, so no entry is
    unpacked."""
    if value is None:
        return False
    entries, wanted = a2b_base64(value), hashed(name).to_bytes(8, "little")
    at = entries.find(wanted)
    while at % ENTRY.size and at >= 0:  # the same bytes across two entries
        at = entries.find(wanted, at + 1)
    return at >= 0


def count(values):
    """How many names these buckets hold."""
    return sum(len(decode(value)) for value in values)
