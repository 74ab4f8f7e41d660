"""The service machines that are known, as records tell of them, and what a proxy has seen of each."""

from math import inf

READY, DRAINING, GONE, LOST = "ready", "draining", "gone", "silent"
LOAD_HALF_LIFE_S = 0.4  # in which half of what an endpoint told of others' load is forgotten
SLOWNESS_STEP, SLOWNESS_MOST = 0.1, 8.0
AVOID_S = 0.5  # seconds an endpoint is avoided after trouble; doubled each time up to
AVOID_MOST_S = 4.0
MOST_DOUBLINGS = 8
UNRESPONSIVE_AFTER = 3.0  # times the typical latency after which an unanswering endpoint is avoided
TYPICAL_STEP = 0.02  # part of each latency that goes into the service's typical one


class Endpoint:
    """One life of a service machine. Times are seconds on the caller's clock; `slowness` is its latency as a
    multiple of the service's typical one."""

    __slots__ = (
        "id",
        "service",
        "ip",
        "port",
        "zone",
        "version",
        "slots",
        "state",
        "warm_at",
        "in_flight",
        "others_load",
        "load_told_at",
        "slowness",
        "avoided_until",
        "troubles",
        "waiting_since",
        "idle_connections",
        "connecting",
        "connected",
        "discovered_at",
    )

    def __init__(self, id, service, now):
        """A life that is first told of `now`."""
        self.id, self.service, self.discovered_at, self.state = id, service, now, GONE
        self.in_flight, self.others_load, self.load_told_at = 0, 0.0, -inf
        self.slowness, self.avoided_until, self.troubles, self.waiting_since = 1.0, -inf, 0, None
        self.idle_connections, self.connecting, self.connected = [], 0, 0

    def load(self, now):
        """Requests believed to be at it: this proxy's own and, fading, what it told of others'."""
        return self.in_flight + self.others_load * 0.5 ** ((now - self.load_told_at) / LOAD_HALF_LIFE_S)

    def load_told(self, now, running, waiting):
        """It has told how many requests run and wait at it, this proxy's own among them."""
        self.others_load, self.load_told_at = max(0.0, running + waiting - self.in_flight), now

    def connection_changed(self, change):
        """A connection to it has come up (1) or ended (-1)."""
        self.connected += change

    @property
    def connections(self):
        """Those that this proxy has with it or is opening; endpoints reset what is over `max_conns`."""
        return self.connected + self.connecting

    def request_began(self, now):
        """An attempt at it begins."""
        if not self.in_flight:
            self.waiting_since = now
        self.in_flight += 1

    def request_ended(self, now, answered):
        """An attempt at it has ended, with a whole answer or without."""
        self.in_flight -= 1
        if answered:
            self.waiting_since, self.troubles = now, 0

    def avoid(self, now):
        """After trouble it is avoided for a while, longer each time."""
        pause_s = min(AVOID_MOST_S, AVOID_S * 2 ** min(self.troubles, MOST_DOUBLINGS))
        self.avoided_until = now + pause_s
        self.troubles += 1

    def is_unresponsive(self, now, typical_s):
        """Whether it has work of ours and has answered nothing for long."""
        if not self.in_flight or self.waiting_since is None:
            return False
        return now - self.waiting_since > UNRESPONSIVE_AFTER * typical_s

    def record_latency(self, now, latency_s, typical_s):
        """A whole answer has come after `latency_s`; cold ones say nothing of its speed."""
        if now >= self.warm_at and typical_s > 0:
            ratio = min(SLOWNESS_MOST, latency_s / typical_s)
            self.slowness += (ratio - self.slowness) * SLOWNESS_STEP


class Endpoints:
    """Endpoints by id and by service, built from the records under machine/."""

    def __init__(self):
        """None is known at first."""
        self.by_id, self.by_service = {}, {}
        self.latencies = {}  # {service: typical seconds of a whole answer}
        self.max_connections = {}  # that an endpoint of a service takes from all proxies together

    def of(self, service):
        """The endpoints of a service."""
        return self.by_service.get(service, ())

    def typical_latency(self, service, default=1.0):
        """Seconds that an answer of a service takes as a rule."""
        return self.latencies.get(service, default)

    def update(self, now, id, value):
        """Takes what a record says of an endpoint; the Endpoint, and whether it left service by that."""
        if value["state"] in (GONE, LOST):
            return self._remove(id, value["state"])
        endpoint = self.by_id.get(id)
        if endpoint is None:
            endpoint = self.by_id[id] = Endpoint(id, value["svc"], now)
            self.by_service.setdefault(endpoint.service, []).append(endpoint)
        endpoint.ip, endpoint.port, endpoint.zone = value["ip"], value["port"], value["zone"]
        endpoint.version, endpoint.slots = value["ver"], max(1, value["slots"])
        endpoint.warm_at = now + value["cold"]
        left = endpoint.state == READY != value["state"]
        endpoint.state = value["state"]
        return endpoint, left

    def _remove(self, id, state):
        endpoint = self.by_id.pop(id, None)
        if endpoint is None:
            return None, False
        self.by_service[endpoint.service].remove(endpoint)
        endpoint.state = state
        return endpoint, True

    def record_abandoned(self, now, endpoint, waited_s):
        """An attempt was ended by us after `waited_s` without an answer. Its latency would have been more: so
        an endpoint that is slower than known is learnt of even where no client stays for its answers."""
        typical_s = self.latencies.get(endpoint.service)
        if typical_s is not None and waited_s > typical_s * endpoint.slowness:
            endpoint.record_latency(now, waited_s, typical_s)

    def record_latency(self, now, endpoint, latency_s):
        """A whole answer has come: what is typical for the service, and the endpoint's speed."""
        typical_s = self.latencies.get(endpoint.service, latency_s)
        self.latencies[endpoint.service] = typical_s + (latency_s - typical_s) * TYPICAL_STEP
        endpoint.record_latency(now, latency_s, typical_s)
