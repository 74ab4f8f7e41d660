"""Finds the route of a host and path: the host's route with the longest matching prefix."""

from __future__ import annotations

from honeywood.gateway.routing.tenant_table import TenantTable

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from honeywood.gateway.configuration.model import Configuration, Route


class RouteTable:
    """The routes of one configuration version, and its tenants by key (None if it has no tenants)."""

    def __init__(self, configuration: Configuration) -> None:
        """Indexes a configuration's routes, services and tenants."""
        self.version = configuration.version
        self.routes_by_host: dict[bytes, dict[bytes, Route]] = {}
        for route in configuration.routes:
            routes = self.routes_by_host.setdefault(route.host.encode(), {})
            routes[route.prefix.encode()] = route
        self.tenants = TenantTable(configuration.tenants) if configuration.tenants else None
        self.services = {service for route in configuration.routes for service, _ in route.split}

    def find(self, host: bytes, path: bytes) -> Route | None:
        """The route for a Host field value and a raw path, or None."""
        routes = self._routes_of(host.lower())
        if routes is None:
            return None
        end = path.rfind(b"/")
        while end >= 0:
            route = routes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind(b"/", 0, end)
        return None

    def _routes_of(self, host: bytes) -> Mapping[bytes, Route] | None:
        """The routes of a host by prefix, or None; a port is ignored if there are none for host and port."""
        routes = self.routes_by_host.get(host)
        if routes is None and b":" in host:
            routes = self.routes_by_host.get(host.rpartition(b":")[0])
        return routes


def choose_service(split: Sequence[tuple[str, float]], draw: float) -> str:
    """Picks one of the services in proportion to their weights; `draw` is a random number in [0, 1)."""
    if len(split) == 1:
        return split[0][0]
    remaining = draw * sum(weight for _, weight in split)
    for service, weight in split:
        remaining -= weight
        if remaining < 0:
            return service
    return split[-1][0]
