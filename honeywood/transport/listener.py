"""Listens at one address and hands on what it accepts."""
import socket

from honeywood.transport.mailbox import run

BACKLOG = 512


class Listener:
    def __init__(self, address, accept, fail):
        self.address, self.accept, self.fail, self.over = address, accept, fail, False
        self.sock = socket.create_server(address, backlog=BACKLOG)  # with SO_REUSEADDR: back at once

    def start(self):
        run("listener", self.loop, self.fail)

    def loop(self):
        while not self.over:
            try:
                sock, peer = self.sock.accept()
            except OSError:
                if self.over:
                    return
                raise
            self.accept(sock, f"{peer[0]}:{peer[1]}")

    def close(self):
        self.over = True
        self.sock.shutdown(socket.SHUT_RDWR)
        self.sock.close()
