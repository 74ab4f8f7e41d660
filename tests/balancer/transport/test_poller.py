"""Events of descriptors that are reused."""

import socket
import threading
import time

from honeywood.balancer.transport import connection, poller
from honeywood.balancer.transport.descriptors import Descriptors
from honeywood.balancer.transport.mailbox import SharedMailbox


def test_a_stale_event_does_not_find_a_partly_registered_connection(monkeypatch):
    """The poller takes several events at once. A connection that ends while the first of them are handled
    frees its descriptor, which the next accepted connection reuses. The stale event, handled while that
    connection was being registered, ended the program."""
    poller_under_test, errors = poller.Poller(), []
    poller_under_test._started = True
    monkeypatch.setattr(connection, "poller", poller_under_test)
    real_epoll, event_taken = poller_under_test._epoll, threading.Event()

    class SlowEpoll:
        def poll(self, maxevents):
            if event_taken.is_set():
                time.sleep(0.01)
                return []
            event_taken.set()
            return [(accepted.fileno(), 1)]

        def register(self, fd, event_mask):
            thread = threading.Thread(target=run_loop, daemon=True)
            thread.start()  # it holds the stale event and looks up its connection
            event_taken.wait(5)
            thread.join(0.1)
            real_epoll.register(fd, event_mask)

        def modify(self, fd, event_mask):
            real_epoll.modify(fd, event_mask)

    def run_loop():
        try:
            poller_under_test._loop()
        except OSError as error:
            errors.append(error)

    poller_under_test._epoll = SlowEpoll()
    with socket.create_server(("127.0.0.1", 0)) as server, socket.create_connection(server.getsockname()):
        accepted, _ = server.accept()
        mailbox = SharedMailbox("x", 9, None)
        new_connection = connection.Connection(None, mailbox, Descriptors(3), "x")
        new_connection.accept(accepted)
        until = time.monotonic() + 1
        while not errors and time.monotonic() < until:
            time.sleep(0.01)
    assert not errors and new_connection.is_reusable() is False
