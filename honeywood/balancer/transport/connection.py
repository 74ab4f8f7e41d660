"""One connection: a blocking socket and its receive buffer.

When the socket is readable, the poller posts a call to the mailbox of the connection's owner. Only calls in
that mailbox read and write, so received bytes that are not processed yet are either in the buffer or in the
kernel. A connection uses a thread only while it is being dialled, or while its peer does not read what is
to be written.
"""

from __future__ import annotations

import errno
import socket
import struct
from contextlib import suppress

from honeywood.balancer.transport.buffer import Buffer
from honeywood.balancer.transport.poller import poller
from honeywood.balancer.transport.threads import run_on_thread

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Callable
    from typing import Any, Protocol

    from honeywood.balancer.transport.descriptors import Descriptors
    from honeywood.balancer.transport.mailbox import Mailbox, SharedMailbox

    class Owner(Protocol):
        """The actor that a connection belongs to; these methods are called in its mailbox."""

        def on_open(self, connection: Any) -> None:
            """A dialled connection is established."""

        def on_data(self, connection: Any) -> None:
            """Bytes have been added to the connection's buffer."""

        def on_closed(self, connection: Any) -> None:
            """The connection has ended for the reason `connection.code`; this is the last call."""


READ_SIZE = 64 * 1024  # bytes read at once
# Send buffer: unread bytes that the kernel keeps for a peer. The kernel doubles the value.
KERNEL_BUFFER = 200 * 1024
MAX_UNSENT = 4  # writes that do not fit into the send buffer and are left to a thread
WRITE_TIMEOUT_S = 2  # without the peer reading any byte
MAX_DISCARDED = 1024 * 1024  # bytes read and discarded so that the peer can still read the last answer
NO_THREAD = "no_thread"  # code: the system could not start a thread


def code_of(error: OSError) -> str:
    """A short code, for logs, of the error that ended a connection."""
    if isinstance(error, TimeoutError) and error.errno is None:
        return "connect_timeout"
    return errno.errorcode.get(error.errno or 0, "os_error").lower()


class Connection:
    """A TCP connection; `code` is the reason why it has ended or is ending, None otherwise."""

    def __init__(
        self, owner: Owner, mailbox: Mailbox | SharedMailbox, descriptors: Descriptors, peer: str
    ) -> None:
        """Create a connection; the caller has taken one of `descriptors`, which is released at its end."""
        self.owner: Owner | None = owner
        self.mailbox, self.descriptors, self.peer = mailbox, descriptors, peer
        self.buffer = Buffer()
        self.sock: Any = None  # a socket.socket once it is accepted or connected
        self.code: str | None = None
        self.address: tuple[str, int] | None = None  # that was dialled
        self.is_flushing = self.is_finishing = False
        self._discarded = 0  # bytes read and discarded while the connection was ending
        self.unsent: list[memoryview] = []
        self.is_shut = False  # both directions are shut down
        self.has_ended = False

    def accept(self, sock: socket.socket) -> None:
        """Start with an accepted socket."""
        self.sock = self._configured(sock)
        poller.watch(self)

    def dial(self, address: tuple[str, int], timeout_s: float) -> None:
        """Connect; then on_open or on_closed of the owner is called."""
        self.address = address
        if not self._run("dial", lambda: self._connect(address, timeout_s)):
            self.mailbox.post(self._end, NO_THREAD)

    def is_reusable(self) -> bool:
        """Whether an idle connection is still open and no byte has arrived on it so far."""
        try:
            self.sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return not self.code
        except (OSError, AttributeError):
            pass  # it has ended or was never open
        return False

    def write(self, data: bytes) -> bool:
        """Write without blocking; a thread writes what does not fit into the kernel's send buffer.

        The connection of a peer that keeps sending requests and reads nothing is closed.

        Returns:
            Whether the data was written or will be written.
        """
        sent = 0
        try:
            if not self.is_flushing and not self.is_shut:
                sent = self.sock.send(data, socket.MSG_DONTWAIT)
        except BlockingIOError:
            pass
        except OSError as error:
            self.close(code_of(error))
        if len(self.unsent) >= MAX_UNSENT:
            self.close("reads_nothing")
        elif sent < len(data) and not self.is_shut:
            self.unsent.append(memoryview(data)[sent:])
            self._flush()
        return not self.is_shut

    def close(self, code: str) -> None:
        """Close the connection for a reason, immediately after the current call of the mailbox."""
        self.code = self.code or code
        if self.sock and not self.is_shut:
            self.is_shut = True
            self._shutdown(socket.SHUT_RDWR)
            self.mailbox.post(self._end, code)

    def finish(self, code: str) -> None:
        """Shut down the sending direction so that the peer reads everything; the caller closes it later."""
        self.code = self.code or code
        self.is_finishing = True
        if self.sock and not self.has_ended and not self.is_flushing:
            self._shutdown(socket.SHUT_WR)

    def on_readable(self) -> None:
        """Read what has arrived; posted by the poller."""
        if self.has_ended:
            return
        try:
            data = self.sock.recv(READ_SIZE, socket.MSG_DONTWAIT)
        except BlockingIOError:
            poller.rearm(self)
            return
        except OSError as error:
            self._end(code_of(error))
            return
        if not data:
            self._end("closed_by_peer")
            return
        if not self.code and self.owner:
            self.buffer.add(data)
            self.owner.on_data(self)
        else:
            self._discard(data)
        if not self.has_ended:
            poller.rearm(self)

    def _discard(self, data: bytes) -> None:
        self._discarded += len(data)
        if self._discarded > MAX_DISCARDED and self.code:
            self.close(self.code)

    def _run(self, purpose: str, call: Callable[[], Any]) -> bool:
        """Run a call on a thread; False if the system has none, which must not end the program."""
        try:
            run_on_thread(f"{purpose} {self.peer}", call, self.mailbox.fail)
        except RuntimeError:
            return False
        return True

    @staticmethod
    def _configured(sock: socket.socket) -> socket.socket:
        sock.settimeout(None)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, KERNEL_BUFFER)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDTIMEO, struct.pack("ll", WRITE_TIMEOUT_S, 0))
        return sock

    def _connect(self, address: tuple[str, int], timeout_s: float) -> None:
        """Connect; runs on a separate thread."""
        try:
            self.sock = self._configured(socket.create_connection(address, timeout=timeout_s))
        except OSError as error:
            return self.mailbox.post(self._end, code_of(error))
        return self.mailbox.post(self._on_connected)

    def _on_connected(self) -> None:
        if self.code:  # closed while it was being dialled
            self.close(self.code)
        elif self.owner:
            poller.watch(self)
            self.owner.on_open(self)

    def _end(self, code: str) -> None:
        if self.has_ended:
            return
        self.has_ended, self.code = True, self.code or code
        # While a thread writes, the descriptor must not be reused by another connection: _on_flushed() then
        # releases it.
        if not self.is_flushing:
            self._release()
        if self.owner:
            self.owner.on_closed(self)
        # Remaining references to it keep no buffer alive and form no cycle: it is freed with the last one.
        self.owner, self.buffer = None, Buffer()

    def _release(self) -> None:
        if self.sock:
            poller.forget(self)
            self.sock.close()
        self.unsent = []
        self.descriptors.release()

    def _flush(self) -> None:
        if not self.is_flushing:
            self.is_flushing = self._run("write", self._write_unsent)
            if not self.is_flushing:
                self.close(NO_THREAD)

    def _write_unsent(self) -> None:
        """Write everything in `unsent`; runs on a separate thread."""
        code = None
        try:
            while self.unsent:
                self.sock.sendall(self.unsent[0])
                del self.unsent[0]
        except OSError as error:
            code = "reads_nothing" if isinstance(error, BlockingIOError) else code_of(error)
        self.mailbox.post(self._on_flushed, code)

    def _on_flushed(self, code: str | None) -> None:
        self.is_flushing = False
        if self.has_ended:
            self._release()
        elif code:
            self.close(code)
        elif self.unsent:
            self._flush()
        elif self.is_finishing:
            self._shutdown(socket.SHUT_WR)

    def _shutdown(self, how: int) -> None:
        with suppress(OSError):  # the peer has already closed it
            self.sock.shutdown(how)
