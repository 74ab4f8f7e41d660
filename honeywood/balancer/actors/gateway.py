"""The parts of one front, made and joined; what they share is read only, but for the count of descriptors."""

import socket
from random import Random

from honeywood.balancer.model import SECOND
from honeywood.balancer.protocol import http
from honeywood.balancer.actors.client import Client
from honeywood.balancer.actors.counters import Counters
from honeywood.balancer.actors.decision_host import DecisionHost
from honeywood.balancer.actors.platform import Platform
from honeywood.balancer.actors.roster import Roster
from honeywood.balancer.transport import clock
from honeywood.balancer.transport.descriptors import Descriptors
from honeywood.balancer.transport.listener import Listener
from honeywood.balancer.transport.mailbox import Mailbox

OTHERS = 24  # descriptors of files, the listener and the interpreter
KEPT = 0.4  # share of the descriptors that clients leave to servers, list and platform
FEW = 0.25  # share of them that clients may hold while they are kept between requests
ENDING = 0.1  # a share of them for clients that have come while others still make room
LOOKED_AT = 4  # clients that are looked at, of a kind, to find one that gives way
BASE_MB, CLIENTS_A_MB = 32, 8  # memory of the program without clients; clients in one more, buffers full
ANSWER_A_MB = 8 * 1024  # bytes of a server's answer for each MB of memory, at the most
SWEEP, SERVERS_EVERY = SECOND // 4, 4  # clients that are due are looked for so often; servers more seldom


class Gateway:
    def __init__(self, config, log, fail, recorder=None):
        self.settings, self.log, self.fail, self.recorder = config.settings, log, fail, recorder
        self.ready = self.draining = False
        self.reject_connections_until = 0  # as the decisions have it
        self.random, self.counters = Random(config.settings.seed), Counters()
        self.descriptors = Descriptors(config.sockets - OTHERS)
        self.kept = int(config.sockets * KEPT)  # of those counted, so many are not for clients
        self.most_clients = max(CLIENTS_A_MB, (config.memory_mb - BASE_MB) * CLIENTS_A_MB)
        self.most_answer = max(http.MOST_BODY, config.memory_mb * ANSWER_A_MB)
        self.few = int(config.sockets * FEW)
        self.reserve = int(config.sockets * ENDING)
        # Clients, and by age those that wait for no answer: their last one is written, none was asked for
        # yet, or they are between requests.
        self.clients, self.ending, self.silent, self.idle = set(), {}, {}, {}
        self.sweeps = 0
        self.methods = {method.name: method for method in config.settings.methods}
        self.listener = Listener(config.listen, self.accept, fail)
        self.decisions = DecisionHost(self)
        self.roster = Roster(config.discovery, config.known, self)
        self.platform = Platform(config.platform, self)
        self.decisions.start(config.release)
        self.keeper = Mailbox("keeper", 16, fail)
        self.keeper.post(self.sweep)
        self.keeper.start()
        self.listener.start()

    def accept(self, sock, peer):
        """On the listener's thread, which waits for nothing: a crowd that connects must not hold up the rest.
        At the bound the newcomer is taken all the same, while there is room for the one that gives way to it
        to end."""
        code = "overloaded" if clock.now() < self.reject_connections_until else "no_descriptor"
        if code == "overloaded" or not self.descriptors.take(self.kept - self.reserve):
            refuse(sock)
            return self.log.warning("connection_ended", peer="client", id=peer, code=code)
        client = Client(self, peer)
        full = self.descriptors.free < self.kept or len(self.clients) >= self.most_clients
        roomy = not full or self.make_room()
        self.clients.add(client)
        client.stand(self.silent)
        client.connection.accepted(sock)
        if not roomy:
            client.mailbox.post(client.turn_away)

    def crowded(self):
        """Whether clients hold so much that none is kept after its answer: those who ask once and stay would
        else hold every place that clients may have, and the others find none."""
        return len(self.clients) > self.few

    def make_room(self):
        """Of the clients that wait for no answer one gives way, the one silent for longest; only a few are
        looked at, since in a crowd this is done for each that comes."""
        for group in (self.ending, self.silent, self.idle):
            for client in list(group)[:LOOKED_AT]:
                # One that has asked in this moment is not silent: its bytes have come and are not read.
                if group is self.ending or client.begun or client.connection.stands():
                    group.pop(client, None)  # it is asked once
                    client.mailbox.post(client.make_room)
                    return True
        return False

    def sweep(self):
        """On the keeper's thread: looks for what is due."""
        self.keeper.after(SWEEP, self.sweep)
        for client in list(self.clients):
            if not client.call:
                client.mailbox.post(client.look)
        self.sweeps += 1
        if self.sweeps % SERVERS_EVERY:
            return
        kept = 0
        for peer in list(self.roster.peers.values()):
            kept += len(peer.idle)
            peer.mailbox.post(peer.look)
        self.counters.look(self.log, clients=len(self.clients), kept=kept)

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
    """Says 503 on a connection for which there is no place, without waiting for what it sends."""
    try:
        sock.setblocking(False)
        sock.send(http.response(503, [("retry-after", 1)], keep=False))
        sock.shutdown(socket.SHUT_WR)
        sock.recv(http.MOST_BODY)
    except OSError:
        pass  # nothing came, or it has gone
    sock.close()
