"""Ports of loopback for tests that listen."""

import socket


def free_port():
    """A TCP port that nothing listens on just now."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]
