"""Ports of loopback for tests that listen."""

import random
import socket

# Below what Linux gives to outgoing connections (32768 and up): these come and go between a look and a bind.
FIRST, LAST = 20_000, 32_000


def free_port():
    """A TCP port that nothing listens on just now, nor on the one after it, where controllers listen too."""
    while True:
        port = random.randrange(FIRST, LAST)
        if _is_free(port) and _is_free(port + 1):
            return port


def _is_free(port):
    with socket.socket() as sock:
        try:
            sock.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True
