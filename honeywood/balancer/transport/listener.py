"""Listens at one address and passes on the connections that it accepts."""

from __future__ import annotations

import errno
import socket
import time

from honeywood.balancer.transport.threads import run_on_thread

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Callable
    from typing import Any

# The connection was aborted, or there is no descriptor or memory for it; the listener continues.
TRANSIENT_ERRORS = errno.ECONNABORTED, errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM
BACKLOG = 128  # in a longer queue, clients give up before they are accepted and still cost as much
POLL_INTERVAL_S = 0.05  # between checks of whether it is closed


class Listener:
    """Calls accept(sock, peer) for each connection, on a separate thread."""

    def __init__(
        self,
        address: tuple[str, int],
        accept: Callable[[socket.socket, str], Any],
        fail: Callable[[str, BaseException], Any],
    ) -> None:
        """Listen at once; start() begins to accept. Raises OSError."""
        self._accept, self._fail, self._closed, self.ended = accept, fail, False, False
        # create_server() sets SO_REUSEADDR, so that a restarted program can listen at once.
        self._socket = socket.create_server(address, backlog=BACKLOG)

    def start(self) -> None:
        """Start to accept connections."""
        run_on_thread("listener", self._loop, self._fail)

    def close(self) -> None:
        """Stop after the connections that are established by now are accepted."""
        self._closed = True

    def _loop(self) -> None:
        """Accept until closed, then the connections already queued, even if more keep arriving."""
        self._socket.settimeout(POLL_INTERVAL_S)
        while not self._closed:
            self._accept_one()
        self._socket.settimeout(0)
        for _ in range(BACKLOG):
            if not self._accept_one():
                break
        self._socket.close()
        self.ended = True

    def _accept_one(self) -> bool:
        """Accept one connection; return whether more may be waiting."""
        try:
            accepted, peer = self._socket.accept()
        except (TimeoutError, BlockingIOError):
            return False
        except OSError as error:
            if error.errno not in TRANSIENT_ERRORS:
                raise
            time.sleep(POLL_INTERVAL_S)
            return True
        self._accept(accepted, f"{peer[0]}:{peer[1]}")
        return True
