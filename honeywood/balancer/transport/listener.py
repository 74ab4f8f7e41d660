"""Listens at one address and hands on what it accepts."""

from __future__ import annotations

import errno
import socket
import time

from honeywood.balancer.transport.threads import run_on_thread

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Callable
    from typing import Any

# The connection is gone again, or there is no descriptor or memory for it: not the listener's end.
TRANSIENT_ERRORS = errno.ECONNABORTED, errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM
BACKLOG = 128  # more would be accepted when their clients have left, and cost as much
POLL_INTERVAL_S = 0.05  # between looks at whether it is closed


class Listener:
    """Calls accept(sock, peer) on a thread of its own."""

    def __init__(
        self,
        address: tuple[str, int],
        accept: Callable[[socket.socket, str], Any],
        fail: Callable[[str, BaseException], Any],
    ) -> None:
        """Listens at once. Raises OSError."""
        self._accept, self._fail, self._closed, self.ended = accept, fail, False, False
        self._socket = socket.create_server(address, backlog=BACKLOG)  # with SO_REUSEADDR: back at once

    def start(self) -> None:
        """Begin to accept."""
        run_on_thread("listener", self._loop, self._fail)

    def close(self) -> None:
        """Accept what has connected by now, and end."""
        self._closed = True

    def _loop(self) -> None:
        """Ends when it is closed and what had connected by then is accepted, even while more come."""
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
        """Whether there may be more."""
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
