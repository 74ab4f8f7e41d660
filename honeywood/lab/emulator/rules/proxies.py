"""Rules of what each proxy goes by and whether it is ready: `apply`, `back`, `ready`, `left`, `routes`."""

from collections import Counter

NO_VERSION = -1
UNREADY_SHARE = 0.125  # of the time in which a proxy is in touch, that it may be not ready
LEAST_LOOKS = 40  # in touch, below which nothing is said of a proxy


class ProxyRules:
    """Looks at the version that proxies go by."""

    def __init__(self, core, orders):
        """`orders` knows what was acknowledged, and when."""
        self.core, self.orders = core, orders
        self.held = {}  # the version last seen, by (proxy, incarnation)
        self.left_at = {}  # when each machine's end was acknowledged
        self.looks, self.unready = Counter(), Counter()  # at each proxy while it was in touch

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

    def knows_no_route(self, now, proxy, path):
        """A proxy answers that it has no route for a path of a version acknowledged apply_s ago."""
        if self.core.in_touch(now, proxy):
            self.core.breach("routes", now, f"{proxy} has no route for {path.decode()}")

    def answers_ready(self, now, proxy, ready):
        """A look at whether a proxy says that it is ready; one that is down is not."""
        if self.core.in_touch(now, proxy):
            self.looks[proxy] += 1
            self.unready[proxy] += not ready

    def left(self, now, machine_id):
        """A machine's end is acknowledged."""
        self.left_at.setdefault(machine_id, now)

    def knows(self, now, proxy, machines):
        """A look at the ids of the machines that a proxy takes for ready."""
        if self.left_at and self.core.in_touch(now, proxy):
            for machine_id in self.left_at.keys() & machines:
                if now > self.left_at[machine_id] + self.core.bounds["apply_s"]:
                    self.core.breach("left", now, f"{proxy} takes {machine_id} for ready")
                    del self.left_at[machine_id]

    def close(self, now):
        """The share of the calm time in which each proxy was not ready."""
        for proxy, looks in self.looks.items():
            if looks >= LEAST_LOOKS and self.unready[proxy] > UNREADY_SHARE * looks:
                self.core.breach(
                    "ready", now, f"{proxy} is not ready at {self.unready[proxy]} of {looks} looks"
                )
