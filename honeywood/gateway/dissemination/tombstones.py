"""Tombstones of machines that left permanently, so that no late copy of their records is accepted.

They are kept in separate records, which controllers share. Each record is a bucket of 64-bit hashes of
machine ids; each hash has a logical clock, which increases within the bucket. Merging two buckets keeps the
newest BUCKET_CAPACITY entries of both. Merging is commutative, associative and idempotent, so all controllers
converge, and entries that were evicted from a bucket do not return. This module performs no I/O.
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
BUCKET_COUNT = 256  # for each machine that leaves, one bucket (1 KB at most) is sent to each controller
BUCKET_CAPACITY = 64  # entries
ENTRY = struct.Struct("<QI")  # the hash of a machine's id, and its logical clock


def machine_hash(machine_id: str) -> int:
    """Returns the 64-bit hash of a machine's id."""
    return int.from_bytes(blake2b(machine_id.encode(), digest_size=8).digest(), "big")


def bucket_key(machine_id: str) -> str:
    """Returns the key of the bucket for a machine's tombstone."""
    return RecordKind.TOMBSTONES.key(f"{machine_hash(machine_id) % BUCKET_COUNT:02x}")


def decode(value: object) -> dict[int, int]:
    """Decodes the value of a bucket's record into logical clocks by hash; raises InvalidMessage."""
    try:
        if not isinstance(value, str):
            raise TypeError(f"argument should be bytes, buffer or ASCII string, not {type(value).__name__!r}")
        return dict(ENTRY.iter_unpack(a2b_base64(value)))
    except (ValueError, TypeError, struct.error) as error:
        raise InvalidMessage("news", f"{PREFIX}: {error}") from None


def encode(entries: dict[int, int]) -> str:
    """Returns the value of a bucket's record, with its newest BUCKET_CAPACITY entries."""
    newest = sorted(entries.items(), key=lambda entry: (entry[1], entry[0]))[-BUCKET_CAPACITY:]
    return b2a_base64(b"".join(ENTRY.pack(*entry) for entry in newest), newline=False).decode()


def add(value: object, machine_id: str) -> str:
    """Returns the bucket `value`, None if empty, with a machine added as newest entry if it is missing."""
    entries = decode(value) if value else {}
    new_hash = machine_hash(machine_id)
    if new_hash not in entries:
        entries[new_hash] = max(entries.values(), default=0) + 1
    return encode(entries)


def merge(value: object, other: object) -> str:
    """Returns a bucket with the newest entries of two buckets."""
    entries = decode(value)
    for entry_hash, clock in decode(other).items():
        entries[entry_hash] = max(clock, entries.get(entry_hash, 0))
    return encode(entries)


def contains(value: object, machine_id: str) -> bool:
    """Whether the bucket `value`, None if empty, contains a machine's tombstone.

    It is called for each machine that a store does not know, so it searches the bytes instead of unpacking
    the entries.
    """
    if not isinstance(value, str):
        return False
    entries, wanted = a2b_base64(value), machine_hash(machine_id).to_bytes(8, "little")
    position = entries.find(wanted)
    while position % ENTRY.size and position >= 0:  # the same bytes, but across two entries
        position = entries.find(wanted, position + 1)
    return position >= 0


def count(values: Iterable[object]) -> int:
    """Returns the number of tombstones in these buckets."""
    return sum(len(decode(value)) for value in values)
