"""The parsed form of a configuration, as proxies and controllers use it."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import NamedTuple

TYPE_CHECKING = False
if TYPE_CHECKING:
    from honeywood.gateway.configuration.tenants import Tenant


class RequestKind(StrEnum):
    """Whether a request may be executed more than once; the values are those of `kind` in a configuration."""

    SAFE = "safe"
    UNSAFE = "unsafe"


_SAFE = RequestKind.SAFE  # enum member lookup is slow in Python 3.11, and each attempt compares with this


class WeightedService(NamedTuple):
    """A service and the weight that sets its share of a route's requests."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """Routes requests for a host and a path prefix to services."""

    name: str
    host: str
    prefix: str
    kind: RequestKind
    timeout_s: float
    latency_target_s: float
    priority: int  # 0 is the highest
    max_attempts: int
    split: tuple[WeightedService, ...]
    public: bool = False  # whether requests are accepted without a tenant's key

    @property
    def idempotent(self) -> bool:
        """Whether a request may be executed more than once."""
        return self.kind is _SAFE


@dataclass(frozen=True, slots=True)
class Service:
    """A service; `max_connections` limits the connections of all proxies together to one endpoint."""

    name: str
    health_check_path: str
    max_connections: int


@dataclass(frozen=True, slots=True)
class Limits:
    """Limits on clients: sizes of a request in bytes; seconds to send its header, and to stay idle."""

    header_bytes: int = 16384
    body_bytes: int = 1 << 26
    header_s: float = 10.0
    idle_s: float = 15.0


@dataclass(frozen=True, slots=True)
class Configuration:
    """A complete configuration.

    If there are tenants, a request must carry the key of one of them, unless its route is public.
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]  # by name
    limits: Limits
    tenants: tuple[Tenant, ...] = ()
