"""Listens at one address and hands on what it accepts."""
import socket

from honeywood.transport.mailbox import run

BACKLOG, LOOK = 512, 0.05  # connections that wait to be accepted; seconds between looks at `over`


class Listener:
    def __init__(self, address, accept, fail):
        self.accept, self.fail, self.over, self.ended = accept, fail, False, False
        self.sock = socket.create_server(address, backlog=BACKLOG)  # with SO_REUSEADDR: back at once

    def start(self):
        run("listener", self.loop, self.fail)

    def loop(self):
        """Ends when it is told to and what had connected by then is accepted."""
        self.sock.settimeout(LOOK)
        while True:
            over = self.over
            try:
                sock, peer = self.sock.accept()
            except TimeoutError:
                if over:
                    break
            else:
                self.accept(sock, f"{peer[0]}:{peer[1]}")
        self.sock.close()
        self.ended = True

    def close(self):
        self.over = True
