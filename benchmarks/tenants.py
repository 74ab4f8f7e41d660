"""Measures the cost of tenants in a proxy: bytes per key, and the time to build the table and to find a key.

`python benchmarks/tenants.py [COUNT ...]` prints a row for each number of tenants. Every second tenant has
two keys.
"""

import random
import sys
import time
import tracemalloc

from honeywood.gateway.configuration.tenants import HASH_BYTES, Tenant
from honeywood.gateway.routing.tenant_table import TenantTable

COUNTS = (84, 10_000, 100_000, 790_000)
LOOKUPS = 20_000


def tenants(count, generator):
    """Yield tenants with random hashes, and add a sample of the hashes to KNOWN."""
    sample = []
    for number in range(count):
        hashes = tuple(generator.randbytes(HASH_BYTES) for _ in range(1 + number % 2))
        if number % max(1, count // 1000) == 0:
            sample.append(hashes[0])
        yield Tenant(f"tenant-{number}", hashes, 1)
    KNOWN.extend(sample)


KNOWN: list[bytes] = []  # hashes of keys that are in the table


def measure(count):
    """Measure one number of tenants and print its row."""
    generator = random.Random(count)
    KNOWN.clear()
    all_tenants = tuple(tenants(count, generator))
    keys = sum(len(tenant.key_hashes) for tenant in all_tenants)
    began = time.perf_counter()
    TenantTable(all_tenants)
    took_s = time.perf_counter() - began
    tracemalloc.start()  # slows down all allocations, so the build is timed before
    table = TenantTable(all_tenants)
    size, peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    wanted = [generator.choice(KNOWN) for _ in range(LOOKUPS)]
    began = time.perf_counter()
    for key_hash in wanted:
        table.find_by_hash(key_hash)
    hit_us = (time.perf_counter() - began) / LOOKUPS * 1e6
    unknown_keys = [b"%020d" % number for number in range(LOOKUPS)]
    began = time.perf_counter()
    for key in unknown_keys:
        table.find(key)
    miss_us = (time.perf_counter() - began) / LOOKUPS * 1e6
    print(
        f"{count:9,} {keys:10,} {size / max(1, keys):12.1f} {peak / 1e6:14.1f}"
        f" {took_s:10.2f} {hit_us:14.2f} {miss_us:18.2f}"
    )


def main():
    """Print the table."""
    counts = [int(word) for word in sys.argv[1:]] or COUNTS
    print("  tenants       keys  bytes a key  peak while, MB  build, s  find known, us  hash and miss, us")
    for count in counts:
        measure(count)


if __name__ == "__main__":
    main()
