"""One connection: a blocking socket, its buffer, and the thread that reads it.

The thread hands all it reads to the mailbox of the owner, who alone touches buffer and socket otherwise. The
owner is told opened(connection), received(connection) and, once and last, ended(connection).
"""
import errno
import socket
import struct
import threading

from honeywood.transport.buffer import Buffer
from honeywood.transport.mailbox import run

PIECE, PIECES = 16 * 1024, 4  # bytes read at once, and pieces read ahead of the owner
WRITE_WITHIN = 2              # seconds for which a peer may refuse to take what is written to it


def code_of(wrong):
    """A short code for the reason why a connection ended."""
    if isinstance(wrong, TimeoutError) and wrong.errno is None:
        return "connect_timeout"
    return errno.errorcode.get(wrong.errno, "os_error").lower()


class Connection:
    def __init__(self, owner, mailbox, descriptors, peer):
        self.owner, self.mailbox, self.descriptors, self.peer = owner, mailbox, descriptors, peer
        self.buffer, self.sock, self.code, self.over = Buffer(), None, None, False
        self.address, self.calls = None, ()
        self.ahead = threading.Semaphore(PIECES)

    def accepted(self, sock):
        self.sock = self.ready(sock)
        run(f"read {self.peer}", self.read, self.mailbox.fail)

    def dial(self, address, within):
        self.address = address
        run(f"dial {self.peer}", lambda: self.read(address, within), self.mailbox.fail)

    def ready(self, sock):
        sock.settimeout(None)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDTIMEO, struct.pack("ll", WRITE_WITHIN, 0))
        return sock

    # On the thread that reads.
    def read(self, address=None, within=None):
        code = "closed_by_peer"
        try:
            if address:
                self.sock = self.ready(socket.create_connection(address, timeout=within))
                self.mailbox.post(self.opened)
            while self.ahead.acquire() and (some := self.sock.recv(PIECE)):
                self.mailbox.post(self.received, some)
        except OSError as wrong:
            code = code_of(wrong)
        self.mailbox.post(self.ended, code)

    # On the owner's thread.
    def opened(self):
        if self.code:  # closed while it was being dialled
            self.close(self.code)
        else:
            self.owner.opened(self)

    def received(self, some):
        if not self.code:
            self.buffer.add(some)
            self.owner.received(self)
        self.ahead.release()

    def ended(self, code):
        self.over, self.code = True, self.code or code
        if self.sock:
            self.sock.close()
        self.descriptors.give()
        self.owner.ended(self)

    def stands(self):
        """Whether a kept connection is still open and silent, by what has arrived up to now."""
        try:
            self.sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return not self.code
        except OSError:
            pass
        return False

    def write(self, data):
        """Whether all of it was written; a connection on which it was not has ended."""
        try:
            self.sock.sendall(data)
            return True
        except OSError as wrong:
            self.close("write_timeout" if isinstance(wrong, BlockingIOError) else code_of(wrong))
            return False

    def close(self, code, how=socket.SHUT_RDWR):
        """Ends it for the reason `code`; the thread that reads wakes up and has the rest done."""
        self.code = self.code or code
        if self.sock and not self.over:
            try:
                self.sock.shutdown(how)
            except OSError:
                pass  # the peer was first

    def finish(self, code, linger):
        """Ends what is written, so that the peer reads all of it, and the rest a little later."""
        self.close(code, socket.SHUT_WR)
        self.mailbox.after(linger, self.close, code)
