"""Which proxies share in the traffic: those that ask any controller in contact for news."""

from dataclasses import dataclass
from typing import NamedTuple

from honeywood.gateway.dissemination.keys import RecordKind
from honeywood.gateway.dissemination.rendezvous import relays_of

SILENT_S = 3.0  # seconds after which a proxy that asks no more shares in nothing


class Place(NamedTuple):
    """Where a proxy is; a tuple, as rendezvous takes it."""

    zone: str
    ip: str


@dataclass(frozen=True, slots=True)
class Sighting:
    """A proxy that asked this controller."""

    asked_at: float
    place: Place


class Fleet:
    """`asking` are the proxies that ask this controller, `proxies` those that share in the traffic, as {node:
    Place}; `tell(key, value)` tells all of a record of this controller's own."""

    def __init__(self, local_ip, store, contacts, tell):
        """No proxy is known."""
        self.local_ip, self.store, self.contacts, self.tell = local_ip, store, contacts, tell
        self.asking, self.proxies, self._relays = {}, {}, {}

    def asked(self, now, requester):
        """A proxy has asked."""
        self.asking[requester.node] = Sighting(now, Place(requester.zone, requester.ip))

    def poll(self, now):
        """Tells others of the proxies that ask here and of those that ask no more, and counts anew."""
        for node, sighting in list(self.asking.items()):
            silent = now - sighting.asked_at >= SILENT_S
            key = RecordKind.PROXY_LOCATION.key(self.local_ip, node)
            place = None if silent else list(sighting.place)
            if self.store.get(key) != place:
                self.tell(key, place)
            if silent:
                del self.asking[node]
        self.sharing(now)

    def sharing(self, now):
        """The proxies that share in the traffic now."""
        vouching, found = self.contacts.vouching(now), {}
        for key, place in self.store.items_of(RecordKind.PROXY_LOCATION):
            _, told_by, node = key.split("/", 2)
            if place is not None and told_by in vouching:
                found[node] = Place(*place)
        if found != self.proxies:
            self.proxies, self._relays = found, {}
        return found

    def relays(self, node, zone):
        """The addresses of the relays that a proxy hears from."""
        if node not in self._relays:
            self._relays[node] = relays_of(node, zone, self.proxies)
        return self._relays[node]
