"""The parts of one balancer, made and joined; what they share is read only, but for the descriptors."""

from __future__ import annotations

import socket
from contextlib import suppress
from random import Random

from honeywood.balancer.actors.client import Client
from honeywood.balancer.actors.counters import Counters
from honeywood.balancer.actors.decision_host import DecisionHost
from honeywood.balancer.actors.platform_client import PlatformClient
from honeywood.balancer.actors.server_directory import ServerDirectory
from honeywood.balancer.model import SECOND
from honeywood.balancer.protocol import http
from honeywood.balancer.transport import clock
from honeywood.balancer.transport.descriptors import Descriptors
from honeywood.balancer.transport.listener import Listener
from honeywood.balancer.transport.mailbox import Mailbox

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Callable
    from typing import Any

    from honeywood.balancer.actors.recording import CallObserver
    from honeywood.balancer.configuration import Configuration


OTHER_DESCRIPTORS = 24  # of files, the listener and the interpreter
RESERVED_SHARE = 0.4  # of the descriptors that clients leave to servers, list and platform
KEEP_ALIVE_SHARE = 0.25  # of them that clients may hold while they are kept between requests
ENDING_SHARE = 0.1  # of them for clients that have come while others still make room
MAX_EVICTION_CANDIDATES = 4  # clients that are looked at, of a group, to find one that gives way
BASE_MEMORY_MB = 32  # of the program without clients
CLIENTS_PER_MB = 8  # with full buffers
ANSWER_BYTES_PER_MB = 8 * 1024  # of a server's answer, at the most
SWEEP_INTERVAL = SECOND // 4  # between looks for clients that are due
SWEEPS_PER_SERVER_SWEEP = 4
MAX_CALLS = 16


class Application:
    """One balancer: its listener, actors and bounds."""

    def __init__(
        self,
        configuration: Configuration,
        log: Any,
        fail: Callable[[str, BaseException], Any],
        recorder: CallObserver | None = None,
    ) -> None:
        """It serves at once. Raises OSError where it cannot listen."""
        sockets, memory_mb = configuration.sockets, configuration.memory_mb
        self.settings, self.log, self.fail, self.recorder = configuration.settings, log, fail, recorder
        self.is_ready = self.is_draining = False
        self.reject_connections_until: float = 0  # as the decisions have it
        self.random, self.counters = Random(self.settings.seed), Counters()
        self.descriptors = Descriptors(sockets - OTHER_DESCRIPTORS)
        self._reserved = int(sockets * RESERVED_SHARE)  # of those counted, so many are not for clients
        self._ending_reserve = int(sockets * ENDING_SHARE)
        self._max_clients = max(CLIENTS_PER_MB, (memory_mb - BASE_MEMORY_MB) * CLIENTS_PER_MB)
        self._max_kept_clients = int(sockets * KEEP_ALIVE_SHARE)
        self.max_answer = max(http.MAX_BODY, memory_mb * ANSWER_BYTES_PER_MB)
        self.clients: set[Client] = set()
        # By age those that wait for no answer: their last one is written, none was asked for yet, or they
        # are between requests.
        self.ending: dict[Client, None] = {}
        self.silent: dict[Client, None] = {}
        self.idle: dict[Client, None] = {}
        self._sweeps = 0
        self.methods = {method.name: method for method in self.settings.methods}
        self.listener = Listener(configuration.listen, self.accept, fail)
        self.decisions = DecisionHost(self)
        self.directory = ServerDirectory(configuration.discovery, configuration.known, self)
        self.platform = PlatformClient(configuration.platform, self)
        self.decisions.start(configuration.release)
        self._keeper = Mailbox("keeper", MAX_CALLS, fail)
        self._keeper.post(self._sweep)
        self._keeper.start()
        self.listener.start()

    def accept(self, sock: socket.socket, peer: str) -> None:
        """Take a client's connection, on the listener's thread.

        It waits for nothing: a crowd that connects must not hold up the rest. At the bound the newcomer is
        taken all the same, while there is room for the one that gives way to it to end.
        """
        overloaded = clock.now() < self.reject_connections_until
        if overloaded or not self.descriptors.take(self._reserved - self._ending_reserve):
            refuse(sock)
            code = "overloaded" if overloaded else "no_descriptor"
            self.log.warning("connection_ended", peer="client", id=peer, code=code)
            return
        client = Client(self, peer)
        full = self.descriptors.free < self._reserved or len(self.clients) >= self._max_clients
        has_place = not full or self._evict_one()
        self.clients.add(client)
        client.join(self.silent)
        client.connection.accept(sock)
        if not has_place:
            client.mailbox.post(client.reject)

    def is_crowded(self) -> bool:
        """Whether clients hold so much that none is kept after its answer.

        Those who ask once and stay would else hold every place that clients may have, and others find none.
        """
        return len(self.clients) > self._max_kept_clients

    def move(self, configuration: Configuration) -> None:
        """List and platform are to be found at other addresses: taken over as the program runs."""
        self.directory.mailbox.post(self.directory.move, configuration.discovery)
        self.platform.mailbox.post(self.platform.move, configuration.platform)

    def drain(self) -> None:
        """End the listener and the connections that are between RPCs; the others end with their answer."""
        self.is_draining = True
        self.listener.close()
        for client in list(self.clients):
            client.mailbox.post(client.drain)

    def _evict_one(self) -> bool:
        """Of the clients that wait for no answer one gives way, the one silent for longest.

        Only a few are looked at, since in a crowd this is done for each that comes.
        """
        for group in (self.ending, self.silent, self.idle):
            for client in list(group)[:MAX_EVICTION_CANDIDATES]:
                # One that has asked in this moment is not silent: its bytes have come and are not read.
                is_ending = group is self.ending
                if is_ending or client.reading_since or client.connection.is_reusable():
                    group.pop(client, None)  # it is asked once
                    client.mailbox.post(client.evict)
                    return True
        return False

    def _sweep(self) -> None:
        """Look for what is due, on the keeper's thread."""
        self._keeper.after(SWEEP_INTERVAL, self._sweep)
        for client in list(self.clients):
            if not client.call:
                client.mailbox.post(client.check_timeouts)
        self._sweeps += 1
        if self._sweeps % SWEEPS_PER_SERVER_SWEEP == 0:
            self._sweep_servers()

    def _sweep_servers(self) -> None:
        kept = 0
        for peer in list(self.directory.peers.values()):
            kept += len(peer.idle)
            peer.mailbox.post(peer.check_timeouts)
        self.counters.report(self.log, clients=len(self.clients), kept=kept)


def refuse(sock: socket.socket) -> None:
    """Say 503 on a connection for which there is no place, without waiting for what it sends."""
    with suppress(OSError):  # nothing came, or it has gone
        sock.setblocking(False)
        sock.send(http.response(503, [("retry-after", 1)], keep_alive=False))
        sock.shutdown(socket.SHUT_WR)
        sock.recv(http.MAX_BODY)
    sock.close()
