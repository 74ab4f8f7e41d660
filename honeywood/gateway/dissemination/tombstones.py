"""Tombstones of machines that left for good, so that no late copy of their records is taken. Pure.

They are records of their own, shared among controllers: each is a bucket of 64-bit hashes of machine ids,
every hash with a logical clock that rises within its bucket. Merging two buckets keeps the newest
BUCKET_CAPACITY entries of both. Merging is commutative, associative and idempotent, so all controllers
converge, and entries that were evicted from a bucket don't return.
"""

from __future__ import annotations

import struct
from _blake2 import blake2b  # hashlib would load OpenSSL
from binascii import a2b_base64, b2a_base64

from honeywood.gateway.dissemination.keys import RecordKind
from honeywood.gateway.errors import InvalidMessage

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Iterable

PREFIX = RecordKind.TOMBSTONES.prefix
BUCKET_COUNT = 256  # one machine that leaves sends a bucket, at most some 1 KB, to each controller
BUCKET_CAPACITY = 64  # entries
ENTRY = struct.Struct("<QI")  # a machine's hash and its logical clock


def machine_hash(machine_id: str) -> int:
    """The 64-bit hash of a machine's id."""
    return int.from_bytes(blake2b(machine_id.encode(), digest_size=8).digest(), "big")


def bucket_key(machine_id: str) -> str:
    """The key of the bucket that a machine's tombstone is in."""
    return RecordKind.TOMBSTONES.key(f"{machine_hash(machine_id) % BUCKET_COUNT:02x}")


def decode(value: object) -> dict[int, int]:
    """A bucket's logical clocks by hash, from a record's value; raises InvalidMessage."""
    try:
        if not isinstance(value, str):
            raise TypeError(f"argument should be bytes, buffer or ASCII string, not {type(value).__name__!r}")
        return dict(ENTRY.iter_unpack(a2b_base64(value)))
    except (ValueError, TypeError, struct.error) as wrong:
        raise InvalidMessage("news", f"{PREFIX}: {wrong}") from None


def encode(entries: dict[int, int]) -> str:
    """The value of a bucket's record: its newest entries."""
    newest = sorted(entries.items(), key=lambda entry: (entry[1], entry[0]))[-BUCKET_CAPACITY:]
    return b2a_base64(b"".join(ENTRY.pack(*entry) for entry in newest), newline=False).decode()


def add(value: object, machine_id: str) -> str:
    """The bucket `value`, None for an empty one, with one more machine, newer than all others in it."""
    entries = decode(value) if value else {}
    added = machine_hash(machine_id)
    if added not in entries:
        entries[added] = max(entries.values(), default=0) + 1
    return encode(entries)


def merge(value: object, other: object) -> str:
    """The newest entries of two buckets."""
    entries = decode(value)
    for added, clock in decode(other).items():
        entries[added] = max(clock, entries.get(added, 0))
    return encode(entries)


def contains(value: object, machine_id: str) -> bool:
    """Whether a bucket, None for an empty one, has a machine's tombstone.

    It is called for each machine that a store doesn't know, so it searches the bytes and unpacks no entry.
    """
    if not isinstance(value, str):
        return False
    entries, wanted = a2b_base64(value), machine_hash(machine_id).to_bytes(8, "little")
    position = entries.find(wanted)
    while position % ENTRY.size and position >= 0:  # the same bytes across two entries
        position = entries.find(wanted, position + 1)
    return position >= 0


def count(values: Iterable[object]) -> int:
    """How many tombstones these buckets have."""
    return sum(len(decode(value)) for value in values)
