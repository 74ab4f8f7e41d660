"""Answers other programs' polls of this controller's store, and records which programs are in contact."""

from __future__ import annotations

from dataclasses import replace

from honeywood.gateway.controller.contacts import decode_disk_state
from honeywood.gateway.controller.proxy_fleet import ProxyLocation
from honeywood.gateway.dissemination.keys import RecordKind
from honeywood.gateway.dissemination.messages import FleetView

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Callable

    from honeywood.gateway.controller.contacts import Contacts
    from honeywood.gateway.controller.peer_polling import PeerPolling
    from honeywood.gateway.controller.proxy_fleet import ProxyFleet
    from honeywood.gateway.controller.replication import Replication
    from honeywood.gateway.dissemination.messages import PollRequest, PollResponse, Requester
    from honeywood.gateway.dissemination.publisher import Publisher
    from honeywood.gateway.register.replacement import DiskState


class PollService:
    """Answers the polls that one controller receives."""

    def __init__(
        self,
        local_ip: str,
        publisher: Publisher,
        contacts: Contacts,
        peers: PeerPolling,
        fleet: ProxyFleet,
        replication: Replication,
        local_disk: Callable[[], DiskState],
        clock: Callable[[], float],
    ) -> None:
        """`local_disk()` returns the state of this controller's disk, `clock` monotonic seconds."""
        self.local_ip, self.publisher, self.contacts = local_ip, publisher, contacts
        self.peers, self.fleet, self.replication = peers, fleet, replication
        self.local_disk, self.clock = local_disk, clock

    def record_requester(self, requester: Requester, revision: int) -> None:
        """Record a poll; its sender holds all changes of the local store up to `revision`."""
        now = self.clock()
        if requester.is_proxy:
            location = ProxyLocation(requester.zone, requester.ip)
            self.fleet.record_poll(now, requester.node, location)
        elif requester.is_controller:
            self.peers.discover([requester.ip])
            stamp, disk = requester.echo_stamps.get(self.local_ip), decode_disk_state(requester.disk)
            self.contacts.record_request(requester.ip, now, stamp, revision, disk)
            self.replication.notify()

    async def answer(self, request: PollRequest, has_left: Callable[[], bool]) -> PollResponse:
        """Return the response to a poll: changes of the store, and fields that depend on the requester."""
        response = await self.publisher.serve(request, has_left)
        now, requester = self.clock(), request.requester
        response = replace(response, in_quorum=self.contacts.in_quorum(now))
        if requester.is_controller:
            stamp = self.contacts.issue_stamp(now)
            response = replace(response, echo_stamp=stamp, disk=self.local_disk().value)
        if requester.is_proxy:
            relays = self.fleet.relays_of(requester.node, requester.zone)
            fleet = FleetView(len(self.fleet.proxies), relays)
            response = replace(response, fleet=fleet, counts_number=self._received_counts(requester))
        return response

    def _received_counts(self, requester: Requester) -> int:
        """Return the number of the latest counts of a proxy that are known here, 0 for none."""
        key = RecordKind.PROXY_COUNTS.key(requester.node, requester.incarnation)
        stamp = self.publisher.store.stamp(key)
        return stamp[0] if stamp else 0
