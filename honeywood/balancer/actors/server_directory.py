"""The server list: watches discovery, and keeps a ServerPeer for each server."""

from __future__ import annotations

from honeywood.balancer.actors.server_peer import ServerPeer
from honeywood.balancer.actors.subscription import Subscription
from honeywood.balancer.model import SECOND, UNKNOWN_START, ServerEntry, ServerStatus
from honeywood.balancer.protocol import discovery, http
from honeywood.balancer.transport import clock

TYPE_CHECKING = False
if TYPE_CHECKING:
    from honeywood.balancer.actors.application import Application
    from honeywood.balancer.transport.connection import Connection

CATCH_UP_TIME = 5 * SECOND  # after a change of address, in which the new one may send older revisions


class ServerDirectory(Subscription):
    """Watches discovery; `peers` holds the actor of each listed server by identifier."""

    invalid = (http.InvalidMessage, discovery.InvalidList)

    def __init__(
        self, address: discovery.Address, known: discovery.ServerList, application: Application
    ) -> None:
        """Take over the list known at startup; connect at once unless the decisions request the list."""
        super().__init__("discovery", address, application)
        self._application = application
        self.peers: dict[str, ServerPeer] = {}
        self._revision = 0
        self._response: http.Response | None = None  # of the watch; its body is unbounded
        self._address_changed_at = -CATCH_UP_TIME
        self._update(known)
        self.start()
        if not self.settings.list_on_request:
            self.mailbox.post(self.dial)

    # Posted by other actors. With `list_on_request` the decisions' host posts dial() as well.
    def change_address(self, address: discovery.Address) -> None:
        """Use another address of discovery."""
        if address != self.address:
            self._address_changed_at = clock.now()
        super().change_address(address)

    def on_incorrect_answer(self, identifier: str, method: str) -> None:
        """The platform has found an answer of a server incorrect."""
        if identifier in self.peers:
            server = self.peers[identifier].server
            self.decisions.post(self.decisions.on_incorrect_answer, server, method)

    # Called by its connection.
    def on_subscribing(self, connection: Connection) -> None:
        """Request the changes since the last known revision."""
        self._response = None
        fields = [("host", "discovery"), ("accept", "application/json")]
        connection.write(http.request("GET", discovery.watch_target(self._revision), fields))

    def read(self, connection: Connection) -> None:
        """Process the complete lines in the buffer. Raises InvalidMessage or InvalidList."""
        if self._response is None:
            self._response = http.response_head(connection.buffer, max_body=discovery.MAX_LINE)
        response = self._response
        if response is None:
            return
        if response.status != 200 or not response.chunked:
            connection.close(f"status_{response.status}")
            return
        for line in http.lines(connection.buffer, response.chunked):
            if (update := discovery.parse_line(line)) is not None:
                self._update(update)
                self.on_valid_message()
        if response.chunked.is_complete:
            connection.close("watch_over")

    def on_lost(self) -> None:
        """Dial again or, with `list_on_request`, leave it to the decisions when to do so."""
        if self.settings.list_on_request:
            self.decisions.post(self.decisions.on_server_list_failed)
        else:
            super().on_lost()

    # Internal.
    def _update(self, update: discovery.ServerList) -> None:
        """Pass the list or changes to it to the decisions. Raises InvalidList."""
        address_changed_recently = clock.now() - self._address_changed_at < CATCH_UP_TIME
        if update.revision < self._revision and address_changed_recently:
            raise discovery.InvalidList(
                f"revision {update.revision} after {self._revision}: older than the current list"
            )
        self._revision = update.revision
        for fault in update.faults:
            self.log.warning("odd_entry", peer="discovery", what=fault)
        unlisted = set(self.peers) if update.complete else set()
        entries = []
        for member in update.members:
            unlisted.discard(member.identifier)
            if member.identifier in self.peers or member.status != ServerStatus.REMOVED:
                entries.append(self._entry(member))
        removed_peers = [self.peers.pop(identifier) for identifier in sorted(unlisted)]
        self.decisions.post(
            self.decisions.on_server_list, entries, update.complete, removed_peers, update.revision
        )
        self.log.info(
            "list",
            revision=update.revision,
            whole=update.complete,
            lines=len(entries),
            servers=len(self.peers),
        )

    def _entry(self, member: discovery.Member) -> tuple[ServerPeer, discovery.Address | None, ServerEntry]:
        """The peer, address and entry of a member; the peer of a removed member is dropped."""
        if member.identifier not in self.peers:
            self.peers[member.identifier] = ServerPeer(member.identifier, self._application)
        peer = self.peers[member.identifier]
        zones = self.settings.zones
        entry = ServerEntry(
            server=peer.server,
            build=member.build,
            zone=zones.index(member.locality) if member.locality in zones else len(zones),
            cell=member.cell,
            scale=member.scale,
            status=member.status,
            started_at=clock.from_unix(member.started_ms) if member.started_ms else UNKNOWN_START,
        )
        if member.status == ServerStatus.REMOVED:
            del self.peers[member.identifier]
        return peer, member.address, entry
