"""One connection: a blocking socket and its buffer.

The poller tells when there is something to read, by a call in the mailbox of the owner, who alone reads and
writes: what has come and is not yet used stands in the buffer or in the kernel, nowhere between. It has a
thread only while it is dialled, or while its peer does not take what is to be written.
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
        """Is told by calls in its mailbox."""

        def on_open(self, connection: Any) -> None:
            """It was dialled and stands."""

        def on_data(self, connection: Any) -> None:
            """Something has come into its buffer."""

        def on_closed(self, connection: Any) -> None:
            """It has ended, for the reason `connection.code`; the last call."""


READ_SIZE = 64 * 1024  # bytes read at once
KERNEL_BUFFER = 200 * 1024  # unread bytes of ours that the kernel keeps for a peer (it counts them twice)
MAX_UNSENT = 4  # writes beyond that, which a thread of their own makes
WRITE_TIMEOUT_S = 2  # in which the peer reads nothing
MAX_DISCARDED = 1024 * 1024  # bytes that are read and dropped, so that a peer still reads our last words
NO_THREAD = "no_thread"  # the system had none


def code_of(error: OSError) -> str:
    """A short code for the reason why a connection ended."""
    if isinstance(error, TimeoutError) and error.errno is None:
        return "connect_timeout"
    return errno.errorcode.get(error.errno or 0, "os_error").lower()


class Connection:
    """`code` says why it ended or is about to; None while it does not."""

    def __init__(
        self, owner: Owner, mailbox: Mailbox | SharedMailbox, descriptors: Descriptors, peer: str
    ) -> None:
        """One of `descriptors` was taken for it; it is given back at its end."""
        self.owner: Owner | None = owner
        self.mailbox, self.descriptors, self.peer = mailbox, descriptors, peer
        self.buffer = Buffer()
        self.sock: Any = None  # a socket.socket once there is one
        self.code: str | None = None
        self.address: tuple[str, int] | None = None  # that it was dialled to
        self.is_flushing = self.is_finishing = False
        self._discarded = 0  # bytes read after it was to end
        self.unsent: list[memoryview] = []
        self.is_shut = False  # both ways are closed
        self.has_ended = False

    def accept(self, sock: socket.socket) -> None:
        """Begin with a socket that was accepted."""
        self.sock = self._configured(sock)
        poller.watch(self)

    def dial(self, address: tuple[str, int], timeout_s: float) -> None:
        """Connect; the owner is told on_open, or on_closed."""
        self.address = address
        if not self._run("dial", lambda: self._connect(address, timeout_s)):
            self.mailbox.post(self._end, NO_THREAD)

    def is_reusable(self) -> bool:
        """Whether a kept connection still stands and nothing has come on it, as far as it has arrived."""
        try:
            self.sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return not self.code
        except (OSError, AttributeError):
            pass  # it has ended, or was never open
        return False

    def write(self, data: bytes) -> bool:
        """Whether it was written, or is being written: it never waits.

        A peer that goes on asking and reads nothing loses its connection.
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
        """End it for a reason as soon as this call is over: its place is needed now."""
        self.code = self.code or code
        if self.sock and not self.is_shut:
            self.is_shut = True
            self._shutdown(socket.SHUT_RDWR)
            self.mailbox.post(self._end, code)

    def finish(self, code: str) -> None:
        """End what is written, so that the peer reads all of it; close() is to follow a little later."""
        self.code = self.code or code
        self.is_finishing = True
        if self.sock and not self.has_ended and not self.is_flushing:
            self._shutdown(socket.SHUT_WR)

    def on_readable(self) -> None:
        """What the poller posts."""
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

    def _run(self, what: str, call: Callable[[], Any]) -> bool:
        """Make a call on a thread; False where the system has none: no reason to end the program."""
        try:
            run_on_thread(f"{what} {self.peer}", call, self.mailbox.fail)
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
        """On a thread of its own."""
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
        if not self.is_flushing:  # else _on_flushed() does: what it writes must not meet another connection
            self._release()
        if self.owner:
            self.owner.on_closed(self)
        # Who still knows of it holds none of its bytes; and it goes with the last of those, at once.
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
        """On a thread of its own."""
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
        with suppress(OSError):  # the peer was first
            self.sock.shutdown(how)
