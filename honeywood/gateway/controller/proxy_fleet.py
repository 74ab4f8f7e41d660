"""Tracks which proxies share the traffic: those that poll any controller in contact.

Each controller publishes, under its own address, the location of every proxy that polls it.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple, cast

from honeywood.gateway.dissemination.keys import RecordKind
from honeywood.gateway.dissemination.rendezvous import relays_of

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Callable

    from honeywood.gateway.controller.contacts import Contacts
    from honeywood.gateway.dissemination.record import JsonValue
    from honeywood.gateway.dissemination.store import Store

PROXY_TIMEOUT_S = 3.0  # seconds without a poll after which a proxy no longer shares the traffic


class ProxyLocation(NamedTuple):
    """A proxy's location; a tuple because rendezvous hashing expects one, stored as [zone, ip]."""

    zone: str
    ip: str

    def encode(self) -> list[str]:
        """Return the value of the location's record."""
        return list(self)

    @classmethod
    def decode(cls, value: JsonValue) -> ProxyLocation:
        """Return the location that a record holds."""
        zone, ip = cast("list[str]", value)
        return cls(zone, ip)


@dataclass(frozen=True, slots=True)
class ProxySighting:
    """The latest poll by a proxy at this controller; `polled_at` is in monotonic seconds."""

    polled_at: float
    location: ProxyLocation


class ProxyFleet:
    """The proxies that poll this controller, and those that share the traffic."""

    def __init__(
        self,
        local_ip: str,
        store: Store,
        contacts: Contacts,
        publish_local: Callable[[str, list[str] | None], None],
    ) -> None:
        """Start without any proxy; `publish_local(key, value)` publishes a record of this controller."""
        self.local_ip, self.store, self.contacts = local_ip, store, contacts
        self.publish_local = publish_local
        self.sightings: dict[str, ProxySighting] = {}  # by node, the proxies that poll this controller
        self.proxies: dict[str, ProxyLocation] = {}  # by node, those that share the traffic
        self._relays: dict[str, list[str]] = {}  # addresses by node, cached until `proxies` changes

    def record_poll(self, now: float, node: str, location: ProxyLocation) -> None:
        """Record a poll by a proxy at this controller."""
        self.sightings[node] = ProxySighting(now, location)

    def refresh(self, now: float) -> None:
        """Publish which proxies poll this controller or have stopped doing so, and update `proxies`."""
        for node, sighting in list(self.sightings.items()):
            silent = now - sighting.polled_at >= PROXY_TIMEOUT_S
            key, value = self._local_key(node), None if silent else sighting.location.encode()
            if self.store.get(key) != value:
                self.publish_local(key, value)
            if silent:
                del self.sightings[node]
        self.current_proxies(now)

    def _local_key(self, node: str) -> str:
        return RecordKind.PROXY_LOCATION.key(self.local_ip, node)

    def current_proxies(self, now: float) -> dict[str, ProxyLocation]:
        """Update and return `proxies`, those that share the traffic now, by node."""
        observers, live = self.contacts.observers(now), {}
        for key, value in self.store.items_of(RecordKind.PROXY_LOCATION):
            _, observer, node = key.split("/", 2)
            if value is not None and observer in observers:
                live[node] = ProxyLocation.decode(value)
        if live != self.proxies:
            self.proxies, self._relays = live, {}
        return live

    def relays_of(self, node: str, zone: str) -> list[str]:
        """Return the addresses of the relays that a proxy polls, nearest first."""
        if node not in self._relays:
            self._relays[node] = relays_of(node, zone, self.proxies)
        return self._relays[node]
