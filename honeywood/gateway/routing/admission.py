"""The result of checking a client's API key, and its effect on the forwarded headers."""

from __future__ import annotations

from dataclasses import dataclass

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Iterable

KEY_HEADER = b"x-api-key"  # removed before forwarding if the configuration has tenants
TENANT_HEADER = b"x-tenant"  # replaced before forwarding if the configuration has tenants


@dataclass(frozen=True, slots=True)
class TenantMatch:
    """The tenant that a key belongs to; `priority` is None if the route's priority applies."""

    name: bytes
    priority: int | None


@dataclass(frozen=True, slots=True)
class Admission:
    """Permission to forward a request.

    `tenant` is the owner of the request's API key, or None if it has no known key. `has_tenants` says whether
    the configuration had tenants when the request arrived; a configuration that takes effect while the body
    is read doesn't change it.
    """

    tenant: TenantMatch | None = None
    has_tenants: bool = False

    def priority(self, default: int) -> int:
        """The tenant's priority, or `default` if it has none."""
        if self.tenant is None or self.tenant.priority is None:
            return default
        return self.tenant.priority

    def forwarded_headers(self, headers: list[tuple[bytes, bytes]]) -> list[tuple[bytes, bytes]]:
        """The headers to send to an endpoint, made from the client's headers.

        If the configuration has tenants, the key and any X-Tenant set by the client are removed, and the name
        of the key's tenant is added.
        """
        if not self.has_tenants:
            return headers
        kept = [header for header in headers if header[0] not in (KEY_HEADER, TENANT_HEADER)]
        return kept if self.tenant is None else [*kept, (TENANT_HEADER, self.tenant.name)]


ADMITTED_WITHOUT_TENANTS = Admission()


def api_keys(headers: Iterable[tuple[bytes, bytes]]) -> list[bytes]:
    """All API keys among a request's headers, whose names must be in lower case."""
    return [value for name, value in headers if name == KEY_HEADER]
