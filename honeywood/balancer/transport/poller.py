"""The one thread that waits for what comes on all connections, and tells each when something has.

A thread for each connection that is kept would do, but hundreds of balancers that keep some to each of a
hundred servers had more threads than one system has ids for (32768), and a balancer that gets none cannot go
on.
"""

from __future__ import annotations

import _thread
import select

from honeywood.balancer.transport.threads import run_on_thread

TYPE_CHECKING = False
if TYPE_CHECKING:
    from honeywood.balancer.transport.connection import Connection

MAX_EVENTS = 64  # taken at once
ONCE = select.EPOLLIN | select.EPOLLONESHOT  # nothing more is told until what had come is read


class Poller:
    """Posts `on_readable` to a connection's mailbox, once for each watch() and rearm()."""

    def __init__(self) -> None:
        """Its thread starts with the first connection."""
        self._epoll = select.epoll()
        self._watched: dict[int, Connection] = {}  # by descriptor
        self._lock, self._started = _thread.allocate_lock(), False

    def watch(self, connection: Connection) -> None:
        """Watch a connection until forget()."""
        descriptor = connection.sock.fileno()
        # As one step: an event of the number's last owner, taken before, must not find it half registered.
        with self._lock:
            if not self._started:
                run_on_thread("poller", self._loop, connection.mailbox.fail)
                self._started = True
            self._watched[descriptor] = connection
            self._epoll.register(descriptor, ONCE)

    def rearm(self, connection: Connection) -> None:
        """Tell once more: what had come is read."""
        self._epoll.modify(connection.sock.fileno(), ONCE)

    def forget(self, connection: Connection) -> None:
        """To be called before its socket is closed: its number may then be another's at once."""
        descriptor = connection.sock.fileno()
        with self._lock:
            if self._watched.pop(descriptor, None):
                self._epoll.unregister(descriptor)

    def _loop(self) -> None:
        while True:
            for descriptor, _ in self._epoll.poll(maxevents=MAX_EVENTS):
                # Of one that has gone meanwhile nothing is told; one that has got its number finds nothing.
                with self._lock:
                    connection = self._watched.get(descriptor)
                if connection:
                    connection.mailbox.post(connection.on_readable)


poller = Poller()
