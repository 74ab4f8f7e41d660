"""Whose request it is: the tenant that holds a client's key, found in flat time in a compact table. Pure.

The table is one run of records, a key's hash and its tenant's number; those whose hashes begin with the same
bits stand together, a few in each such bucket.
"""

from array import array
from collections.abc import Iterable
from dataclasses import dataclass
from itertools import accumulate

from honeywood.gateway.configuration.tenants import HASH_BYTES, Tenant, hash_key

KEY_HEADER, TENANT_HEADER = b"x-api-key", b"x-tenant"  # no client's is passed on where there are tenants
NUMBER_BYTES = 4  # of a tenant's number in a record
RECORD_BYTES = HASH_BYTES + NUMBER_BYTES
BUCKET_KEYS = 4  # records that begin with the same bits, on average
PREFIX_BYTES = 4  # of a hash that bits are taken from
NO_PRIORITY = -1


@dataclass(frozen=True, slots=True)
class TenantMatch:
    """The tenant that holds a key; `priority` is None where the routes' hold."""

    name: bytes
    priority: int | None


@dataclass(frozen=True, slots=True)
class Admission:
    """That a request may be forwarded, for `tenant` where it showed a known key. `has_tenants` says whether
    there were tenants when it came; a configuration that comes while its body is read doesn't change that."""

    tenant: TenantMatch | None = None
    has_tenants: bool = False

    def own_headers(self, headers):
        """The headers that go on to a machine: where there are tenants without the key and whatever the
        client said of tenants, with the name of the tenant that holds the key."""
        if not self.has_tenants:
            return headers
        kept = [one for one in headers if one[0] not in (KEY_HEADER, TENANT_HEADER)]
        return kept if self.tenant is None else [*kept, (TENANT_HEADER, self.tenant.name)]


WITHOUT_TENANTS = Admission()


class TenantTable:
    """The tenants of one configuration by their keys."""

    def __init__(self, tenants: Iterable[Tenant]):
        tenants = tuple(tenants)
        self._names, self._name_ends = bytearray(), array("I")
        for tenant in tenants:
            self._names += tenant.name.encode()
            self._name_ends.append(len(self._names))
        self._priorities = array(
            "i", (NO_PRIORITY if tenant.priority is None else tenant.priority for tenant in tenants)
        )
        self._place_keys(tenants)

    def _place_keys(self, tenants):
        """Counts how many hashes begin with the same bits, then puts each record into its bucket: no list of
        all records stands beside the table meanwhile."""
        keys = sum(len(tenant.key_hashes) for tenant in tenants)
        bits = max(0, (keys // BUCKET_KEYS).bit_length())
        self._shift = 8 * PREFIX_BYTES - bits
        counts = array("I", bytes(array("I").itemsize * ((1 << bits) + 1)))
        for tenant in tenants:
            for one in tenant.key_hashes:
                counts[self._bucket_of(one) + 1] += 1
        self._bucket_starts = array("I", accumulate(counts))
        self._records, free = bytearray(keys * RECORD_BYTES), array("I", self._bucket_starts)
        for number, tenant in enumerate(tenants):
            owner = number.to_bytes(NUMBER_BYTES, "big")
            for one in tenant.key_hashes:
                bucket = self._bucket_of(one)
                at = free[bucket] * RECORD_BYTES
                self._records[at : at + RECORD_BYTES] = one + owner
                free[bucket] += 1

    def _bucket_of(self, one):
        return int.from_bytes(one[:PREFIX_BYTES], "big") >> self._shift

    def find(self, key: bytes) -> TenantMatch | None:
        """The tenant that holds `key`, if any does."""
        return self._find_hash(hash_key(key))

    def _find_hash(self, wanted):
        bucket = self._bucket_of(wanted)
        for number in range(self._bucket_starts[bucket], self._bucket_starts[bucket + 1]):
            at = number * RECORD_BYTES
            if self._records[at : at + HASH_BYTES] == wanted:
                return self._match(int.from_bytes(self._records[at + HASH_BYTES : at + RECORD_BYTES], "big"))
        return None

    def _match(self, number):
        begin = self._name_ends[number - 1] if number else 0
        priority = self._priorities[number]
        name = bytes(self._names[begin : self._name_ends[number]])
        return TenantMatch(name, None if priority == NO_PRIORITY else priority)

    def admit(self, headers: Iterable[tuple[bytes, bytes]], public: bool) -> Admission | None:
        """The Admission of a request by its headers (names in lower case); None where it shows no key, one
        that is not known or more than one, and its route isn't `public`."""
        keys = [value for name, value in headers if name == KEY_HEADER]
        tenant = self.find(keys[0]) if len(keys) == 1 else None
        return Admission(tenant, True) if public or tenant is not None else None
