"""Tenant lookup by API key, in constant time, in a compact table.

The table is one array of records. A record is a key's hash and the number of its tenant. Records are grouped
into buckets by the first bits of the hash, with a few records per bucket. Keys are stored as hashes only.
"""

from __future__ import annotations

from array import array
from itertools import accumulate

from honeywood.gateway.configuration.tenants import HASH_BYTES, hash_key
from honeywood.gateway.routing.admission import Admission, TenantMatch, api_keys

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Iterable

    from honeywood.gateway.configuration.tenants import Tenant

TENANT_NUMBER_BYTES = 4  # size of a tenant's number in a record
RECORD_BYTES = HASH_BYTES + TENANT_NUMBER_BYTES
RECORDS_PER_BUCKET = 4  # on average
PREFIX_BYTES = 4  # start of a hash, whose first bits are the number of its bucket
NO_PRIORITY = -1  # stands for None in the array of priorities


class TenantTable:
    """The tenants of one configuration version, by key."""

    def __init__(self, tenants: Iterable[Tenant]) -> None:
        """Builds the table in place."""
        tenants = tuple(tenants)
        self._names = bytearray()
        self._name_ends = array("I")
        for tenant in tenants:
            self._names += tenant.name.encode()
            self._name_ends.append(len(self._names))
        self._priorities = array(
            "i", (NO_PRIORITY if tenant.priority is None else tenant.priority for tenant in tenants)
        )
        self._index_keys(tenants)

    def _index_keys(self, tenants: tuple[Tenant, ...]) -> None:
        """Counts the records of each bucket, then writes every record into its bucket.

        It takes two passes so that no list of all records is held beside the table.
        """
        key_count = sum(len(tenant.key_hashes) for tenant in tenants)
        bits = max(0, (key_count // RECORDS_PER_BUCKET).bit_length())
        self._shift = 8 * PREFIX_BYTES - bits
        self._bucket_starts = self._count_buckets(tenants, 1 << bits)
        self._records = bytearray(key_count * RECORD_BYTES)
        free = array("I", self._bucket_starts)
        for number, tenant in enumerate(tenants):
            number_bytes = number.to_bytes(TENANT_NUMBER_BYTES, "big")
            for key_hash in tenant.key_hashes:
                bucket = self._bucket_of(key_hash)
                offset = free[bucket] * RECORD_BYTES
                self._records[offset : offset + RECORD_BYTES] = key_hash + number_bytes
                free[bucket] += 1

    def _count_buckets(self, tenants: tuple[Tenant, ...], buckets: int) -> array[int]:
        """The index of each bucket's first record, followed by the end of the last bucket."""
        counts = array("I", bytes(array("I").itemsize * (buckets + 1)))
        for tenant in tenants:
            for key_hash in tenant.key_hashes:
                counts[self._bucket_of(key_hash) + 1] += 1
        return array("I", accumulate(counts))

    def _bucket_of(self, key_hash: bytes) -> int:
        return int.from_bytes(key_hash[:PREFIX_BYTES], "big") >> self._shift

    def find(self, key: bytes) -> TenantMatch | None:
        """The tenant that `key` belongs to, if any."""
        return self.find_by_hash(hash_key(key))

    def find_by_hash(self, key_hash: bytes) -> TenantMatch | None:
        """The tenant that the key with this hash belongs to, if any."""
        bucket = self._bucket_of(key_hash)
        for index in range(self._bucket_starts[bucket], self._bucket_starts[bucket + 1]):
            offset = index * RECORD_BYTES
            number_offset = offset + HASH_BYTES
            if self._records[offset:number_offset] == key_hash:
                number_bytes = self._records[number_offset : offset + RECORD_BYTES]
                return self._match(int.from_bytes(number_bytes, "big"))
        return None

    def _match(self, number: int) -> TenantMatch:
        start = self._name_ends[number - 1] if number else 0
        name = bytes(self._names[start : self._name_ends[number]])
        priority = self._priorities[number]
        return TenantMatch(name, None if priority == NO_PRIORITY else priority)

    def admit(self, headers: Iterable[tuple[bytes, bytes]], public: bool) -> Admission | None:
        """The Admission of a request by its headers, whose names must be in lower case.

        Returns None if the route isn't `public` and the request has no key, an unknown one or several.
        """
        keys = api_keys(headers)
        tenant = self.find(keys[0]) if len(keys) == 1 else None
        return Admission(tenant, has_tenants=True) if public or tenant is not None else None
