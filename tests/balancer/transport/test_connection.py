"""Writes that a peer does not read, and connections without a thread."""

import socket
import time
import types

from honeywood.balancer.transport import connection
from honeywood.balancer.transport.descriptors import Descriptors
from honeywood.balancer.transport.mailbox import SharedMailbox


def test_what_is_not_read_is_written_apart_and_bounded():
    """A write never waits: the rest goes out as the peer reads, in order; who reads nothing is closed."""
    told, (ours, theirs) = [], socket.socketpair()
    owner = types.SimpleNamespace(on_closed=lambda one: told.append(one.code), on_data=None)
    made = connection.Connection(owner, SharedMailbox("x", 9, None), Descriptors(1), "peer")
    made.sock = ours
    ours.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
    pieces = [bytes([n]) * 300_000 for n in range(3)]
    assert all(made.write(piece) for piece in pieces) and made.is_flushing
    made.finish("done")
    got = b""
    while some := theirs.recv(1 << 20):
        got += some
    assert got == b"".join(pieces)
    until = time.monotonic() + 15
    while made.is_flushing and time.monotonic() < until:
        time.sleep(0.01)
    made.is_finishing = False
    made.code, (made.sock, theirs) = None, socket.socketpair()
    while made.write(pieces[0]):
        pass
    theirs.close()
    while made.descriptors.free < 2 and time.monotonic() < until:
        time.sleep(0.01)
    assert told == ["reads_nothing"] and made.descriptors.free == 2 and made.sock.fileno() < 0
    assert not made.unsent and not made.buffer.data


def test_a_connection_without_a_thread_ends_and_not_the_program(monkeypatch):
    """A system has so many threads: hundreds of fronts on it must not end when there is none left."""

    def none_left(*_):
        raise RuntimeError("can't start new thread")

    monkeypatch.setattr(connection, "run_on_thread", none_left)
    told = []
    owner = types.SimpleNamespace(on_closed=lambda one: told.append(one.code), on_open=None)
    held = Descriptors(3)
    held.take()
    one = connection.Connection(owner, SharedMailbox("x", 9, None), held, "x")
    one.dial(("127.0.0.1", 1), 1)
    assert told == ["no_thread"] and held.free == 3
