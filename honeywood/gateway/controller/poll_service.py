"""Answers other programs' polls of this controller's store, and learns from them who is in contact."""

from __future__ import annotations

from dataclasses import replace

from honeywood.gateway.controller.contacts import decode_disk_state
from honeywood.gateway.controller.proxy_fleet import ProxyLocation
from honeywood.gateway.controller.record_keys import COUNT_PREFIX

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Callable

    from honeywood.gateway.controller.contacts import Contacts
    from honeywood.gateway.controller.peer_polling import PeerPolling
    from honeywood.gateway.controller.proxy_fleet import ProxyFleet
    from honeywood.gateway.controller.replication import Replication
    from honeywood.gateway.dissemination.messages import Answer, Ask, Asker
    from honeywood.gateway.dissemination.publisher import Publisher
    from honeywood.gateway.register.replacement import DiskState


class PollService:
    """Polls at one controller."""

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
        """Answer from `publisher`; `local_disk()` gives the state of this disk, `clock` steady seconds."""
        self.local_ip, self.publisher, self.contacts = local_ip, publisher, contacts
        self.peers, self.fleet, self.replication = peers, fleet, replication
        self.local_disk, self.clock = local_disk, clock

    def record_asker(self, asker: Asker, revision: int) -> None:
        """Take note of a program that polls, and holds all changes of this store up to `revision`."""
        now = self.clock()
        if asker.proxy:
            self.fleet.record_poll(now, asker.node, ProxyLocation(asker.zone, asker.ip))
        elif asker.controller:
            self.peers.discover([asker.ip])
            stamp, disk = asker.stamps.get(self.local_ip), decode_disk_state(asker.disk)
            self.contacts.record_request(asker.ip, now, stamp, revision, disk)
            self.replication.notify()

    async def answer(self, ask: Ask, has_left: Callable[[], bool]) -> Answer:
        """Return the answer to a poll: news of the store, and what depends on who asks."""
        answer = await self.publisher.serve(ask, has_left)
        now, asker = self.clock(), ask.who
        answer = replace(answer, in_quorum=self.contacts.in_quorum(now))
        if asker.controller:
            answer = replace(answer, stamp=self.contacts.issue_stamp(now), disk=self.local_disk().value)
        if asker.proxy:
            relays = self.fleet.relays_of(asker.node, asker.zone)
            answer = replace(
                answer,
                fleet=(len(self.fleet.proxies), relays),
                counted=self._received_counts(asker),
            )
        return answer

    def _received_counts(self, asker: Asker) -> int:
        """Return up to which number a proxy's counts are known here."""
        stamp = self.publisher.store.stamp(f"{COUNT_PREFIX}{asker.node}/{asker.life}")
        return stamp[0] if stamp else 0
