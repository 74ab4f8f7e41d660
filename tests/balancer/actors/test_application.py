"""New client connections of an overloaded balancer."""

import socket
import types

from honeywood.balancer.actors import application


def test_an_overloaded_balancer_refuses_new_clients_without_reading_their_requests():
    """They are answered 503 with a retry time, and need no thread; existing connections are not affected."""
    balancer, codes = application.Application.__new__(application.Application), []
    balancer.reject_connections_until, balancer.log = (
        application.clock.now() + 1000,
        types.SimpleNamespace(warning=lambda event, **log_fields: codes.append(log_fields["code"])),
    )
    client_end, balancer_end = socket.socketpair()
    balancer.accept(balancer_end, "peer")
    assert codes == ["overloaded"] and balancer_end.fileno() < 0
    assert client_end.recv(999).startswith(b"HTTP/1.1 503 ") and client_end.recv(9) == b""
