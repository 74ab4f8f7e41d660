"""Writes that a peer does not read, and connections for which the system has no thread."""

import socket
import time
import types

from honeywood.balancer.transport import connection
from honeywood.balancer.transport.descriptors import Descriptors
from honeywood.balancer.transport.mailbox import SharedMailbox


def test_unread_writes_are_flushed_by_a_thread_and_limited():
    """A write never blocks; the rest is sent in order as the peer reads, or the connection is closed."""
    codes, (balancer_end, peer_end) = [], socket.socketpair()
    owner = types.SimpleNamespace(on_closed=lambda closed: codes.append(closed.code), on_data=None)
    tested = connection.Connection(owner, SharedMailbox("x", 9, None), Descriptors(1), "peer")
    tested.sock = balancer_end
    balancer_end.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
    pieces = [bytes([n]) * 300_000 for n in range(3)]
    assert all(tested.write(piece) for piece in pieces) and tested.is_flushing
    tested.finish("done")
    received = b""
    while data := peer_end.recv(1 << 20):
        received += data
    assert received == b"".join(pieces)
    until = time.monotonic() + 15
    while tested.is_flushing and time.monotonic() < until:
        time.sleep(0.01)
    tested.is_finishing = False
    tested.code, (tested.sock, peer_end) = None, socket.socketpair()
    while tested.write(pieces[0]):
        pass
    peer_end.close()
    while tested.descriptors.free < 2 and time.monotonic() < until:
        time.sleep(0.01)
    assert codes == ["reads_nothing"] and tested.descriptors.free == 2 and tested.sock.fileno() < 0
    assert not tested.unsent and not tested.buffer.data


def test_a_missing_thread_ends_the_connection_and_not_the_program(monkeypatch):
    """Hundreds of balancers on one system must keep running when its limit of threads is reached."""

    def raise_no_thread(*_):
        raise RuntimeError("can't start new thread")

    monkeypatch.setattr(connection, "run_on_thread", raise_no_thread)
    codes = []
    owner = types.SimpleNamespace(on_closed=lambda closed: codes.append(closed.code), on_open=None)
    descriptors = Descriptors(3)
    descriptors.take()
    dialled = connection.Connection(owner, SharedMailbox("x", 9, None), descriptors, "x")
    dialled.dial(("127.0.0.1", 1), 1)
    assert codes == ["no_thread"] and descriptors.free == 3
