"""A configuration and its parts, as the gateway uses them."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import NamedTuple

TYPE_CHECKING = False
if TYPE_CHECKING:
    from honeywood.gateway.configuration.tenants import Tenant


class RequestKind(StrEnum):
    """Whether requests of a route may run twice; the values are those of `kind` in a configuration."""

    SAFE = "safe"
    UNSAFE = "unsafe"


_SAFE = RequestKind.SAFE  # Python 3.11 looks members up slowly, and this is compared for each attempt


class WeightedService(NamedTuple):
    """A service that gets a part of a route's requests, by its weight among all."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """Where requests of a host and a path prefix go."""

    name: str
    host: str
    prefix: str
    kind: RequestKind
    timeout_s: float
    latency_target_s: float
    priority: int  # 0 is the highest
    max_attempts: int
    split: tuple[WeightedService, ...]
    public: bool = False  # whether requests need no tenant's key

    @property
    def idempotent(self) -> bool:
        """Whether a request may run twice."""
        return self.kind is _SAFE


@dataclass(frozen=True, slots=True)
class Service:
    """A service; `max_connections` is how many one of its endpoints takes from all proxies together."""

    name: str
    health_check_path: str
    max_connections: int


@dataclass(frozen=True, slots=True)
class Limits:
    """Limits on clients: sizes of a request in bytes, times to send its header and to be idle in seconds."""

    header_bytes: int = 16384
    body_bytes: int = 1 << 26
    header_s: float = 10.0
    idle_s: float = 15.0


@dataclass(frozen=True, slots=True)
class Configuration:
    """A complete configuration.

    Where there are tenants, a request needs the key of one, unless its route is public.
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]  # by name
    limits: Limits
    tenants: tuple[Tenant, ...] = ()
