"""The one thread that waits for what comes on all connections, and says to each when something has.

A thread for each connection that is kept would do, but hundreds of fronts that keep some to each of a hundred
servers had more threads than one system has ids for (32768), and a front that gets none can't go on.
"""

import _thread
import select

from honeywood.balancer.transport.mailbox import run

AT_ONCE = 64  # events taken at once
ONCE = select.EPOLLIN | select.EPOLLONESHOT  # nothing more is told until what had come is read


class Poller:
    def __init__(self):
        self.epoll, self.waiting, self.lock, self.started = select.epoll(), {}, _thread.allocate_lock(), False

    def watch(self, connection):
        """From now on until forget() `connection.readable` is posted to its mailbox once something has come,
        and after again() once more."""
        fd = connection.sock.fileno()
        # As one step: an event of the number's last owner, taken before, must not find it half registered.
        with self.lock:
            if not self.started:
                run("poller", self.loop, connection.mailbox.fail)
                self.started = True
            self.waiting[fd] = connection
            self.epoll.register(fd, ONCE)

    def again(self, connection):
        self.epoll.modify(connection.sock.fileno(), ONCE)

    def forget(self, connection):
        """To be called before its socket is closed: its number may then be another's at once."""
        fd = connection.sock.fileno()
        with self.lock:
            if self.waiting.pop(fd, None):
                self.epoll.unregister(fd)

    def loop(self):
        while True:
            for fd, _ in self.epoll.poll(maxevents=AT_ONCE):
                # Of one that has gone meanwhile nothing is told; one that has got its number finds nothing.
                with self.lock:
                    connection = self.waiting.get(fd)
                if connection:
                    connection.mailbox.post(connection.readable)


poller = Poller()
