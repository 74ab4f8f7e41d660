"""What tenants cost a proxy: bytes a key, seconds to build the table, seconds to find a key.

`python benchmarks/tenants.py [COUNT ...]` prints a row for each number of tenants; every second has two keys.
"""

import random
import sys
import time
import tracemalloc

from honeywood.gateway.configuration.tenants import HASH_BYTES, Tenant
from honeywood.gateway.routing.tenant_table import TenantTable

COUNTS = (84, 10_000, 100_000, 790_000)
LOOKUPS = 20_000


def tenants(count, chance):
    """Tenants with random hashes, and some hashes that are held."""
    held = []
    for number in range(count):
        hashes = tuple(chance.randbytes(HASH_BYTES) for _ in range(1 + number % 2))
        if number % max(1, count // 1000) == 0:
            held.append(hashes[0])
        yield Tenant(f"tenant-{number}", hashes, 1)
    KNOWN.extend(held)


KNOWN: list[bytes] = []


def measure(count):
    """One row."""
    chance = random.Random(count)
    KNOWN.clear()
    given = tuple(tenants(count, chance))
    keys = sum(len(tenant.key_hashes) for tenant in given)
    began = time.perf_counter()
    TenantTable(given)
    took_s = time.perf_counter() - began
    tracemalloc.start()  # which slows all that allocates
    table = TenantTable(given)
    size, peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    wanted = [chance.choice(KNOWN) for _ in range(LOOKUPS)]
    began = time.perf_counter()
    for one in wanted:
        table.find_by_hash(one)
    hit_us = (time.perf_counter() - began) / LOOKUPS * 1e6
    shown = [b"%020d" % number for number in range(LOOKUPS)]
    began = time.perf_counter()
    for key in shown:
        table.find(key)
    miss_us = (time.perf_counter() - began) / LOOKUPS * 1e6
    print(
        f"{count:9,} {keys:10,} {size / max(1, keys):12.1f} {peak / 1e6:14.1f}"
        f" {took_s:10.2f} {hit_us:14.2f} {miss_us:18.2f}"
    )


def main():
    """All rows."""
    counts = [int(word) for word in sys.argv[1:]] or COUNTS
    print("  tenants       keys  bytes a key  peak while, MB  build, s  find known, us  hash and miss, us")
    for count in counts:
        measure(count)


if __name__ == "__main__":
    main()
