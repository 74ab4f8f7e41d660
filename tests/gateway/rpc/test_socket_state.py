"""rpc/socket_state.py, on a pair of connected sockets."""

import socket

from ward import each, test

from honeywood.gateway.rpc.socket_state import has_unread_input, peer_has_closed


@test("after the peer {what}: unread input {unread}, closed {closed}")
def _(
    what=each("did nothing", "sent a byte", "ended its side", "sent a byte and ended"),
    unread=each(False, True, True, True),
    closed=each(False, False, True, True),
):
    own, peer = socket.socketpair()
    with own, peer:
        if "sent" in what:
            peer.send(b"x")
        if "ended" in what:
            peer.shutdown(socket.SHUT_WR)
        assert has_unread_input(own) == unread and peer_has_closed(own) == closed


@test("a socket that is closed, or none, shows nothing")
def _():
    own, peer = socket.socketpair()
    own.close()
    peer.close()
    for sock in (own, None):
        assert not has_unread_input(sock) and not peer_has_closed(sock)
