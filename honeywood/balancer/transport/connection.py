"""One connection: a blocking socket and its buffer.

The poller tells when there is something to read, by a call in the mailbox of the owner, who alone reads and
writes: what has come and is not yet used stands in the buffer or in the kernel, nowhere between. It has a
thread only while it is dialled, or does not take what is to be written.
The owner is told opened(connection), received(connection) and, once and last, ended(connection).
"""

import errno
import socket
import struct

from honeywood.balancer.transport.buffer import Buffer
from honeywood.balancer.transport.mailbox import run
from honeywood.balancer.transport.poller import poller

PIECE = 64 * 1024  # bytes read at once
UNREAD = 200 * 1024  # bytes of ours that the kernel keeps for a peer (it counts them twice)
MOST_UNSENT, UNSENT_FOR = 4, 2  # pieces beyond that, with a thread of their own; seconds without any read
NO_THREAD = "no_thread"  # the system had none
MOST_DROPPED = 1024 * 1024  # bytes that are read and dropped, so that a peer still reads our last words


def code_of(wrong):
    """A short code for the reason why a connection ended."""
    if isinstance(wrong, TimeoutError) and wrong.errno is None:
        return "connect_timeout"
    return errno.errorcode.get(wrong.errno, "os_error").lower()


class Connection:
    def __init__(self, owner, mailbox, descriptors, peer):
        self.owner, self.mailbox, self.descriptors, self.peer = owner, mailbox, descriptors, peer
        self.buffer, self.sock, self.code, self.dropped = Buffer(), None, None, 0
        self.address, self.calls = None, ()
        self.unsent, self.flushing, self.finishing = [], False, False
        self.shut = self.over = False  # both ways are closed; it has ended

    def accepted(self, sock):
        self.sock = self.ready(sock)
        poller.watch(self)

    def dial(self, address, within):
        self.address = address
        if not self.run("dial", lambda: self.reach(address, within)):
            self.mailbox.post(self.end, NO_THREAD)

    def run(self, what, call):
        try:
            run(f"{what} {self.peer}", call, self.mailbox.fail)
        except RuntimeError:  # the system has none: no reason to end the program and all its RPCs
            return False
        return True

    def ready(self, sock):
        sock.settimeout(None)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, UNREAD)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDTIMEO, struct.pack("ll", UNSENT_FOR, 0))
        return sock

    def reach(self, address, within):
        """On a thread of its own."""
        try:
            self.sock = self.ready(socket.create_connection(address, timeout=within))
        except OSError as wrong:
            return self.mailbox.post(self.end, code_of(wrong))
        self.mailbox.post(self.opened)

    # On the owner's side.
    def opened(self):
        if self.code:  # closed while it was being dialled
            self.close(self.code)
        else:
            poller.watch(self)
            self.owner.opened(self)

    def readable(self):
        if self.over:
            return
        try:
            some = self.sock.recv(PIECE, socket.MSG_DONTWAIT)
        except BlockingIOError:
            return poller.again(self)
        except OSError as wrong:
            return self.end(code_of(wrong))
        if not some:
            return self.end("closed_by_peer")
        if not self.code:
            self.buffer.add(some)
            self.owner.received(self)
        else:
            self.dropped += len(some)
            if self.dropped > MOST_DROPPED:
                self.close(self.code)
        if not self.over:
            poller.again(self)

    def end(self, code):
        if self.over:
            return
        self.over, self.code = True, self.code or code
        if not self.flushing:  # else flushed() does: what it writes must not meet another connection
            self.release()
        self.owner.ended(self)
        # Who still knows of it holds none of its bytes; and it goes with the last of those, at once.
        self.owner, self.buffer = None, Buffer()

    def release(self):
        if self.sock:
            poller.forget(self)
            self.sock.close()
        self.unsent = []
        self.descriptors.give()

    def stands(self):
        """Whether a kept connection is still open and silent, by what has arrived up to now."""
        try:
            self.sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return not self.code
        except (OSError, AttributeError):
            pass  # it has ended, or was never open
        return False

    def write(self, data):
        """Whether it was written, or is being written: it never waits. A peer that goes on asking and reads
        nothing loses its connection."""
        sent = 0
        try:
            if not self.flushing and not self.shut:
                sent = self.sock.send(data, socket.MSG_DONTWAIT)
        except BlockingIOError:
            pass
        except OSError as wrong:
            self.close(code_of(wrong))
        if len(self.unsent) >= MOST_UNSENT:
            self.close("reads_nothing")
        elif sent < len(data) and not self.shut:
            self.unsent.append(memoryview(data)[sent:])
            self.flush()
        return not self.shut

    def flush(self):
        if not self.flushing:
            self.flushing = self.run("write", self.write_unsent)
            if not self.flushing:
                self.close(NO_THREAD)

    def write_unsent(self):
        """On a thread of its own."""
        code = None
        try:
            while self.unsent:
                self.sock.sendall(self.unsent[0])
                del self.unsent[0]
        except OSError as wrong:
            code = "reads_nothing" if isinstance(wrong, BlockingIOError) else code_of(wrong)
        self.mailbox.post(self.flushed, code)

    def flushed(self, code):
        self.flushing = False
        if self.over:
            self.release()
        elif code:
            self.close(code)
        elif self.unsent:
            self.flush()
        elif self.finishing:
            self.shutdown(socket.SHUT_WR)

    def close(self, code):
        """Ends it for the reason `code` as soon as this call is over: its place is needed now."""
        self.code = self.code or code
        if self.sock and not self.shut:
            self.shut = True
            self.shutdown(socket.SHUT_RDWR)
            self.mailbox.post(self.end, code)

    def finish(self, code):
        """Ends what is written, so that the peer reads all of it; close() is to follow a little later."""
        self.code = self.code or code
        self.finishing = True
        if self.sock and not self.over and not self.flushing:
            self.shutdown(socket.SHUT_WR)

    def shutdown(self, how):
        try:
            self.sock.shutdown(how)
        except OSError:
            pass  # the peer was first
