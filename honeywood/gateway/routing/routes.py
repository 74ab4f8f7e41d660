"""Host and path to a route: of the host's routes the one with the longest prefix of the path."""


class Table:
    """The routes of one configuration."""

    def __init__(self, config):
        self.version, self.hosts = config.version, {}
        for route in config.routes:
            self.hosts.setdefault(route.host.encode(), {})[route.prefix.encode()] = route

    def find(self, host, path):
        """The route of a Host value and a raw path (bytes), or None."""
        name = host.lower()
        routes = self.hosts.get(name)
        if routes is None:  # a port says nothing of which host is meant
            routes = self.hosts.get(name.rpartition(b":")[0]) if b":" in name else None
        if routes is None:
            return None
        end = path.rfind(b"/")
        while end >= 0:
            route = routes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind(b"/", 0, end)
        return None


def share_out(split, chance):
    """One of [(service, weight)] by weight; `chance` is within [0, 1)."""
    if len(split) == 1:
        return split[0][0]
    left = chance * sum(weight for _, weight in split)
    for service, weight in split:
        left -= weight
        if left < 0:
            return service
    return split[-1][0]
