"""The list of servers: watches discovery, and knows the peer behind each id."""

from honeywood.balancer.model import SECOND, UNKNOWN_START, ServerEntry, ServerStatus
from honeywood.balancer.protocol import discovery, http
from honeywood.balancer.actors.server import ServerPeer
from honeywood.balancer.actors.watch import Watch
from honeywood.balancer.transport import clock


CATCHES_UP = 5 * SECOND  # so long a new address may know less than the one before it told


class Roster(Watch):
    unreadable = http.Malformed, discovery.InvalidList

    def __init__(self, address, known, gateway):
        super().__init__("discovery", address, gateway)
        self.gateway, self.peers, self.revision, self.head = gateway, {}, 0, None
        self.moved_at = -CATCHES_UP
        self.take(known)
        self.start()
        if not self.settings.list_on_request:
            self.mailbox.post(self.dial)

    # What others post. The module posts dial() as well, where the list must be asked for.
    def move(self, address):
        if address != self.address:
            self.moved_at = clock.now()
        super().move(address)

    def flagged(self, name, method):
        """The platform tells of a wrong answer of the server with this id."""
        if name in self.peers:
            self.decisions.post(self.decisions.on_wrong_answer, self.peers[name].server, method)

    # What its connection tells.
    def begin(self, connection):
        self.head = None
        fields = [("host", "discovery"), ("accept", "application/json")]
        connection.write(http.request("GET", discovery.watch_target(self.revision), fields))

    def read(self, connection):
        if self.head is None:
            self.head = http.response_head(connection.buffer, most=discovery.MAX_LINE)
        if self.head is None:
            return
        if self.head.status != 200 or not self.head.chunked:
            return connection.close(f"status_{self.head.status}")
        for text in http.lines(connection.buffer, self.head):
            if (told := discovery.parse_line(text)) is not None:
                self.take(told)
                self.good()
        if self.head.chunked.over:
            connection.close("watch_over")

    def lost(self):
        if self.settings.list_on_request:
            self.decisions.post(self.decisions.on_server_list_failed)
        else:
            super().lost()

    # Its own.
    def take(self, told):
        revision, whole, entries, odd = told
        if revision < self.revision and clock.now() - self.moved_at < CATCHES_UP:
            raise discovery.InvalidList(f"revision {revision} after {self.revision}: no change is undone")
        self.revision = revision
        for what in odd:
            self.log.warning("odd_entry", peer="discovery", what=what)
        lines, zones, gone = [], self.settings.zones, set(self.peers) if whole else set()
        for name, address, build, locality, cell, scale, status, booted in entries:
            gone.discard(name)
            if name not in self.peers:
                if status == ServerStatus.GONE:
                    continue
                self.peers[name] = ServerPeer(name, self.gateway)
            zone = zones.index(locality) if locality in zones else len(zones)
            start = clock.from_unix(booted) if booted else UNKNOWN_START
            peer = self.peers[name]
            entry = ServerEntry(peer.server, build, zone, cell, scale, status, start)
            lines.append((peer, address, entry))
            if status == ServerStatus.GONE:
                del self.peers[name]
        self.decisions.post(
            self.decisions.on_server_list,
            lines,
            whole,
            [self.peers.pop(name) for name in sorted(gone)],
            revision,
        )
        self.log.info("list", revision=self.revision, whole=whole, lines=len(lines), servers=len(self.peers))
