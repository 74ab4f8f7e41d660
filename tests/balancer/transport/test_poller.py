"""Events of descriptors that change owners."""

import socket
import threading
import time

from honeywood.balancer.transport import connection, poller
from honeywood.balancer.transport.descriptors import Descriptors
from honeywood.balancer.transport.mailbox import SharedMailbox


def test_an_event_of_a_numbers_last_owner_finds_nothing_half_registered(monkeypatch):
    """The poller takes many events at once; a connection that ends while the first are told gives its number
    to the next one accepted. Its event, told while that one is being registered, ended the program."""
    made, told = poller.Poller(), []
    made._started = True
    monkeypatch.setattr(connection, "poller", made)
    real, events = made._epoll, threading.Event()

    class Slow:
        def poll(self, maxevents):
            if events.is_set():
                time.sleep(0.01)
                return []
            events.set()
            return [(ours.fileno(), 1)]

        def register(self, fd, what):
            thread = threading.Thread(target=looped, daemon=True)
            thread.start()  # it has the stale event, and looks whose it is
            events.wait(5)
            thread.join(0.1)
            real.register(fd, what)

        def modify(self, fd, what):
            real.modify(fd, what)

    def looped():
        try:
            made._loop()
        except OSError as wrong:
            told.append(wrong)

    made._epoll = Slow()
    with socket.create_server(("127.0.0.1", 0)) as server, socket.create_connection(server.getsockname()):
        ours, _ = server.accept()
        box = SharedMailbox("x", 9, None)
        one = connection.Connection(None, box, Descriptors(3), "x")
        one.accept(ours)
        until = time.monotonic() + 1
        while not told and time.monotonic() < until:
            time.sleep(0.01)
    assert not told and one.is_reusable() is False
