"""Free loopback ports for tests that open listeners."""

import random
import socket

# Below the ports that Linux assigns to outgoing connections (32768 and up): one of those could be taken
# between the check and the bind.
FIRST_PORT, LAST_PORT = 20_000, 32_000


def free_port():
    """Returns a TCP port that is free together with the next one, on which controllers listen too."""
    while True:
        port = random.randrange(FIRST_PORT, LAST_PORT)
        if _is_free(port) and _is_free(port + 1):
            return port


def _is_free(port):
    with socket.socket() as sock:
        try:
            sock.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True
