"""Listens at one address and hands on what it accepts."""

import errno
import socket
import time

from honeywood.balancer.transport.mailbox import run

PASSING = errno.ECONNABORTED, errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM
# Connections that wait to be accepted (more would be taken when their clients have left, and cost as much);
# seconds between looks at `over`.
BACKLOG, LOOK = 128, 0.05


class Listener:
    """Calls accept(sock, peer)."""

    def __init__(self, address, accept, fail):
        self.accept, self.fail, self.over, self.ended = accept, fail, False, False
        self.sock = socket.create_server(address, backlog=BACKLOG)  # with SO_REUSEADDR: back at once

    def start(self):
        run("listener", self.loop, self.fail)

    def loop(self):
        """Ends when it is told to and what had connected by then is accepted, even while more come."""
        self.sock.settimeout(LOOK)
        while not self.over:
            self.one()
        self.sock.settimeout(0)
        for _ in range(BACKLOG):
            if not self.one():
                break
        self.sock.close()
        self.ended = True

    def one(self):
        try:
            sock, peer = self.sock.accept()
        except (TimeoutError, BlockingIOError):
            return False
        except OSError as wrong:  # one that is gone again, or no descriptor: not the listener's end
            if wrong.errno not in PASSING:
                raise
            time.sleep(LOOK)
            return True
        self.accept(sock, f"{peer[0]}:{peer[1]}")
        return True

    def close(self):
        self.over = True
