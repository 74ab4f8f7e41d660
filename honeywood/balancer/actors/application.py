"""Creates and connects the parts of one balancer.

What the parts share is read-only, except for the count of file descriptors.
"""

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


OTHER_DESCRIPTORS = 24  # used by files, the listener and the interpreter
RESERVED_SHARE = 0.4  # of the sockets limit, reserved for servers, discovery and platform
KEEP_ALIVE_SHARE = 0.25  # of the sockets limit; above it no client is kept alive after its answer
ENDING_SHARE = 0.1  # of the sockets limit, for new clients while evicted ones are still closing
MAX_EVICTION_CANDIDATES = 4  # clients checked per group when one must be evicted
BASE_MEMORY_MB = 32  # used by the program without clients
CLIENTS_PER_MB = 8  # clients with full buffers
ANSWER_BYTES_PER_MB = 8 * 1024  # maximum size of a server's answer per MB of memory
SWEEP_INTERVAL = SECOND // 4  # between two checks of client timeouts
SWEEPS_PER_SERVER_SWEEP = 4
MAX_CALLS = 16


class Application:
    """One balancer: its listener, its actors and its limits."""

    def __init__(
        self,
        configuration: Configuration,
        log: Any,
        fail: Callable[[str, BaseException], Any],
        recorder: CallObserver | None = None,
    ) -> None:
        """Create all parts and start serving at once.

        Raises:
            OSError: the listen address cannot be used.
        """
        sockets, memory_mb = configuration.sockets, configuration.memory_mb
        self.settings, self.log, self.fail, self.recorder = configuration.settings, log, fail, recorder
        self.is_ready = self.is_draining = False
        self.reject_connections_until: float = 0  # copied from the decisions after each request
        self.random, self.counters = Random(self.settings.seed), Counters()
        self.descriptors = Descriptors(sockets - OTHER_DESCRIPTORS)
        self._reserved = int(sockets * RESERVED_SHARE)  # descriptors that clients may not use
        self._ending_reserve = int(sockets * ENDING_SHARE)
        self._max_clients = max(CLIENTS_PER_MB, (memory_mb - BASE_MEMORY_MB) * CLIENTS_PER_MB)
        self._max_keep_alive_clients = int(sockets * KEEP_ALIVE_SHARE)
        self.max_answer = max(http.MAX_BODY, memory_mb * ANSWER_BYTES_PER_MB)
        self.clients: set[Client] = set()
        # Clients that wait for no answer, oldest first: `ending` after their last answer was written,
        # `silent` before their first request, `idle` between requests.
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
        self._sweep_mailbox = Mailbox("keeper", MAX_CALLS, fail)
        self._sweep_mailbox.post(self._sweep)
        self._sweep_mailbox.start()
        self.listener.start()

    def accept(self, sock: socket.socket, peer: str) -> None:
        """Accept a client's connection; runs on the listener's thread.

        It never blocks: many clients that connect at once must not delay the others. At the limit a new
        client is still accepted, while enough descriptors are left until the evicted client has closed.
        """
        overloaded = clock.now() < self.reject_connections_until
        if overloaded or not self.descriptors.take(self._reserved - self._ending_reserve):
            refuse(sock)
            code = "overloaded" if overloaded else "no_descriptor"
            self.log.warning("connection_ended", peer="client", id=peer, code=code)
            return
        client = Client(self, peer)
        full = self.descriptors.free < self._reserved or len(self.clients) >= self._max_clients
        has_room = not full or self._evict_one()
        self.clients.add(client)
        client.set_eviction_group(self.silent)
        client.connection.accept(sock)
        if not has_room:
            client.mailbox.post(client.reject)

    def is_crowded(self) -> bool:
        """Whether there are so many clients that none is kept alive after its answer.

        Otherwise clients that send one request and stay connected could use up all client connections, and
        new clients would be rejected.
        """
        return len(self.clients) > self._max_keep_alive_clients

    def change_addresses(self, configuration: Configuration) -> None:
        """Use the new addresses of discovery and the platform without a restart."""
        self.directory.mailbox.post(self.directory.change_address, configuration.discovery)
        self.platform.mailbox.post(self.platform.change_address, configuration.platform)

    def drain(self) -> None:
        """Close the listener and the connections between RPCs; the others close after their answer."""
        self.is_draining = True
        self.listener.close()
        for client in list(self.clients):
            client.mailbox.post(client.drain)

    def _evict_one(self) -> bool:
        """Evict the longest-inactive client that waits for no answer; return whether one was found.

        Only a few clients are checked, since at the limit this runs for each new connection.
        """
        for group in (self.ending, self.silent, self.idle):
            for client in list(group)[:MAX_EVICTION_CANDIDATES]:
                # A client with bytes that have arrived but are not yet read may just have sent a request.
                is_ending = group is self.ending
                if is_ending or client.reading_since or client.connection.is_reusable():
                    group.pop(client, None)  # each client is evicted only once
                    client.mailbox.post(client.evict)
                    return True
        return False

    def _sweep(self) -> None:
        """Have clients and servers check their timeouts; runs on the thread of _sweep_mailbox."""
        self._sweep_mailbox.after(SWEEP_INTERVAL, self._sweep)
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
    """Answer 503 on a connection that is not accepted, without waiting for its request, and close it."""
    with suppress(OSError):  # nothing has arrived yet, or the peer has closed the connection
        sock.setblocking(False)
        sock.send(http.response(503, [("retry-after", 1)], keep_alive=False))
        sock.shutdown(socket.SHUT_WR)
        sock.recv(http.MAX_BODY)
    sock.close()
