"""rpc/socket_state.py, on a pair of connected sockets."""

import socket

from ward import each, test

from honeywood.gateway.rpc.socket_state import has_unread_input, peer_has_closed


@test("after the peer {action}: unread input {unread}, closed {closed}")
def _(
    action=each("did nothing", "sent a byte", "closed its side", "sent a byte and closed its side"),
    unread=each(False, True, True, True),
    closed=each(False, False, True, True),
):
    own, peer = socket.socketpair()
    with own, peer:
        if "sent" in action:
            peer.send(b"x")
        if "closed" in action:
            peer.shutdown(socket.SHUT_WR)
        assert has_unread_input(own) == unread and peer_has_closed(own) == closed


@test("a closed socket, or None, has neither unread input nor a closed peer")
def _():
    own, peer = socket.socketpair()
    own.close()
    peer.close()
    for sock in (own, None):
        assert not has_unread_input(sock) and not peer_has_closed(sock)
