"""Rules of the configuration that each proxy goes by: `apply` and `back`."""

NO_VERSION = -1


class ProxyRules:
    """Looks at the version that proxies go by."""

    def __init__(self, core, orders):
        """`orders` knows what was acknowledged, and when."""
        self.core, self.orders = core, orders
        self.held = {}  # the version last seen, by (proxy, incarnation)

    def holds(self, now, proxy, incarnation, version):
        """A look at the version that a proxy goes by, None where it has none."""
        before = self.held.get((proxy, incarnation), NO_VERSION)
        version = NO_VERSION if version is None else version
        if version < before:
            self.core.breach("back", now, f"{proxy} goes from {before} to {version}")
        self.held[proxy, incarnation] = version
        due = self.orders.newest_acknowledged(now - self.core.bounds["apply_s"])
        if version != NO_VERSION and due is not None and version < due and self.core.in_touch(now, proxy):
            self.core.breach("apply", now, f"{proxy} goes by {version}, not {due}")
