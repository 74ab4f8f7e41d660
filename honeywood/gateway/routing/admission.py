"""The result of checking a client's API key, and what it changes in the forwarded headers."""

from __future__ import annotations

from dataclasses import dataclass

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Iterable

KEY_HEADER = b"x-api-key"  # removed before forwarding where the configuration has tenants
TENANT_HEADER = b"x-tenant"  # replaced by the proxy's own where the configuration has tenants


@dataclass(frozen=True, slots=True)
class TenantMatch:
    """The tenant that a key belongs to; `priority` is None where the route's applies."""

    name: bytes
    priority: int | None


@dataclass(frozen=True, slots=True)
class Admission:
    """A request may be forwarded, for `tenant` where it showed a known key.

    `has_tenants` says whether the configuration had tenants when the request came. A configuration that
    takes effect while the body is read doesn't change that.
    """

    tenant: TenantMatch | None = None
    has_tenants: bool = False

    def priority(self, default: int) -> int:
        """The tenant's priority, or `default` where there is none."""
        if self.tenant is None or self.tenant.priority is None:
            return default
        return self.tenant.priority

    def forwarded_headers(self, headers: list[tuple[bytes, bytes]]) -> list[tuple[bytes, bytes]]:
        """The client's headers as endpoints get them.

        Where the configuration has tenants they are without the key and without the client's own X-Tenant,
        with the name of the key's tenant.
        """
        if not self.has_tenants:
            return headers
        kept = [one for one in headers if one[0] not in (KEY_HEADER, TENANT_HEADER)]
        return kept if self.tenant is None else [*kept, (TENANT_HEADER, self.tenant.name)]


ADMITTED_WITHOUT_TENANTS = Admission()


def api_keys(headers: Iterable[tuple[bytes, bytes]]) -> list[bytes]:
    """All API keys that a request shows; header names are in lower case."""
    return [value for name, value in headers if name == KEY_HEADER]
