"""The parts of one front, made and joined; what they share is read only, but for the count of descriptors."""
from random import Random

from honeywood.routing.client import Client
from honeywood.routing.module import Module
from honeywood.routing.platform import PlatformPeer
from honeywood.routing.roster import Roster
from honeywood.transport.descriptors import Descriptors
from honeywood.transport.listener import Listener

OTHERS = 24                    # descriptors of files, the listener and the interpreter
KEPT = 0.4                     # share of the descriptors that clients leave to servers, list and platform


class Gateway:
    def __init__(self, config, log, fail):
        self.settings, self.log, self.fail, self.ready = config.settings, log, fail, False
        self.random = Random(config.settings.seed)
        self.descriptors = Descriptors(config.sockets - OTHERS)
        self.kept = int(config.sockets * KEPT)
        self.clients = set()
        self.methods = {method.name: method for method in config.settings.methods}
        self.listener = Listener(config.listen, self.accept, fail)
        self.module = Module(self)
        self.roster = Roster(config.discovery, config.known, self)
        self.platform = PlatformPeer(config.platform, self)
        self.module.start(config.news)
        self.listener.start()

    def accept(self, sock, peer):
        """On the listener's thread."""
        if not self.descriptors.take(self.kept):
            self.log.warning("connection_ended", peer="client", id=peer, code="no_descriptor")
            return sock.close()
        self.clients.add(Client(self, sock, peer))

    def drain(self):
        self.listener.close()
        for client in list(self.clients):
            client.mailbox.post(client.drain)
