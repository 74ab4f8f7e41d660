"""One thread that polls all connections and notifies those that are readable.

With one thread for each open connection, hundreds of balancers that each keep connections to a hundred
servers needed more threads than one system has thread ids (32768), and a balancer that gets no thread cannot
work.
"""

from __future__ import annotations

import _thread
import select

from honeywood.balancer.transport.threads import run_on_thread

TYPE_CHECKING = False
if TYPE_CHECKING:
    from honeywood.balancer.transport.connection import Connection

MAX_EVENTS = 64  # returned by one poll
ONCE = select.EPOLLIN | select.EPOLLONESHOT  # no further event until rearm()


class Poller:
    """Posts `on_readable` to a connection's mailbox, once for each watch() and rearm()."""

    def __init__(self) -> None:
        """Create a poller; its thread starts with the first connection."""
        self._epoll = select.epoll()
        self._watched: dict[int, Connection] = {}  # by descriptor
        self._lock, self._started = _thread.allocate_lock(), False

    def watch(self, connection: Connection) -> None:
        """Watch a connection until forget()."""
        descriptor = connection.sock.fileno()
        # Under the lock: a pending event of the descriptor's last owner must not find it partly registered.
        with self._lock:
            if not self._started:
                run_on_thread("poller", self._loop, connection.mailbox.fail)
                self._started = True
            self._watched[descriptor] = connection
            self._epoll.register(descriptor, ONCE)

    def rearm(self, connection: Connection) -> None:
        """Request the next event, after the available bytes were read."""
        self._epoll.modify(connection.sock.fileno(), ONCE)

    def forget(self, connection: Connection) -> None:
        """Stop watching a connection; call it before its socket is closed, since descriptors are reused."""
        descriptor = connection.sock.fileno()
        with self._lock:
            if self._watched.pop(descriptor, None):
                self._epoll.unregister(descriptor)

    def _loop(self) -> None:
        while True:
            for descriptor, _ in self._epoll.poll(maxevents=MAX_EVENTS):
                # Events of a forgotten connection are ignored. A new connection that reuses the descriptor
                # may get such an event and then finds nothing to read.
                with self._lock:
                    connection = self._watched.get(descriptor)
                if connection:
                    connection.mailbox.post(connection.on_readable)


poller = Poller()
