"""Host and path to a route: of the host's routes the one with the longest prefix of the path."""

from honeywood.gateway.routing.tenants import TenantTable


class RouteTable:
    """The routes of one configuration, and its tenants by their keys: None where it has no tenants."""

    def __init__(self, config):
        """The routes and services of a Configuration."""
        self.version, self.hosts = config.version, {}
        for route in config.routes:
            self.hosts.setdefault(route.host.encode(), {})[route.prefix.encode()] = route
        self.tenants = TenantTable(config.tenants) if config.tenants else None
        self.services = {service for route in config.routes for service, _ in route.split}

    def find(self, host, path):
        """The route of a Host value and a raw path (bytes), or None."""
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

    def _routes_of(self, host):
        """The routes of a host; its port says nothing of which host is meant."""
        routes = self.hosts.get(host)
        if routes is None and b":" in host:
            routes = self.hosts.get(host.rpartition(b":")[0])
        return routes


def pick_service(split, chance):
    """One of [(service, weight)] by weight; `chance` is within [0, 1)."""
    if len(split) == 1:
        return split[0][0]
    left = chance * sum(weight for _, weight in split)
    for service, weight in split:
        left -= weight
        if left < 0:
            return service
    return split[-1][0]
