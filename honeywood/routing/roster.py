"""The list of servers: watches discovery, and knows the peer behind each id."""
from honeywood.interface import GONE, LONG_AGO, SECOND
from honeywood.protocol import discovery, http
from honeywood.routing.server import ServerPeer
from honeywood.transport import clock
from honeywood.transport.connection import Connection
from honeywood.transport.mailbox import Mailbox

SILENT = 10 * SECOND           # discovery signs every 2 s
FIRST_WAIT, LONGEST_WAIT = SECOND // 10, 5 * SECOND


class Roster:
    def __init__(self, address, known, gateway):
        self.address, self.gateway, self.module = address, gateway, gateway.module
        self.settings, self.log, self.random = gateway.settings, gateway.log, gateway.random
        self.mailbox = Mailbox("list", 256, gateway.fail)
        self.peers, self.revision, self.wanted = {}, 0, not self.settings.must_ask
        self.connection, self.head, self.wait, self.heard = None, None, FIRST_WAIT, clock.now()
        self.take(discovery.members(known))
        self.mailbox.start()
        if self.wanted:
            self.mailbox.post(self.dial)
        self.mailbox.post(self.look)

    def watch(self):
        """The module asks for the list, where it must be asked for."""
        self.dial()

    def dial(self):
        if self.connection:
            return None
        if not self.gateway.descriptors.take():
            return self.mailbox.after(LONGEST_WAIT, self.dial)
        self.head = None
        self.connection = Connection(self, self.mailbox, self.gateway.descriptors, "discovery")
        self.connection.dial(self.address, 1.0)

    def flagged(self, name, method):
        """The platform tells of a wrong answer of the server with this id."""
        if name in self.peers:
            self.module.post(self.module.found_wrong, self.peers[name].server, method)

    # What its connection tells.
    def opened(self, connection):
        self.heard = clock.now()
        fields = [("host", "discovery"), ("accept", "application/json")]
        connection.write(http.request("GET", discovery.target(self.revision), fields))

    def received(self, connection):
        self.heard = clock.now()
        try:
            if self.head is None:
                self.head = http.response_head(connection.buffer, most=discovery.MOST_LINE)
            if self.head is None:
                return
            if self.head.status != 200 or not self.head.chunked:
                return connection.close(f"status_{self.head.status}")
            for text in http.lines(connection.buffer, self.head):
                if (told := discovery.line(text)) is not None:
                    self.take(told)
                    self.wait = FIRST_WAIT
            if self.head.chunked.over:
                connection.close("watch_over")
        except (http.Malformed, discovery.BadList) as bad:
            self.log.warning("unreadable_list", peer="discovery", what=str(bad))
            connection.close("unreadable_list")

    def ended(self, connection):
        self.log.info("connection_ended", peer="discovery", id=self.address[0], code=connection.code)
        self.connection = None
        if self.wanted:
            self.mailbox.after(int(self.wait * (0.5 + self.random.random())), self.dial)
            self.wait = min(LONGEST_WAIT, self.wait * 2)
        else:
            self.module.post(self.module.list_failed)

    # Its own.
    def take(self, told):
        self.revision, whole, entries, odd = told
        for what in odd:
            self.log.warning("odd_entry", peer="discovery", what=what)
        lines = []
        for name, address, build, locality, cell, scale, status, booted in entries:
            peer = self.peers.get(name)
            if peer is None:
                if status == GONE:
                    continue
                peer = self.peers[name] = ServerPeer(name, self.gateway)
            zones = self.settings.zones
            zone = zones.index(locality) if locality in zones else len(zones)
            lines.append((peer.server, build, zone, cell, scale, status,
                          clock.from_unix(booted) if booted else LONG_AGO, address))
            if status == GONE:
                del self.peers[name]
        if whole:
            named = {name for name, *_ in entries}
            for name in [n for n in self.peers if n not in named]:
                lines.append((self.peers.pop(name).server, None, None, None, None, GONE, None, None))
        self.module.post(self.module.listed, lines, whole)
        self.log.info("list", revision=self.revision, whole=whole, lines=len(lines), servers=len(self.peers))

    def look(self):
        if self.connection and not self.connection.code and clock.now() - self.heard > SILENT:
            self.connection.close("silent")
        self.mailbox.after(SECOND, self.look)
