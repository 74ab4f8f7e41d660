"""The parts of one front, made and joined; what they share is read only, but for the count of descriptors."""
import socket
import time
from random import Random

from honeywood.protocol import http
from honeywood.routing.client import Client
from honeywood.routing.module import Module
from honeywood.routing.platform import Platform
from honeywood.routing.roster import Roster
from honeywood.transport.descriptors import Descriptors
from honeywood.transport.listener import Listener

OTHERS = 24                    # descriptors of files, the listener and the interpreter
ROOM_WITHIN = 0.5              # seconds in which an idle client's place is given up,
REFUSED_WITHIN = 0.1           # and in which one that is refused sends what it has to
KEPT = 0.4                     # share of the descriptors that clients leave to servers, list and platform


class Gateway:
    def __init__(self, config, log, fail):
        self.settings, self.log, self.fail = config.settings, log, fail
        self.ready = self.draining = False
        self.random = Random(config.settings.seed)
        self.descriptors = Descriptors(config.sockets - OTHERS)
        self.kept = int(config.sockets * KEPT)  # of those counted, so many are not for clients
        self.clients = set()
        self.methods = {method.name: method for method in config.settings.methods}
        self.listener = Listener(config.listen, self.accept, fail)
        self.module = Module(self)
        self.roster = Roster(config.discovery, config.known, self)
        self.platform = Platform(config.platform, self)
        self.module.start(config.news)
        self.listener.start()

    def accept(self, sock, peer):
        """On the listener's thread."""
        if not self.descriptors.take(self.kept) and not self.make_room():
            refuse(sock)
            return self.log.warning("connection_ended", peer="client", id=peer, code="no_descriptor")
        self.clients.add(Client(self, sock, peer))

    def make_room(self):
        """Ends the client that has been idle longest, if any, and waits a little for its place."""
        idle = [(client.active, id(client), client) for client in list(self.clients)
                if not client.call and not client.begun]
        if idle:
            client = min(idle)[-1]
            self.clients.discard(client)  # asked once: its thread may be held up by a peer that reads nothing
            client.mailbox.post(client.drain, "made_room")
        until = time.monotonic() + ROOM_WITHIN
        while idle and time.monotonic() < until:
            if self.descriptors.take(self.kept):
                return True
            time.sleep(0.005)
        return False

    def move(self, config):
        """List and platform are to be found at other addresses: taken over as the program runs."""
        self.roster.mailbox.post(self.roster.move, config.discovery)
        self.platform.mailbox.post(self.platform.move, config.platform)

    def drain(self):
        """Ends the listener and the connections that are between RPCs; the others end with their answer."""
        self.draining = True
        self.listener.close()
        for client in list(self.clients):
            client.mailbox.post(client.drain)


def refuse(sock):
    """Says 503 on a connection for which there is no place; what it sent is read, else the answer is lost."""
    try:
        sock.settimeout(REFUSED_WITHIN)
        sock.sendall(http.response(503, [("retry-after", 1)], keep=False))
        sock.shutdown(socket.SHUT_WR)
        sock.recv(http.MOST_BODY)
    except OSError:
        pass  # it has gone
    sock.close()
