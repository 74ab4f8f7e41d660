"""The list of servers: watches discovery, and knows the peer behind each identifier."""

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

CATCH_UP_TIME = 5 * SECOND  # so long a new address may know less than the one before it told


class ServerDirectory(Subscription):
    """`peers` are the servers by identifier."""

    invalid = (http.InvalidMessage, discovery.InvalidList)

    def __init__(
        self, address: discovery.Address, known: discovery.ServerList, application: Application
    ) -> None:
        """Discovery is asked at once, unless the decisions say when."""
        super().__init__("discovery", address, application)
        self._application = application
        self.peers: dict[str, ServerPeer] = {}
        self._revision = 0
        self._response: http.Response | None = None  # whose body goes on and on
        self._moved_at = -CATCH_UP_TIME
        self._update(known)
        self.start()
        if not self.settings.list_on_request:
            self.mailbox.post(self.dial)

    # What others post. The decisions' host posts dial() as well, where the list must be asked for.
    def move(self, address: discovery.Address) -> None:
        """Discovery is to be found elsewhere."""
        if address != self.address:
            self._moved_at = clock.now()
        super().move(address)

    def on_incorrect_answer(self, identifier: str, method: str) -> None:
        """The platform tells of a wrong answer of a server."""
        if identifier in self.peers:
            server = self.peers[identifier].server
            self.decisions.post(self.decisions.on_incorrect_answer, server, method)

    # What its connection tells.
    def on_subscribing(self, connection: Connection) -> None:
        """Ask for what is new since the last revision."""
        self._response = None
        fields = [("host", "discovery"), ("accept", "application/json")]
        connection.write(http.request("GET", discovery.watch_target(self._revision), fields))

    def read(self, connection: Connection) -> None:
        """Take over the lines that have come."""
        if self._response is None:
            self._response = http.response_head(connection.buffer, max_body=discovery.MAX_LINE)
        response = self._response
        if response is None:
            return
        if response.status != 200 or not response.chunked:
            connection.close(f"status_{response.status}")
            return
        for line in http.lines(connection.buffer, response.chunked):
            if (told := discovery.parse_line(line)) is not None:
                self._update(told)
                self.on_valid_message()
        if response.chunked.is_complete:
            connection.close("watch_over")

    def on_lost(self) -> None:
        """The decisions say when to ask again, where the list must be asked for."""
        if self.settings.list_on_request:
            self.decisions.post(self.decisions.on_server_list_failed)
        else:
            super().on_lost()

    # Its own.
    def _update(self, told: discovery.ServerList) -> None:
        """Tell the decisions of the list, or changes of it. Raises InvalidList."""
        moved_lately = clock.now() - self._moved_at < CATCH_UP_TIME
        if told.revision < self._revision and moved_lately:
            raise discovery.InvalidList(
                f"revision {told.revision} after {self._revision}: no change is undone"
            )
        self._revision = told.revision
        for fault in told.faults:
            self.log.warning("odd_entry", peer="discovery", what=fault)
        unnamed = set(self.peers) if told.complete else set()
        entries = []
        for member in told.members:
            unnamed.discard(member.identifier)
            if member.identifier in self.peers or member.status != ServerStatus.REMOVED:
                entries.append(self._entry(member))
        gone = [self.peers.pop(identifier) for identifier in sorted(unnamed)]
        self.decisions.post(self.decisions.on_server_list, entries, told.complete, gone, told.revision)
        self.log.info(
            "list",
            revision=told.revision,
            whole=told.complete,
            lines=len(entries),
            servers=len(self.peers),
        )

    def _entry(self, member: discovery.Member) -> tuple[ServerPeer, discovery.Address | None, ServerEntry]:
        """A member's peer, address and entry; of one that is gone the peer is forgotten."""
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
