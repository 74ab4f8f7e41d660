"""Looking up tenants by API key."""

from ward import each, test

from honeywood.gateway.configuration.tenants import HASH_BYTES, Tenant, hash_key
from honeywood.gateway.routing.tenant_table import TenantTable


@test("with {count} tenants each key finds its tenant and priority, and no other key is found")
def _(count=each(0, 1, 2, 9, 5000)):
    tenants = [
        Tenant(f"t{n}", tuple(hash_key(b"%d/%d" % (n, k)) for k in range(n % 3 + 1)), n % 4 or None)
        for n in range(count)
    ]
    table = TenantTable(tenants)
    for n, tenant in enumerate(tenants):
        for k in range(n % 3 + 1):
            found = table.find(b"%d/%d" % (n, k))
            assert (found.name, found.priority) == (tenant.name.encode(), tenant.priority)
        assert table.find(b"%d/%d" % (n, n % 3 + 1)) is None
    assert table.find(b"") is None


@test("hashes with a common prefix are distinguished, and the highest possible hash is found")
def _():
    key_hashes = [bytes(HASH_BYTES - 1) + bytes([n]) for n in range(40)] + [b"\xff" * HASH_BYTES]
    table = TenantTable([Tenant(f"t{n}", (key_hash,)) for n, key_hash in enumerate(key_hashes)])
    for n, key_hash in enumerate(key_hashes):
        assert table.find_by_hash(key_hash).name == b"t%d" % n
