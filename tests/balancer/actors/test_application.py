"""What an overloaded balancer does with new clients."""

import socket
import types

from honeywood.balancer.actors import application


def test_an_overloaded_front_refuses_new_clients_unread():
    """It costs no thread, and tells when to come back; one that has come before is not concerned."""
    front, told = application.Application.__new__(application.Application), []
    front.reject_connections_until, front.log = (
        application.clock.now() + 1000,
        types.SimpleNamespace(warning=lambda event, **said: told.append(said["code"])),
    )
    theirs, ours = socket.socketpair()
    front.accept(ours, "peer")
    assert told == ["overloaded"] and ours.fileno() < 0
    assert theirs.recv(999).startswith(b"HTTP/1.1 503 ") and theirs.recv(9) == b""
